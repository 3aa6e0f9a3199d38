#include "Support/httpcall.h"

#include "Support/socket.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>

namespace Oleander::Testing {

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

std::string lowerCase(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

/** Reads until the peer closes; returns std::nullopt on an error or at \a end. */
std::optional<std::string> readToEnd(int socket, SteadyTime end)
{
    std::string bytes;
    char buffer[65536];
    while (true) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            end - std::chrono::steady_clock::now());
        pollfd wait{socket, POLLIN, 0};
        if (left.count() <= 0 || poll(&wait, 1, static_cast<int>(left.count())) <= 0)
            return std::nullopt;
        const ssize_t count = recv(socket, buffer, sizeof(buffer), 0);
        if (count < 0)
            return std::nullopt;
        if (count == 0)
            return bytes;
        bytes.append(buffer, static_cast<std::size_t>(count));
    }
}

std::optional<std::string> joinChunks(const std::string &bytes)
{
    std::string body;
    std::size_t at = 0;
    while (true) {
        const auto lineEnd = bytes.find("\r\n", at);
        if (lineEnd == std::string::npos)
            return std::nullopt;
        const auto size = std::stoul(bytes.substr(at, lineEnd - at), nullptr, 16);
        if (size == 0)
            return body;
        at = lineEnd + 2;
        if (at + size + 2 > bytes.size())
            return std::nullopt;
        body += bytes.substr(at, size);
        at += size + 2;
    }
}

std::optional<HttpReply> parseReply(const std::string &bytes, bool headOnly)
{
    const auto headEnd = bytes.find("\r\n\r\n");
    if (headEnd == std::string::npos || !bytes.starts_with("HTTP/1."))
        return std::nullopt;
    HttpReply reply;
    reply.status = std::stoi(bytes.substr(9, 3));
    std::size_t at = bytes.find("\r\n") + 2;
    while (at < headEnd) {
        const auto lineEnd = bytes.find("\r\n", at);
        const auto colon = bytes.find(':', at);
        auto value = bytes.substr(colon + 1, lineEnd - colon - 1);
        value.erase(0, value.find_first_not_of(' '));
        reply.headers[lowerCase(bytes.substr(at, colon - at))] = value;
        at = lineEnd + 2;
    }
    reply.body = bytes.substr(headEnd + 4);
    if (headOnly)
        return reply;
    if (reply.headers["transfer-encoding"] == "chunked") {
        auto body = joinChunks(reply.body);
        if (!body)
            return std::nullopt;
        reply.body = std::move(*body);
        return reply;
    }
    if (const auto length = reply.headers["content-length"];
        !length.empty() && std::stoul(length) != reply.body.size())
        return std::nullopt;
    return reply;
}

} // namespace

std::optional<std::string> rawCall(const std::string &address, const std::string &bytes,
                                   std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    const Socket socket = Socket::connectedTo(address);
    if (!socket.valid() || !socket.sendAll(bytes))
        return std::nullopt;
    return readToEnd(socket.descriptor(), end);
}

std::optional<HttpReply> httpCall(const std::string &address, const HttpCall &call,
                                  std::chrono::milliseconds limit)
{
    const bool namesHost = std::any_of(call.headers.begin(), call.headers.end(),
                                       [](const auto &field) { return field.name == "Host"; });
    std::string bytes = call.method + ' ' + call.path + " HTTP/1.1"
                        + (namesHost ? std::string() : "\r\nHost: " + address)
                        + "\r\nConnection: close\r\n";
    for (const auto &header : call.headers)
        bytes += header.name + ": " + header.value + "\r\n";
    if (!call.body.empty() || (call.method != "GET" && call.method != "HEAD"))
        bytes += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
    bytes += "\r\n" + call.body;
    const auto answer = rawCall(address, bytes, limit);
    if (!answer)
        return std::nullopt;
    return parseReply(*answer, call.method == "HEAD");
}

} // namespace Oleander::Testing
