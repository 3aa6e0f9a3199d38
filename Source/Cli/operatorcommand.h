#pragma once

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Oleander {

/** One subcommand of the operator's command line, as help shows it. */
struct OperatorCommand
{
    std::string_view name;
    std::string_view arguments;
    std::string_view summary;
    std::vector<std::string_view> flags;
};

/** The table of the subcommands that talk to an entry. */
std::span<const OperatorCommand> operatorCommands();

/**
 * Runs the subcommand \a words[0] with the positional words after it and the values of the Abseil
 * flags; returns the exit code of the process.
 */
int runOperatorCommand(const std::vector<std::string> &positionals, std::istream &input,
                       std::ostream &output, std::ostream &errors);

} // namespace Oleander
