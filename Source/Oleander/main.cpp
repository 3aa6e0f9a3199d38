#include "Cli/operatorcommand.h"
#include "Entry/entry.h"
#include "Fleet/controlhost.h"
#include "Fleet/jobentry.h"
#include "platformcodec.h"
#include "Settings/commandline.h"
#include "Settings/exitcode.h"
#include "Settings/settingsfile.h"

#include <fmt/format.h>

#include <algorithm>
#include <iostream>

using namespace Oleander;

namespace {

/** A subcommand that runs in this process without sending a request to an entry. */
struct LocalCommand
{
    std::string_view name;
    std::string_view arguments;
    std::string_view summary;
    int (*run)(const std::string &path);
};

int serve(const std::string &path)
{
    const auto settings = loadEntrySettings(path, std::cerr);
    if (!settings)
        return static_cast<int>(ExitCode::Settings);
    return runEntry(*settings);
}

int control(const std::string &path)
{
    const auto settings = loadControlHostSettings(path, std::cerr);
    if (!settings)
        return static_cast<int>(ExitCode::Settings);
    return Fleet::runControlHost(*settings, path, Platform::platformCodec());
}

int jobEntry(const std::string &path)
{
    const auto settings = loadJobEntrySettings(path, std::cerr);
    if (!settings)
        return static_cast<int>(ExitCode::Settings);
    return Fleet::runJobEntry(*settings, path, Platform::platformCodec());
}

int checkConfig(const std::string &path)
{
    const bool isValid = checkSettingsFile(path, std::cout, std::cerr);
    return static_cast<int>(isValid ? ExitCode::Success : ExitCode::Settings);
}

constexpr LocalCommand LocalCommands[] = {
    {"serve", "SETTINGS", "Runs an entry with the settings of an INI file.", serve},
    {"control", "[SETTINGS]", "Runs a control host for jobs on the users' platform.", control},
    {"entry", "[SETTINGS]", "Runs an entry for jobs on the users' platform.", jobEntry},
    {"check-config", "SETTINGS", "Checks a settings file of any process.", checkConfig},
};

int reportUsageError(std::string_view problem)
{
    fmt::print(stderr, "oleander: {}\n", problem);
    return static_cast<int>(ExitCode::Usage);
}

void printHelpLine(std::string_view name, std::string_view summary)
{
    fmt::print("  {:<14}{}\n", name, summary);
}

void printHelp()
{
    fmt::print("oleander: an entry of the scheduler and its operator's command line.\n\n"
               "usage: oleander SUBCOMMAND [--help] ...\n"
               "       oleander --help | --version\n\n"
               "Subcommands:\n");
    for (const auto &command : LocalCommands)
        printHelpLine(command.name, command.summary);
    for (const auto &command : operatorCommands())
        printHelpLine(command.name, command.summary);
    fmt::print("\nExit codes:\n");
    for (const auto &row : exitCodeTable())
        fmt::print("  {}  {}\n", static_cast<int>(row.code), row.meaning);
}

void printCommandHelp(std::string_view name, std::string_view arguments, std::string_view summary,
                      std::span<const std::string_view> flags)
{
    fmt::print("usage: oleander {} {}\n\n{}\n", name, arguments, summary);
    if (!flags.empty())
        fmt::print("\nFlags:\n{}", flagHelp(flags));
}

int runLocal(const LocalCommand &command, const CommandLine &line)
{
    if (line.help) {
        printCommandHelp(command.name, command.arguments, command.summary, {});
        return 0;
    }
    if (const auto flags = checkFlags(line, command.name, {}); !flags)
        return reportUsageError(flags.error().text());
    // For processes started by the platform, the platform provides the path of the settings file.
    const bool isPathOptional = command.arguments.starts_with('[');
    const std::string platformPath = Platform::settingsPath();
    if (isPathOptional && line.positionals.size() == 1 && !platformPath.empty())
        return command.run(platformPath);
    if (line.positionals.size() != 2)
        return reportUsageError(
            fmt::format("The usage is: oleander {} {}.", command.name, command.arguments));
    return command.run(line.positionals[1]);
}

int runOperator(const OperatorCommand &command, const CommandLine &line)
{
    if (line.help) {
        printCommandHelp(command.name, command.arguments, command.summary, command.flags);
        return 0;
    }
    if (const auto flags = checkFlags(line, command.name, command.flags); !flags)
        return reportUsageError(flags.error().text());
    return runOperatorCommand(line.positionals, std::cin, std::cout, std::cerr);
}

} // namespace

int main(int argc, char **argv)
{
    const auto line = readCommandLine({argv + 1, static_cast<std::size_t>(argc - 1)});
    if (!line)
        return reportUsageError(line.error().text());
    if (line->version) {
        fmt::print("oleander {}\n", OLEANDER_VERSION);
        return 0;
    }
    if (line->positionals.empty()) {
        if (!line->help)
            return reportUsageError("No subcommand was given; --help lists them.");
        printHelp();
        return 0;
    }
    const std::string &commandName = line->positionals[0];
    for (const auto &command : LocalCommands) {
        if (command.name == commandName)
            return runLocal(command, *line);
    }
    for (const auto &command : operatorCommands()) {
        if (command.name == commandName)
            return runOperator(command, *line);
    }
    return reportUsageError(
        fmt::format("The subcommand \"{}\" is unknown; --help lists them.", commandName));
}
