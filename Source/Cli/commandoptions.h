#pragma once

#include "Base/clock.h"
#include "Base/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Oleander {

/** Format of printed answers. */
enum class OutputFormat { Table, Json };

/** Flag values of the operator's command line. */
struct CommandOptions
{
    /** Addresses of the entries' HTTP servers for operators. */
    std::vector<std::string> servers;
    OutputFormat format = OutputFormat::Table;
    std::string author;
    /** Idempotency key of the command; random if the flag is empty. */
    std::string key;
    /** Expected current revision of the record. */
    std::optional<std::uint64_t> revision;
    /** Time limit for the command. */
    Duration timeout{};
    /** Maximum wait until a configuration is in force in every process. */
    Duration wait{};
    /** Lists only events with a higher number. */
    std::uint64_t after = 0;
    /** Maximum number of listed events or records. */
    std::uint64_t limit = 0;
    /** Lists withdrawn records too. */
    bool withWithdrawn = false;
    /** File with names of records, one per line; "-" is standard input. */
    std::string from;
};

/** Sets the value of --server, for a subcommand with the address as a positional argument. */
void setServer(const std::string &address);

/** Reads and validates the flags; the error names the flag, its value and the allowed values. */
Result<CommandOptions> readCommandOptions();

} // namespace Oleander
