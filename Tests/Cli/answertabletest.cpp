#include "Cli/answertable.h"

#include <catch2/catch.hpp>

using namespace Oleander;

TEST_CASE("An answer that is not of the expected form is an error and does not end the command")
{
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    const std::string unreadable[] = {"", "{", "\xff", deep, R"({"records":)" + deep + "}"};
    // Some of the tables accept some of these.
    const std::string odd[] = {"[]", "7", "null", R"({"events":[1]})", R"({"records":[7]})"};
    for (const AnswerTable table :
         {changeTable, bulkWithdrawalTable, recordTable, listTable, eventTable, statusTable,
          evacuationTable, evacuationListTable}) {
        for (const std::string &body : unreadable) {
            const auto text = formatAnswer(table, body);
            REQUIRE_FALSE(text.has_value());
            CHECK(text.error().code == Failure::Protocol);
        }
        for (const std::string &body : odd)
            CHECK_NOTHROW(formatAnswer(table, body));
    }
    CHECK(formatAnswer(listTable, R"({"records":[]})").has_value());
}
