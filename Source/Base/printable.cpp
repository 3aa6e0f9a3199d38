#include "Base/printable.h"

#include <fmt/format.h>

namespace Oleander {

namespace {

constexpr std::size_t MaxShownBytes = 200;

} // namespace

std::string printable(std::string_view bytes)
{
    std::string text;
    for (const char byte : bytes.substr(0, MaxShownBytes)) {
        if (byte >= ' ' && byte <= '~')
            text += byte;
        else
            text += fmt::format("\\x{:02x}", static_cast<unsigned char>(byte));
    }
    if (bytes.size() > MaxShownBytes)
        text += "...";
    return text;
}

} // namespace Oleander
