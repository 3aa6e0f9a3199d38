#include "Cli/operatorcommand.h"
#include "Records/systemvalues.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <fstream>
#include <sstream>

using namespace Oleander;
using Catch::Matchers::Contains;

namespace {

std::string page(const std::string &path)
{
    std::ifstream file(std::string(OLEANDER_ROOT) + "/docs/reference/" + path);
    REQUIRE(file.good());
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("Each subcommand has a page with each of its flags")
{
    for (const auto &command : operatorCommands()) {
        const auto text = page(fmt::format("commands/{}.md", command.name));
        CHECK_THAT(text, Contains(fmt::format("# oleander {}", command.name)));
        for (const auto flag : command.flags)
            CHECK_THAT(text, Contains(fmt::format("| `--{}` |", flag)));
    }
}

TEST_CASE("The records page lists each system value with its range and default")
{
    const auto text = page("records.md");
    for (const auto &value : Records::systemValues()) {
        CHECK_THAT(text, Contains(fmt::format("| `{}` | {} to {} | {} |", value.name, value.min,
                                              value.max, value.fallback)));
    }
}
