#include "Settings/fleetsettings.h"

#include <catch2/catch.hpp>

using namespace Oleander;

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
