#include "Runtime/address.h"

#include "Protocol/jsonreader.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <charconv>

namespace Oleander {

std::string SocketAddress::text() const
{
    return fmt::format("{}:{}", host, port);
}

sockaddr_in nativeAddress(const SocketAddress &address)
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &native.sin_addr);
    return native;
}

Result<SocketAddress> parseSocketAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    SocketAddress address;
    in_addr parsed{};
    bool good = colon != std::string::npos;
    if (good) {
        address.host = text.substr(0, colon);
        const char *end = text.data() + text.size();
        const auto result = std::from_chars(text.data() + colon + 1, end, address.port);
        good = result.ec == std::errc() && result.ptr == end
               && inet_pton(AF_INET, address.host.c_str(), &parsed) == 1;
    }
    if (!good) {
        return fail(Failure::InvalidInput, Step::Settings, text,
                    fmt::format("\"{}\" is not a valid address; expected an IPv4 address and a "
                                "port, as in 127.0.0.1:8080.",
                                text));
    }
    return address;
}

Result<SocketAddress> parsePeerAddress(const std::string &text)
{
    auto address = parseSocketAddress(text);
    if (address && address->port != 0)
        return address;
    return fail(
        Failure::InvalidInput, Step::Join, {},
        fmt::format("The address is {}; allowed is ADDRESS:PORT with a numeric IPv4 address "
                    "and a port from 1 to 65535.",
                    displayText(text)));
}

} // namespace Oleander
