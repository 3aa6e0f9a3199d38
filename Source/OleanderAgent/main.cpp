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

int usage(std::string_view problem)
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
        return usage(line.error().text());
    if (line->help) {
        fmt::print("{}", Help);
        return 0;
    }
    if (line->version) {
        fmt::print("oleander-agent {}\n", OLEANDER_VERSION);
        return 0;
    }
    if (line->words.size() == 2 && line->words[0] == "check-config") {
        const bool good = checkSettingsFile(line->words[1], std::cout, std::cerr);
        return static_cast<int>(good ? ExitCode::Success : ExitCode::Settings);
    }
    if (!line->words.empty() && line->words[0] == "machine" && line->words.size() <= 2) {
        const std::string path =
            line->words.size() == 2 ? line->words[1] : Platform::settingsPath();
        return path.empty() ? usage("No settings file is named; --help shows the usage.")
                            : runMachine(path);
    }
    if (line->words.size() != 1)
        return usage("The command line names no settings file; --help shows the usage.");
    const auto settings = loadAgentSettings(line->words[0], std::cerr);
    if (!settings)
        return static_cast<int>(ExitCode::Settings);
    return runAgent(*settings);
}
