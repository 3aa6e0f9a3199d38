#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Oleander {

/** Parses an unsigned decimal integer. */
std::optional<std::uint64_t> parseNumber(std::string_view text);

/** Parses a decimal number without sign or exponent. */
std::optional<double> parseDecimal(std::string_view text);

/** Parses an integer with the unit ms, s or min. */
std::optional<Duration> parseDuration(std::string_view text);

/** Parses an integer with the unit B, KiB, MiB or GiB. */
std::optional<std::uint64_t> parseBytes(std::string_view text);

/** True for 1 to 63 lower-case letters, digits, dots and hyphens. */
bool isName(std::string_view text);

/** True for "ADDRESS:PORT" with an IPv4 address. */
bool isAddress(std::string_view text);

/** Returns the port of \a address, which must be valid according to isAddress(). */
std::uint16_t portOf(std::string_view address);

/** Formats a duration in the largest unit that gives an integer. */
std::string durationText(Duration duration);

/** Formats a size in the largest unit that gives an integer. */
std::string bytesText(std::uint64_t bytes);

} // namespace Oleander
