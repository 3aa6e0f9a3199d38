#include "Routing/endtoendheaders.h"

#include <algorithm>
#include <array>

namespace Oleander {

namespace {

constexpr std::array<std::string_view, 11> HopByHopNames = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Expect",
    "Content-Length",
};

char toLower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/** True when the comma-separated \a list contains \a name. */
bool listContains(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const auto comma = std::min(list.find(','), list.size());
        if (equalsIgnoringCase(trimmed(list.substr(0, comma)), name))
            return true;
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

} // namespace

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return toLower(x) == toLower(y); });
}

std::vector<HeaderField> endToEndHeaders(const std::vector<HeaderField> &headers)
{
    const auto isHopByHop = [&](const HeaderField &field) {
        const auto same = [&](std::string_view name) {
            return equalsIgnoringCase(name, field.name);
        };
        if (std::any_of(HopByHopNames.begin(), HopByHopNames.end(), same))
            return true;
        return std::any_of(headers.begin(), headers.end(), [&](const HeaderField &other) {
            return equalsIgnoringCase(other.name, "Connection")
                   && listContains(other.value, field.name);
        });
    };
    std::vector<HeaderField> result;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(result),
                 [&](const HeaderField &field) { return !isHopByHop(field); });
    return result;
}

} // namespace Oleander
