#include "Runtime/logevent.h"

#include "Support/markdowntable.h"

#include <catch2/catch.hpp>

using namespace Oleander;

TEST_CASE("The catalogue of events has the number, name and level of each event, in order")
{
    const auto rows = Testing::markdownRows(OLEANDER_ROOT "/docs/reference/events.md");
    const auto table = logEventTable();
    REQUIRE(rows.size() == table.size());
    for (std::size_t i = 0; i < rows.size(); ++i) {
        REQUIRE(rows[i].size() == 5);
        CHECK(rows[i][0] == std::to_string(static_cast<std::uint32_t>(table[i].event)));
        CHECK(rows[i][1] == table[i].name);
        CHECK(rows[i][2] == logLevelName(table[i].level));
        CHECK_FALSE(rows[i][3].empty());
        CHECK_FALSE(rows[i][4].empty());
    }
}
