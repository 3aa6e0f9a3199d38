// Blocking HTTP/1.1 over TCP for the stand-ins of this review.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <map>
#include <string>

namespace Review {

using SteadyClock = std::chrono::steady_clock;

inline std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline sockaddr_in socketAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &native.sin_addr);
    return native;
}

/** Returns a listening socket, or -1. */
inline int listenAt(const std::string &address)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in native = socketAddress(address);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&native), sizeof native) != 0
        || listen(descriptor, 512) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

struct HttpMessage
{
    /** Method and path of a request, or the status of a response. */
    std::string method;
    std::string path;
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
};

/** Reads one message from \a descriptor; \a buffer holds the bytes after it. Returns false at the
 * end of the connection or at \a deadline. */
inline bool readMessage(int descriptor, std::string &buffer, HttpMessage &message,
                        SteadyClock::time_point deadline)
{
    const auto more = [&] {
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(deadline - SteadyClock::now())
                .count();
        pollfd ready{descriptor, POLLIN, 0};
        if (left <= 0 || poll(&ready, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[65536];
        const ssize_t size = recv(descriptor, bytes, sizeof bytes, 0);
        if (size <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    };
    std::size_t end = std::string::npos;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more())
            return false;
    }
    message = {};
    std::size_t line = buffer.find("\r\n");
    const std::string first = buffer.substr(0, line);
    const auto space = first.find(' ');
    const auto second = first.find(' ', space + 1);
    if (first.starts_with("HTTP/"))
        message.status = std::atoi(first.c_str() + space);
    message.method = first.substr(0, space);
    message.path = first.substr(space + 1, second - space - 1);
    while (line < end) {
        const std::size_t start = line + 2;
        line = buffer.find("\r\n", start);
        const auto colon = buffer.find(':', start);
        if (colon == std::string::npos || colon > line)
            continue;
        std::string name = buffer.substr(start, colon - start);
        for (char &letter : name)
            letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
        std::size_t value = colon + 1;
        while (value < line && buffer[value] == ' ')
            ++value;
        message.headers[name] = buffer.substr(value, line - value);
    }
    std::size_t length = 0;
    if (message.headers.contains("content-length"))
        length = static_cast<std::size_t>(std::atoll(message.headers["content-length"].c_str()));
    while (buffer.size() < end + 4 + length) {
        if (!more())
            return false;
    }
    message.body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
}

inline bool sendAll(int descriptor, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size =
            send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

/** Sends a request on a new connection. Returns the status, or 0 without a complete response. */
inline int httpCall(const std::string &address, const std::string &method, const std::string &path,
                    const std::string &host, const std::string &body, int timeoutMs,
                    std::string *answer = nullptr, int deadlineMs = 0)
{
    const auto deadline = SteadyClock::now() + std::chrono::milliseconds(timeoutMs);
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    timeval limit{timeoutMs / 1000, (timeoutMs % 1000) * 1000};
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const sockaddr_in native = socketAddress(address);
    int status = 0;
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&native), sizeof native) == 0) {
        std::string request =
            method + " " + path + " HTTP/1.1\r\nHost: " + (host.empty() ? address : host) + "\r\n";
        if (deadlineMs > 0)
            request += "Oleanderusher-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
        if (!body.empty())
            request += "Content-Type: application/json\r\nContent-Length: "
                       + std::to_string(body.size()) + "\r\n";
        request += "\r\n" + body;
        std::string buffer;
        HttpMessage response;
        if (sendAll(descriptor, request) && readMessage(descriptor, buffer, response, deadline)) {
            status = response.status;
            if (answer != nullptr)
                *answer = response.body;
        }
    }
    close(descriptor);
    return status;
}

} // namespace Review
