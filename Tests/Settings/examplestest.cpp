#include "Records/parse.h"
#include "Records/systemvalues.h"
#include "Settings/settingsfile.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace Oleander;

namespace {

std::vector<std::filesystem::path> examples(const std::string &extension)
{
    std::vector<std::filesystem::path> files;
    for (const auto &file :
         std::filesystem::recursive_directory_iterator(OLEANDER_ROOT "/Examples")) {
        if (file.path().extension() == extension)
            files.push_back(file.path());
    }
    return files;
}

} // namespace

TEST_CASE("Every settings file in Examples is valid")
{
    const auto files = examples(".ini");
    CHECK(files.size() == 12);
    for (const auto &file : files) {
        std::ostringstream output;
        std::ostringstream errors;
        CHECK(checkSettingsFile(file.string(), output, errors));
        CHECK(errors.str().empty());
    }
}

TEST_CASE("Every record in Examples is valid and its file name starts with its kind")
{
    const auto files = examples(".json");
    CHECK(files.size() == 10);
    for (const auto &file : files) {
        const std::string name = file.stem().string();
        const auto kind = Records::kindFromName(name.substr(0, name.find('-')));
        REQUIRE(kind);
        std::ostringstream body;
        body << std::ifstream(file).rdbuf();
        const auto parsed = Records::parseBody(*kind, body.str());
        INFO(file);
        INFO((parsed ? std::string() : parsed.error().text()));
        REQUIRE(parsed);
        CHECK(Records::checkSystemValues({*kind, name.substr(name.find('-') + 1)}, parsed->spec));
    }
}
