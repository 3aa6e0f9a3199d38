#include "Cli/answertable.h"

#include <catch2/catch.hpp>

using namespace Oleander;

TEST_CASE("An answer that is not of the expected form is an error and does not end the command")
{
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    const auto tables = {changeTable, bulkWithdrawalTable, recordTable,
                         listTable,   eventTable,          statusTable};
    for (const AnswerTable table : tables) {
        for (const std::string &body :
             {std::string(), std::string("{"), std::string("\xff"), std::string("[]"),
              std::string("7"), deep, R"({"results":)" + deep + "}", R"({"records":)" + deep + "}",
              R"({"events":[1]})" + std::string()}) {
            const auto text = formatAnswer(table, body);
            if (!text)
                CHECK(text.error().code == Failure::Protocol);
        }
        CHECK_FALSE(formatAnswer(table, "{").has_value());
        CHECK_FALSE(formatAnswer(table, deep).has_value());
    }
    CHECK(formatAnswer(listTable, R"({"records":[]})").has_value());
}
