#pragma once

#include "Base/error.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Oleander {

/** What a program was called with; the values of flags are in the Abseil flags themselves. */
struct CommandLine
{
    /** Words that are no flags, in order. */
    std::vector<std::string> positionals;
    /** Names of the flags that were given. */
    std::vector<std::string> flags;
    bool help = false;
    bool version = false;
};

/**
 * Reads \a arguments, without the program's name, and sets each Abseil flag that they name.
 *
 * Abseil's own parser ends the process with exit code 1 on a mistake; this one returns an error
 * that names the flag, the value and what is allowed.
 */
Result<CommandLine> readCommandLine(std::span<char *const> arguments);

/** Returns an error unless every flag of \a line is one of \a allowed. */
Result<void> checkFlags(const CommandLine &line, std::string_view command,
                        std::span<const std::string_view> allowed);

/** Help lines for the flags called \a names: "  --name (what it does); default: VALUE". */
std::string flagHelp(std::span<const std::string_view> names);

} // namespace Oleander
