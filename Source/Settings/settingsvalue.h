#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Oleander {

/** Reads a whole number without sign. */
std::optional<std::uint64_t> parseNumber(std::string_view text);

/** Reads a number with the unit ms, s or min. */
std::optional<Duration> parseDuration(std::string_view text);

/** Reads a number with the unit B, KiB, MiB or GiB. */
std::optional<std::uint64_t> parseBytes(std::string_view text);

/** True for 1 to 63 lower-case letters, digits, dots and hyphens. */
bool isName(std::string_view text);

/** True for "ADDRESS:PORT" with an IPv4 number. */
bool isAddress(std::string_view text);

/** Port of an address for which isAddress() holds. */
std::uint16_t portOf(std::string_view address);

/** Writes a duration with the largest unit that keeps it whole. */
std::string durationText(Duration duration);

/** Writes a size with the largest unit that keeps it whole. */
std::string bytesText(std::uint64_t bytes);

} // namespace Oleander
