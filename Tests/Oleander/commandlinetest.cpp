#include "Support/childprocess.h"
#include "Support/temporaryfolder.h"

#include <catch2/catch.hpp>

using namespace Oleander::Testing;

namespace {

const std::string Entry = OLEANDER_PROGRAM;
const std::string Agent = OLEANDER_AGENT_PROGRAM;

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("Both programs print their version and their help")
{
    for (const auto &program : {Entry, Agent}) {
        const auto version = runCommand({program, "--version"});
        CHECK(version.exitCode == 0);
        CHECK(contains(version.output, "0.1.0\n"));
        const auto help = runCommand({program, "--help"});
        CHECK(help.exitCode == 0);
        CHECK(contains(help.output, "usage: "));
        CHECK(help.errors.empty());
    }
}

TEST_CASE("Each subcommand has its own help")
{
    const auto overall = runCommand({Entry, "--help"}).output;
    for (const std::string command : {"serve", "check-config", "submit", "amend", "withdraw",
                                      "show", "list", "events", "status", "dump"}) {
        CHECK(contains(overall, "\n  " + command + ' '));
        const auto help = runCommand({Entry, command, "--help"});
        CHECK(help.exitCode == 0);
        CHECK(help.output.starts_with("usage: oleander " + command));
        CHECK(help.errors.empty());
    }
}

TEST_CASE("Command line errors give exit code 2 and a message")
{
    const auto check = [](std::vector<std::string> command, const std::string &sentence) {
        const auto result = runCommand(std::move(command));
        CHECK(result.exitCode == 2);
        CHECK(result.output.empty());
        CHECK(contains(result.errors, sentence));
    };
    check({Entry}, "No subcommand was given; --help lists them.");
    check({Entry, "juggle"}, "The subcommand \"juggle\" is unknown; --help lists them.");
    check({Entry, "serve"}, "The usage is: oleander serve SETTINGS.");
    check({Entry, "status", "--colour=red"}, "The flag --colour is unknown");
    check({Entry, "serve", "x.ini", "--output=json"},
          "The subcommand serve takes no flag --output");
    check({Agent}, "The command line names no settings file");
}

TEST_CASE("check-config of either program accepts the examples")
{
    const std::string folder = OLEANDER_ROOT "/Examples/licensing-office/";
    const auto entry = runCommand({Entry, "check-config", folder + "entry-1.ini"});
    CHECK(entry.exitCode == 0);
    CHECK(entry.output == folder + "entry-1.ini: good settings of the entry \"entry-1\".\n");
    for (const auto &program : {Entry, Agent}) {
        const auto agent = runCommand({program, "check-config", folder + "agent-1.ini"});
        CHECK(agent.exitCode == 0);
        CHECK(agent.output == folder + "agent-1.ini: good settings of the agent \"worker-1\".\n");
    }
}

TEST_CASE("No process starts with invalid settings and each error is listed")
{
    const TemporaryFolder folder;
    const std::string file =
        folder.write("bad.ini", "[entry]\nname = entry-1\nregion = Iceland!\nport = 80\n");
    for (const std::string command : {"serve", "check-config"}) {
        const auto result = runCommand({Entry, command, file});
        CHECK(result.exitCode == 7);
        CHECK(result.output.empty());
        CHECK(
            contains(result.errors, file + ":3: [entry] region = \"Iceland!\": The value is not"));
        CHECK(contains(result.errors, file + ":4: [entry] port = \"80\": The key is unknown"));
        CHECK(contains(result.errors, file + ": [entry] rack: The key is missing."));
    }
    CHECK(runCommand({Agent, file}).exitCode == 7);
}
