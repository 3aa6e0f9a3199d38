#include "Settings/fleetsettings.h"

#include <catch2/catch.hpp>

using namespace Oleander;
using namespace std::chrono_literals;

namespace {

CheckedSettings<ControlHostSettings> parseWith(const std::string &line)
{
    return parseControlHostSettings(
        parseIni("control.ini", "[control-host]\nlink = 127.0.0.1:1\noperator-door = 127.0.0.1:2\n"
                                    + line + "\n[group]\nseeds = 127.0.0.1:2\nlink-port = 1\n"));
}

Duration confirmationTime(const std::string &lines)
{
    return parseMachineAgentSettings(parseIni("agent.ini", "[machine-agent]\n" + lines))
        .settings.confirmationTime();
}

ControlHostSettings coldSettings(const std::string &lines)
{
    return parseControlHostSettings(parseIni("control.ini", "[control-host]\n" + lines)).settings;
}

} // namespace

TEST_CASE("The failure domains of a control host are read as a list of names")
{
    // Guards against a name that no request can name, which would only show in an emergency.
    const auto names = [](const std::string &line) {
        const auto checked = parseWith(line);
        REQUIRE(checked.errors.empty());
        return checked.settings.failureDomains;
    };
    CHECK(names("").empty());
    CHECK(names("failure-domains =").empty());
    CHECK(names("failure-domains = a,Zone_b.2") == std::vector<std::string>{"a", "Zone_b.2"});
    for (const char *value : {"a,,b", ",a", "a, b", "a/b", "a,b,a"}) {
        INFO(value);
        const auto checked = parseWith(std::string("failure-domains = ") + value);
        REQUIRE(checked.errors.size() == 1);
        CHECK(checked.errors.front().line == 4);
    }
}

// Guards against starts that are sent after the shorter of the two times.
TEST_CASE("The shorter of the cancel time and the evacuation time applies")
{
    CHECK(confirmationTime("") == 3s);
    CHECK(confirmationTime("cancel-time = 4s\n") == 4s);
    CHECK(confirmationTime("cancel-time = 4s\nevacuation-time = 2500ms\n") == 2500ms);
    CHECK(confirmationTime("cancel-time = 2s\nevacuation-time = 5s\n") == 2s);
}

// Guards against a limit of starts without its settings, and against one that is misread.
TEST_CASE("The limit of starts on cold minions is a decimal number and a slack")
{
    CHECK(coldSettings("").coldOverage == 0);
    CHECK(coldSettings("").coldSlack == 0);
    CHECK(coldSettings("cold-overage = 1.5\ncold-slack = 5\n").coldOverage == 1.5);
    CHECK(coldSettings("cold-overage = 2\ncold-slack = 5\n").coldSlack == 5);
    for (const std::string bad : {"-1", "1.5x", "nan", "inf", "1e3", "0", ""}) {
        INFO(bad);
        CHECK(coldSettings("cold-overage = " + bad + "\n").coldOverage == 0);
    }
}

TEST_CASE("A control host reserves resources for large tasks only where its settings say so")
{
    const std::string required = "[control-host]\nlink = 127.0.0.1:7000\n"
                                 "operator-door = 127.0.0.1:7001\n"
                                 "[group]\nseeds = 127.0.0.1:7001\nlink-port = 7000\n";
    const auto before = parseControlHostSettings(parseIni("control.ini", required));
    REQUIRE(before.errors.empty());
    CHECK_FALSE(before.settings.backfill);
    const auto enabled = parseControlHostSettings(
        parseIni("control.ini", required + "[control-host]\nbackfill = true\n"));
    REQUIRE(enabled.errors.empty());
    CHECK(enabled.settings.backfill);
    const auto wrong = parseControlHostSettings(
        parseIni("control.ini", required + "[control-host]\nbackfill = yes\n"));
    CHECK(wrong.errors.size() == 1);
}
