#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace Oleander {

/** One row of a name table: an enumerator and its name in files, logs and messages. */
template<typename Enum>
struct NameRow
{
    Enum value;
    std::string_view name;
};

/** Names of an enumeration; every enumerator has exactly one row. */
template<typename Enum, std::size_t Size>
using NameTable = std::array<NameRow<Enum>, Size>;

/** Returns the name of \a value, or "unknown" when the table has no row for it. */
template<typename Enum, std::size_t Size>
constexpr std::string_view nameIn(const NameTable<Enum, Size> &table, Enum value)
{
    for (const auto &row : table) {
        if (row.value == value)
            return row.name;
    }
    return "unknown";
}

/** Returns the enumerator called \a name, or nullopt. */
template<typename Enum, std::size_t Size>
constexpr std::optional<Enum> valueIn(const NameTable<Enum, Size> &table, std::string_view name)
{
    for (const auto &row : table) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

/** Lists the names of a table for error messages: "a, b or c". */
template<typename Enum, std::size_t Size>
std::string allowedNames(const NameTable<Enum, Size> &table)
{
    std::string list;
    for (std::size_t i = 0; i < Size; ++i) {
        if (i > 0)
            list += i + 1 == Size ? " or " : ", ";
        list += table[i].name;
    }
    return list;
}

} // namespace Oleander
