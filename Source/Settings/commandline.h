#pragma once

#include "Base/error.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Oleander {

/** Parsed command line of a program; the flag values are stored in the Abseil flags. */
struct CommandLine
{
    /** Positional arguments, in order. */
    std::vector<std::string> positionals;
    /** Names of the flags that were given. */
    std::vector<std::string> flags;
    bool help = false;
    bool version = false;
};

/**
 * Parses \a arguments, without the program name, and sets the Abseil flags given in them.
 *
 * Abseil's own parser exits with code 1 on an invalid flag. This parser returns an error with the
 * flag, the value and the allowed values instead.
 */
Result<CommandLine> readCommandLine(std::span<char *const> arguments);

/** Returns an error if \a line contains a flag that is not in \a allowed. */
Result<void> checkFlags(const CommandLine &line, std::string_view command,
                        std::span<const std::string_view> allowed);

/** Returns a help line for each flag in \a names: "  --name  DESCRIPTION Default: VALUE." */
std::string flagHelp(std::span<const std::string_view> names);

} // namespace Oleander
