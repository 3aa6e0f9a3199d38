#pragma once

#include <span>
#include <string_view>
#include <system_error>

namespace Oleander {

/** Exit codes of both programs; docs/reference/exit-codes.md describes them. */
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

/** An exit code and its description. */
struct ExitCodeRow
{
    ExitCode code;
    std::string_view meaning;
};

/** Returns all exit codes as listed in the help and on the reference page. */
std::span<const ExitCodeRow> exitCodeTable();

} // namespace Oleander
