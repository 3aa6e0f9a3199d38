#pragma once

#include "Base/error.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

namespace Oleander {

/** Largest integer that every JSON implementation represents exactly (RFC 8259, section 6). */
constexpr std::uint64_t MaxJsonInteger = (std::uint64_t{1} << 53U) - 1;

/** Limits of a JSON document that another process sent. */
struct JsonLimits
{
    /** Maximum nesting of arrays and objects. Code that visits a document recursively, such as its
     * copying and formatting, relies on this limit. */
    std::size_t maxDepth = 16;
    /** Maximum number of commas and opening brackets, and so of values; each value takes up to
     * about 100 bytes of memory once parsed. */
    std::size_t maxValues = 200'000;
};

/** Maximum number of values of a job's description. The smallest step, with one field, takes 12
 * bytes and counts as two values: at most 43,690 in a body of 262,144 bytes. */
constexpr std::size_t MaxJobValues = 65'536;

/** Maximum number of values of a document of up to 4 MiB: configurations and announcements have at
 * least 16 bytes for each value. */
constexpr std::size_t MaxDocumentValues = 262'144;

/** Returns the number of commas and opening brackets of \a text outside of strings, up to
 * \a max. */
std::size_t countJsonValues(std::string_view text, std::size_t max);

/** Checks the limits of \a text without parsing it. */
Result<void> checkJsonLimits(std::string_view text, const JsonLimits &limits);

/** Parses \a text, whose limits are checked before any memory is allocated for its values. */
Result<nlohmann::json> parseJson(std::string_view text, const JsonLimits &limits = {});

/** Returns the integer \a value, or nullopt if it is of another type or not from \a min to
 * \a max. */
std::optional<std::uint64_t> integerIn(const nlohmann::json &value, std::uint64_t min,
                                       std::uint64_t max);

/** Reads an unsigned integer up to \a max; returns false, and leaves \a number unchanged, if
 * \a value is not one. */
template<typename T>
bool readInteger(const nlohmann::json &value, T &number,
                 std::uint64_t max = std::numeric_limits<T>::max())
{
    static_assert(std::is_unsigned_v<T>);
    const auto read =
        integerIn(value, 0, std::min<std::uint64_t>(max, std::numeric_limits<T>::max()));
    if (read)
        number = static_cast<T>(*read);
    return read.has_value();
}

/** Returns the JSON text of \a value; bytes that are not UTF-8 are replaced. */
std::string jsonText(const nlohmann::json &value);

/** Returns \a value as short text for an error message; of a deeply nested one only the type. */
std::string displayText(const nlohmann::json &value);

} // namespace Oleander
