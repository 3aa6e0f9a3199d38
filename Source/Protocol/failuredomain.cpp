#include "Protocol/failuredomain.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstddef>

namespace Oleander {

namespace {

constexpr std::size_t MaxNameBytes = 128;
/** Maximum length of a malformed name that an error quotes. */
constexpr std::size_t MaxQuotedBytes = 64;
constexpr std::size_t EscapeLength = 3;
constexpr int HexBase = 16;

tl::unexpected<Error> malformed(std::string_view segment, std::string_view problem)
{
    return fail(Failure::InvalidInput, Step::Decode, {},
                fmt::format("The name of the failure domain, '{}'{}, {}.",
                            segment.substr(0, MaxQuotedBytes),
                            segment.size() > MaxQuotedBytes ? " and more" : "", problem));
}

} // namespace

bool isFailureDomainName(std::string_view name)
{
    const auto isAllowed = [](char letter) {
        const auto byte = static_cast<unsigned char>(letter);
        return byte > ' ' && byte != 0x7f && letter != '/' && letter != ',';
    };
    return !name.empty() && name.size() <= MaxNameBytes && std::ranges::all_of(name, isAllowed);
}

Result<std::string> failureDomainFromPath(std::string_view segment)
{
    if (segment.empty())
        return fail(Failure::InvalidInput, Step::Decode, {}, "The path names no failure domain.");
    std::string name;
    for (std::size_t i = 0; i < segment.size(); ++i) {
        if (segment[i] != '%') {
            name += segment[i];
            continue;
        }
        const std::string_view digits = segment.substr(i + 1, EscapeLength - 1);
        const char *end = digits.data() + digits.size();
        unsigned char byte = 0;
        const auto read = std::from_chars(digits.data(), end, byte, HexBase);
        if (digits.size() + 1 < EscapeLength || read.ec != std::errc() || read.ptr != end)
            return malformed(segment, "has a percent sign without two hexadecimal digits");
        name += static_cast<char>(byte);
        i += EscapeLength - 1;
    }
    if (!isFailureDomainName(name))
        return malformed(segment, "is longer than 128 bytes or contains a space, a control "
                                  "character, a comma or a slash");
    return name;
}

} // namespace Oleander
