#include "Settings/settingsvalue.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace Oleander {

namespace {

constexpr std::size_t MaxNameLength = 63;
constexpr std::uint64_t MaxPort = 65535;

struct Unit
{
    std::string_view name;
    std::uint64_t factor;
};

// Longer names first, so that "ms" is not read as "s" nor "KiB" as "B".
constexpr std::array DurationUnits = {Unit{"min", 60'000'000}, Unit{"ms", 1'000},
                                      Unit{"s", 1'000'000}};
constexpr std::array ByteUnits = {Unit{"GiB", 1ULL << 30}, Unit{"MiB", 1ULL << 20},
                                  Unit{"KiB", 1ULL << 10}, Unit{"B", 1}};

std::optional<std::uint64_t> parseWithUnit(std::string_view text, const auto &units)
{
    for (const auto &unit : units) {
        if (!text.ends_with(unit.name))
            continue;
        const auto number = parseNumber(text.substr(0, text.size() - unit.name.size()));
        if (!number || *number > std::numeric_limits<std::int64_t>::max() / unit.factor)
            return std::nullopt;
        return *number * unit.factor;
    }
    return std::nullopt;
}

} // namespace

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto *const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (text.empty() || result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return value;
}

std::optional<double> parseDecimal(std::string_view text)
{
    double value = 0;
    const auto *const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value, std::chars_format::fixed);
    if (text.empty() || text.front() == '-' || result.ec != std::errc() || result.ptr != end
        || !std::isfinite(value))
        return std::nullopt;
    return value;
}

std::optional<Duration> parseDuration(std::string_view text)
{
    const auto value = parseWithUnit(text, DurationUnits);
    if (!value)
        return std::nullopt;
    return Duration(static_cast<Duration::rep>(*value));
}

std::optional<std::uint64_t> parseBytes(std::string_view text)
{
    return parseWithUnit(text, ByteUnits);
}

bool isName(std::string_view text)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.';
    };
    return !text.empty() && text.size() <= MaxNameLength && std::ranges::all_of(text, allowed);
}

bool isAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    const auto port = parseNumber(text.substr(colon + 1));
    const std::string host(text.substr(0, colon));
    if (!port || *port > MaxPort)
        return false;
    in_addr number{};
    return inet_pton(AF_INET, host.c_str(), &number) == 1;
}

std::uint16_t portOf(std::string_view address)
{
    return static_cast<std::uint16_t>(
        parseNumber(address.substr(address.rfind(':') + 1)).value_or(0));
}

std::string durationText(Duration duration)
{
    const auto count = static_cast<std::uint64_t>(duration.count());
    if (count > 0 && count % 60'000'000 == 0)
        return fmt::format("{}min", count / 60'000'000);
    if (count > 0 && count % 1'000'000 == 0)
        return fmt::format("{}s", count / 1'000'000);
    return fmt::format("{}ms", count / 1'000);
}

std::string bytesText(std::uint64_t bytes)
{
    for (const auto &unit : ByteUnits) {
        if (bytes > 0 && bytes % unit.factor == 0)
            return fmt::format("{}{}", bytes / unit.factor, unit.name);
    }
    return fmt::format("{}B", bytes);
}

} // namespace Oleander
