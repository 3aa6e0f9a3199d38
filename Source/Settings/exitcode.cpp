#include "Settings/exitcode.h"

#include "Base/error.h"

#include <array>

namespace Oleander {

namespace {

constexpr auto Rows = std::to_array<ExitCodeRow>({
    {ExitCode::Success, "done as asked"},
    {ExitCode::Refused, "refused: the input or the record is not valid; nothing was changed"},
    {ExitCode::Usage, "the command line is not valid; nothing was sent"},
    {ExitCode::Conflict, "somebody else's change came first; nothing was changed"},
    {ExitCode::NotFound, "there is no such record, task or address"},
    {ExitCode::Unavailable, "no entry could take it; nothing was changed"},
    {ExitCode::OutcomeUnknown, "the outcome is unknown: read the record before trying again"},
    {ExitCode::Settings, "the settings file has mistakes; nothing was started"},
    {ExitCode::Storage, "the data folder cannot be used"},
});

} // namespace

ExitCode exitCodeOf(const std::error_code &code)
{
    if (code.category() != failureCategory())
        return ExitCode::Refused;
    switch (static_cast<Failure>(code.value())) {
    case Failure::Conflict:
        return ExitCode::Conflict;
    case Failure::NotFound:
        return ExitCode::NotFound;
    case Failure::NotLeader:
    case Failure::Unavailable:
    case Failure::Overloaded:
    case Failure::StaleConfiguration:
        return ExitCode::Unavailable;
    case Failure::DeadlineExceeded:
    case Failure::Unknown:
    case Failure::Cancelled:
    case Failure::Protocol:
        return ExitCode::OutcomeUnknown;
    case Failure::Corrupt:
    case Failure::StorageFull:
    case Failure::Io:
        return ExitCode::Storage;
    case Failure::InvalidInput:
    case Failure::Refused:
    case Failure::TooLarge:
    case Failure::WrongIncarnation:
        break;
    }
    return ExitCode::Refused;
}

std::span<const ExitCodeRow> exitCodeTable()
{
    return Rows;
}

} // namespace Oleander
