#include "Agent/agentprocess.h"
#include "Fleet/machineagent.h"
#include "platformcodec.h"
#include "Settings/commandline.h"
#include "Settings/exitcode.h"
#include "Settings/settingsfile.h"

#include <fmt/format.h>

#include <iostream>

using namespace Oleander;

namespace {

constexpr const char *Help =
    "oleander-agent: the process beside the minions and the worker of one host.\n"
    "\n"
    "usage: oleander-agent SETTINGS\n"
    "       oleander-agent machine [SETTINGS]\n"
    "       oleander-agent check-config SETTINGS\n"
    "       oleander-agent --help | --version\n"
    "\n"
    "SETTINGS is an INI file; docs/reference/settings.md lists its keys.\n";

int reportUsageError(std::string_view problem)
{
    fmt::print(stderr, "oleander-agent: {}\n", problem);
    return static_cast<int>(ExitCode::Usage);
}

int runMachine(const std::string &path)
{
    const auto settings = loadMachineAgentSettings(path, std::cerr);
    if (!settings)
        return static_cast<int>(ExitCode::Settings);
    return Fleet::runMachineAgent(*settings, path, Platform::platformCodec());
}

} // namespace

int main(int argc, char **argv)
{
    const auto line = readCommandLine({argv + 1, static_cast<std::size_t>(argc - 1)});
    if (!line)
        return reportUsageError(line.error().text());
    if (line->help) {
        fmt::print("{}", Help);
        return 0;
    }
    if (line->version) {
        fmt::print("oleander-agent {}\n", OLEANDER_VERSION);
        return 0;
    }
    if (line->positionals.size() == 2 && line->positionals[0] == "check-config") {
        const bool isValid = checkSettingsFile(line->positionals[1], std::cout, std::cerr);
        return static_cast<int>(isValid ? ExitCode::Success : ExitCode::Settings);
    }
    if (!line->positionals.empty() && line->positionals[0] == "machine"
        && line->positionals.size() <= 2) {
        const std::string path =
            line->positionals.size() == 2 ? line->positionals[1] : Platform::settingsPath();
        return path.empty() ? reportUsageError("No settings file is named; --help shows the usage.")
                            : runMachine(path);
    }
    if (line->positionals.size() != 1)
        return reportUsageError("The command line names no settings file; --help shows the usage.");
    const auto settings = loadAgentSettings(line->positionals[0], std::cerr);
    if (!settings)
        return static_cast<int>(ExitCode::Settings);
    return runAgent(*settings);
}
