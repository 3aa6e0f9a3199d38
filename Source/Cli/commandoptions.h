#pragma once

#include "Base/clock.h"
#include "Base/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Oleander {

/** How answers are printed. */
enum class OutputFormat { Table, Json };

/** Values of the flags of the operator's command line. */
struct CommandOptions
{
    std::vector<std::string> servers;
    OutputFormat format = OutputFormat::Table;
    std::string author;
    /** Key that names a command over resends; made up when the flag is empty. */
    std::string key;
    std::optional<std::uint64_t> revision;
    Duration timeout{};
    /** Longest wait for a configuration to be in force everywhere. */
    Duration wait{};
    std::uint64_t after = 0;
    std::uint64_t limit = 0;
    bool withWithdrawn = false;
    std::string from;
};

/** Makes \a address the value of --server, as for a subcommand that takes it as a word. */
void setServer(const std::string &address);

/** Reads and checks the flags; the error names the flag, its value and what is allowed. */
Result<CommandOptions> readCommandOptions();

} // namespace Oleander
