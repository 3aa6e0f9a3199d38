#include "Records/fieldreader.h"

#include "Protocol/jsonreader.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

namespace Oleander::Records {

namespace {

const nlohmann::json &emptyObject()
{
    static const auto Empty = nlohmann::json::object();
    return Empty;
}

bool isNameStart(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

bool isNamePart(char c)
{
    return isNameStart(c) || c == '-' || c == '_' || c == '.';
}

std::string allowedText(std::size_t maxBytes)
{
    return fmt::format("a text of 1 to {} bytes", maxBytes);
}

} // namespace

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= MaxNameBytes && isNameStart(text.front())
           && std::all_of(text.begin(), text.end(), isNamePart);
}

std::string_view allowedName()
{
    return "a name of 1 to 128 lower-case letters, digits, '.', '-' and '_' that starts with a "
           "letter or digit";
}

FieldReader::FieldReader(const nlohmann::json &object, std::string prefix,
                         std::vector<std::string> &errors)
    : object_(object), prefix_(std::move(prefix)), errors_(errors)
{}

const nlohmann::json *FieldReader::find(std::string_view field)
{
    readFields_.emplace_back(field);
    const auto found = object_.find(std::string(field));
    return found == object_.end() ? nullptr : &*found;
}

void FieldReader::addInvalid(std::string_view field, std::string_view allowed)
{
    errors_.push_back(fmt::format("Field '{}{}' is {}; allowed is {}.", prefix_, field,
                                  displayText(object_.at(std::string(field))), allowed));
}

void FieldReader::addMissing(std::string_view field, std::string_view allowed)
{
    errors_.push_back(
        fmt::format("Field '{}{}' is missing; it has to be {}.", prefix_, field, allowed));
}

std::uint64_t FieldReader::number(std::string_view field, std::uint64_t min, std::uint64_t max,
                                  std::optional<std::uint64_t> fallback)
{
    const auto allowed = fmt::format("a whole number from {} to {}", min, max);
    const auto *value = find(field);
    if (!value) {
        if (!fallback)
            addMissing(field, allowed);
        return fallback.value_or(min);
    }
    const auto number = integerIn(*value, min, max);
    if (!number)
        addInvalid(field, allowed);
    return number.value_or(min);
}

std::string FieldReader::text(std::string_view field, std::size_t maxBytes,
                              const std::optional<std::string> &fallback)
{
    const auto *value = find(field);
    if (!value) {
        if (!fallback)
            addMissing(field, allowedText(maxBytes));
        return fallback.value_or("");
    }
    if (!value->is_string() || value->get_ref<const std::string &>().empty()
        || value->get_ref<const std::string &>().size() > maxBytes) {
        addInvalid(field, allowedText(maxBytes));
        return {};
    }
    return value->get<std::string>();
}

std::string FieldReader::name(std::string_view field)
{
    const auto *value = find(field);
    if (!value) {
        addMissing(field, allowedName());
        return {};
    }
    if (!value->is_string() || !isName(value->get_ref<const std::string &>())) {
        addInvalid(field, allowedName());
        return {};
    }
    return value->get<std::string>();
}

bool FieldReader::boolean(std::string_view field, bool fallback)
{
    const auto *value = find(field);
    if (!value)
        return fallback;
    if (!value->is_boolean()) {
        addInvalid(field, "true or false");
        return fallback;
    }
    return value->get<bool>();
}

std::optional<std::string> FieldReader::optionalText(std::string_view field)
{
    const auto *value = find(field);
    if (!value)
        return std::nullopt;
    // A value of another type is converted to its JSON text, which matches no enumerator, so that
    // the caller reports it with the list of allowed names.
    return value->is_string() ? value->get<std::string>() : displayText(*value);
}

std::map<std::string, std::string>
FieldReader::stringMap(std::string_view field, std::size_t maxEntries, std::size_t maxBytes)
{
    std::map<std::string, std::string> result;
    const auto allowed = fmt::format("an object of at most {} names with texts", maxEntries);
    const auto *value = find(field);
    if (!value) {
        addMissing(field, allowed);
        return result;
    }
    if (!value->is_object() || value->size() > maxEntries) {
        addInvalid(field, allowed);
        return result;
    }
    FieldReader inner(*value, fmt::format("{}{}.", prefix_, field), errors_);
    for (const auto &[key, entry] : value->items()) {
        if (!isName(key)) {
            errors_.push_back(fmt::format("Field '{}{}' holds the name {}; allowed is {}.", prefix_,
                                          field, displayText(key), allowedName()));
            continue;
        }
        result[key] = inner.text(key, maxBytes);
    }
    return result;
}

FieldReader FieldReader::object(std::string_view field)
{
    const auto *value = find(field);
    if (!value)
        addMissing(field, "an object");
    else if (!value->is_object())
        addInvalid(field, "an object");
    return {value && value->is_object() ? *value : emptyObject(),
            fmt::format("{}{}.", prefix_, field), errors_};
}

void FieldReader::finish()
{
    for (const auto &[key, value] : object_.items()) {
        if (std::find(readFields_.begin(), readFields_.end(), key) == readFields_.end()) {
            errors_.push_back(fmt::format("Field '{}' is not known (value {}); allowed are {}.",
                                          prefix_ + displayText(key), displayText(value),
                                          fmt::join(readFields_, ", ")));
        }
    }
}

} // namespace Oleander::Records
