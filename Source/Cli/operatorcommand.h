#pragma once

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Oleander {

/** Description of an operator subcommand for the help. */
struct OperatorCommand
{
    std::string_view name;
    std::string_view arguments;
    std::string_view summary;
    std::vector<std::string_view> flags;
};

/** Returns all subcommands that send a request to an entry. */
std::span<const OperatorCommand> operatorCommands();

/**
 * Runs the subcommand \a positionals[0] with the positional arguments after it and the values of
 * the Abseil flags. Returns the exit code of the process.
 */
int runOperatorCommand(const std::vector<std::string> &positionals, std::istream &input,
                       std::ostream &output, std::ostream &errors);

} // namespace Oleander
