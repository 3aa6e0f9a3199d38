#pragma once

#include "Base/nametable.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Oleander::Records {

/** Maximum length of the name of a record, team or worker, in bytes. */
constexpr std::size_t MaxNameBytes = 128;

/** True for 1 to MaxNameBytes lower-case letters, digits, '.', '-' and '_', where the first is a
 * letter or digit. */
bool isName(std::string_view text);

/** Describes the valid names for error messages. */
std::string_view allowedName();

/**
 * \class FieldReader
 * \brief Reads the fields of one JSON object and adds one full sentence to a list for each error.
 *
 * Each read declares its field as known; finish() adds an error for each field that was not read.
 */
class FieldReader
{
public:
    FieldReader(const nlohmann::json &object, std::string prefix, std::vector<std::string> &errors);

    /** Integer from \a min to \a max; an absent field has the value \a fallback, or is an error. */
    std::uint64_t number(std::string_view field, std::uint64_t min, std::uint64_t max,
                         std::optional<std::uint64_t> fallback = std::nullopt);
    /** Non-empty text; an absent field has the value \a fallback, or is an error. */
    std::string text(std::string_view field, std::size_t maxBytes,
                     const std::optional<std::string> &fallback = std::nullopt);
    std::string name(std::string_view field);
    bool boolean(std::string_view field, bool fallback);
    /** Enumerator named in \a table; \a fallback if the field is absent. */
    template<typename Enum, std::size_t Size>
    Enum enumValue(std::string_view field, const NameTable<Enum, Size> &table, Enum fallback)
    {
        const auto enumName = optionalText(field);
        if (!enumName)
            return fallback;
        if (const auto value = valueIn(table, *enumName))
            return *value;
        addInvalid(field, allowedNames(table));
        return fallback;
    }
    /** Nested object that maps up to \a maxEntries names to texts. */
    std::map<std::string, std::string> stringMap(std::string_view field, std::size_t maxEntries,
                                                 std::size_t maxBytes);
    /** Reader of a nested object; an absent or invalid one is an error and is read as empty. */
    FieldReader object(std::string_view field);
    /** Adds an error for every field of the object that was not read. */
    void finish();

private:
    const nlohmann::json *find(std::string_view field);
    std::optional<std::string> optionalText(std::string_view field);
    void addInvalid(std::string_view field, std::string_view allowed);
    void addMissing(std::string_view field, std::string_view allowed);

    const nlohmann::json &object_;
    std::string prefix_;
    std::vector<std::string> &errors_;
    std::vector<std::string> readFields_;
};

} // namespace Oleander::Records
