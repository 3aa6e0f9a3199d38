#include "Settings/fleetsettings.h"

#include <catch2/catch.hpp>

using namespace Oleander;

namespace {

CheckedSettings<ControlHostSettings> parseWith(const std::string &line)
{
    return parseControlHostSettings(
        parseIni("control.ini", "[control-host]\nlink = 127.0.0.1:1\noperator-door = 127.0.0.1:2\n"
                                    + line + "\n[group]\nseeds = 127.0.0.1:2\nlink-port = 1\n"));
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
