#pragma once

#include <span>
#include <string_view>
#include <system_error>

namespace Oleander {

/** Exit codes of both programs, by kind of failure; docs/reference/exit-codes.md explains them. */
enum class ExitCode : int {
    Success = 0,
    Refused = 1,
    Usage = 2,
    Conflict = 3,
    NotFound = 4,
    Unavailable = 5,
    OutcomeUnknown = 6,
    Settings = 7,
    Storage = 8,
};

/** Returns the exit code for a failure. */
ExitCode exitCodeOf(const std::error_code &code);

/** One row of the table of exit codes. */
struct ExitCodeRow
{
    ExitCode code;
    std::string_view meaning;
};

/** The table of exit codes, as help and the reference page show it. */
std::span<const ExitCodeRow> exitCodeTable();

} // namespace Oleander
