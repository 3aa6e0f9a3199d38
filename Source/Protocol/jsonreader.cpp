#include "Protocol/jsonreader.h"

#include <fmt/format.h>

#include <algorithm>

namespace Oleander {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxDisplayBytes = 80;

bool isNestedDeeper(const Json &value, std::size_t levels)
{
    if (!value.is_structured())
        return false;
    return levels == 0 || std::any_of(value.begin(), value.end(), [&](const Json &element) {
               return isNestedDeeper(element, levels - 1);
           });
}

tl::unexpected<Error> invalid(std::string detail)
{
    return fail(Failure::InvalidInput, Step::Decode, {}, std::move(detail));
}

} // namespace

std::size_t countJsonValues(std::string_view text, std::size_t max)
{
    std::size_t values = 0;
    bool isInString = false;
    for (std::size_t at = 0; at < text.size() && values < max; ++at) {
        const char letter = text[at];
        if (letter == '"')
            isInString = !isInString;
        else if (isInString)
            at += letter == '\\' ? 1 : 0;
        else
            values += letter == ',' || letter == '[' || letter == '{' ? 1 : 0;
    }
    return values;
}

Result<void> checkJsonLimits(std::string_view text, const JsonLimits &limits)
{
    std::size_t depth = 0;
    std::size_t values = 0;
    bool isInString = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char letter = text[at];
        if (isInString) {
            if (letter == '\\')
                ++at;
            isInString = letter != '"';
            continue;
        }
        switch (letter) {
        case '"':
            isInString = true;
            break;
        case '[':
        case '{':
            ++depth;
            ++values;
            break;
        case ']':
        case '}':
            depth -= depth > 0 ? 1 : 0;
            break;
        case ',':
            ++values;
            break;
        default:
            break;
        }
        if (depth > limits.maxDepth) {
            return invalid(
                fmt::format("The body is nested more than {} levels deep; allowed are at most {}.",
                            limits.maxDepth, limits.maxDepth));
        }
        if (values > limits.maxValues) {
            return invalid(fmt::format("The body has more than {} values; allowed are at most {}.",
                                       limits.maxValues, limits.maxValues));
        }
    }
    return {};
}

Result<Json> parseJson(std::string_view text, const JsonLimits &limits)
{
    if (auto checked = checkJsonLimits(text, limits); !checked)
        return tl::make_unexpected(std::move(checked.error()));
    Json value = Json::parse(text, nullptr, false);
    if (value.is_discarded())
        return invalid("The body is not a complete JSON value.");
    return value;
}

std::optional<std::uint64_t> integerIn(const Json &value, std::uint64_t min, std::uint64_t max)
{
    if (!value.is_number_integer()
        || (!value.is_number_unsigned() && value.get<std::int64_t>() < 0))
        return std::nullopt;
    const auto number = value.get<std::uint64_t>();
    if (number < min || number > max)
        return std::nullopt;
    return number;
}

std::string jsonText(const Json &value)
{
    // Without the handler a string that is not UTF-8 throws.
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string displayText(const Json &value)
{
    // Formatting is recursive.
    if (isNestedDeeper(value, JsonLimits().maxDepth))
        return fmt::format("a deeply nested {}", value.type_name());
    constexpr bool EnsureAscii = true;
    std::string text = value.dump(-1, ' ', EnsureAscii, Json::error_handler_t::replace);
    if (text.size() > MaxDisplayBytes)
        text = text.substr(0, MaxDisplayBytes) + "...";
    return text;
}

} // namespace Oleander
