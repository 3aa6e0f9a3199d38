#include "Settings/agentsettings.h"
#include "Settings/exitcode.h"
#include "Settings/fleetsettings.h"
#include "Support/markdowntable.h"

#include <catch2/catch.hpp>

using namespace Oleander;

TEST_CASE("The settings page lists exactly the keys of all processes")
{
    auto keys = parseEntrySettings(parseIni("entry.ini", "")).keys;
    const auto agentKeys = parseAgentSettings(parseIni("agent.ini", "")).keys;
    keys.insert(keys.end(), agentKeys.begin(), agentKeys.end());
    for (const auto &more : {parseControlHostSettings(parseIni("control.ini", "")).keys,
                             parseJobEntrySettings(parseIni("entry.ini", "")).keys,
                             parseMachineAgentSettings(parseIni("agent.ini", "")).keys})
        keys.insert(keys.end(), more.begin(), more.end());
    const auto rows = Testing::markdownRows(OLEANDER_ROOT "/docs/reference/settings.md");
    REQUIRE(rows.size() == keys.size());
    for (std::size_t i = 0; i < rows.size(); ++i) {
        REQUIRE(rows[i].size() == 6);
        CHECK(rows[i][0] == keys[i].section);
        CHECK(rows[i][1] == keys[i].key);
        CHECK((rows[i][2] == "yes") == (keys[i].presence == Presence::Required));
        CHECK(rows[i][4] == keys[i].allowed);
        CHECK_FALSE(rows[i][5].empty());
    }
}

TEST_CASE("The exit code page lists every code with its meaning")
{
    const auto rows = Testing::markdownRows(OLEANDER_ROOT "/docs/reference/exit-codes.md");
    const auto table = exitCodeTable();
    REQUIRE(rows.size() == table.size());
    for (std::size_t i = 0; i < rows.size(); ++i) {
        CHECK(rows[i][0] == std::to_string(static_cast<int>(table[i].code)));
        CHECK(rows[i][1] == table[i].meaning);
    }
}
