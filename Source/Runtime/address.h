#pragma once

#include "Base/error.h"

#include <netinet/in.h>

#include <cstdint>
#include <string>

namespace Oleander {

/** An IP address and a port. */
struct SocketAddress
{
    std::string host;
    std::uint16_t port = 0;

    std::string text() const;
};

/** Returns \a address, whose host is a numeric IPv4 address, as the system calls take it. */
sockaddr_in nativeAddress(const SocketAddress &address);

/** Parses "ADDRESS:PORT" with a numeric IPv4 address. */
Result<SocketAddress> parseSocketAddress(const std::string &text);

/** Parses the announced address of another process, whose port is not 0; the error is short. */
Result<SocketAddress> parsePeerAddress(const std::string &text);

} // namespace Oleander
