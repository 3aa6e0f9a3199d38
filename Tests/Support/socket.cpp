#include "Support/socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace Oleander::Testing {

namespace {

sockaddr_in parseAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
    return parsed;
}

Socket newSocket()
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(socket.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(socket.descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    return socket;
}

} // namespace

Socket::~Socket()
{
    if (valid())
        close(descriptor_);
}

Socket &Socket::operator=(Socket &&other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    return *this;
}

Socket Socket::connectedTo(const std::string &address)
{
    Socket socket = newSocket();
    const sockaddr_in peer = parseAddress(address);
    if (connect(socket.descriptor(), reinterpret_cast<const sockaddr *>(&peer), sizeof(peer)) != 0)
        return {};
    return socket;
}

Socket Socket::connectingTo(const std::string &address, int receiveBuffer)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const int on = 1;
    setsockopt(socket.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (receiveBuffer > 0)
        setsockopt(socket.descriptor(), SOL_SOCKET, SO_RCVBUF, &receiveBuffer,
                   sizeof(receiveBuffer));
    const sockaddr_in peer = parseAddress(address);
    if (connect(socket.descriptor(), reinterpret_cast<const sockaddr *>(&peer), sizeof(peer)) != 0
        && errno != EINPROGRESS)
        return {};
    return socket;
}

Socket Socket::listeningOn(const std::string &address)
{
    Socket socket = newSocket();
    const sockaddr_in own = parseAddress(address);
    if (bind(socket.descriptor(), reinterpret_cast<const sockaddr *>(&own), sizeof(own)) != 0
        || listen(socket.descriptor(), SOMAXCONN) != 0)
        return {};
    return socket;
}

bool Socket::sendAll(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t count = send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

std::string Socket::address() const
{
    sockaddr_in own{};
    socklen_t size = sizeof(own);
    getsockname(descriptor_, reinterpret_cast<sockaddr *>(&own), &size);
    char host[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &own.sin_addr, host, sizeof(host));
    return std::string(host) + ':' + std::to_string(ntohs(own.sin_port));
}

} // namespace Oleander::Testing
