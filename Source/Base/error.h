#pragma once

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace Oleander {

/** Processing step in which an error occurred; each step is a row of the fault matrix. */
enum class Step {
    None,
    Settings,
    CommandLine,
    Connect,
    Decode,
    Accept,
    Claim,
    Choose,
    Send,
    Admit,
    Start,
    Run,
    Answer,
    Relay,
    Receive,
    Append,
    Commit,
    Spread,
    Apply,
    Restart,
    Place,
    Order,
    Report,
    Checkpoint,
    Stop,
    Resume,
    Elect,
    Sync,
    Snapshot,
    Join,
    Leave,
};

/** Returns the name of \a step as used in logs and responses. */
std::string_view stepName(Step step);
/** Returns the step called \a name, or nullopt. */
std::optional<Step> stepFromName(std::string_view name);

/** Kind of failure; the values of failureCategory(). */
enum class Failure {
    InvalidInput = 1,
    NotFound,
    Conflict,
    NotLeader,
    Unavailable,
    Overloaded,
    DeadlineExceeded,
    Refused,
    Cancelled,
    Corrupt,
    StorageFull,
    Io,
    Protocol,
    TooLarge,
    StaleConfiguration,
    WrongIncarnation,
    Unknown,
};

/** Returns the error category of this project. */
const std::error_category &failureCategory();

std::error_code make_error_code(Failure failure); // NOLINT(readability-identifier-naming)

/**
 * \struct Error
 * \brief A failure with the processing step and the peer at which it occurred.
 *
 * \a detail is a full sentence that names the offending file, field or value and what is allowed.
 */
struct Error
{
    std::error_code code;
    Step step = Step::None;
    std::string peer;
    std::string detail;

    /** Human-readable text: "<detail> (step <step>, peer <peer>)". */
    std::string text() const;
};

/** Creates an Error in failureCategory(). */
Error makeError(Failure failure, Step step, std::string peer, std::string detail);

/** A value, or the Error because of which there is none. */
template<typename T>
using Result = tl::expected<T, Error>;

/** Shorthand for returning an Error from a function that returns a Result. */
inline tl::unexpected<Error> fail(Failure failure, Step step, std::string peer, std::string detail)
{
    return tl::make_unexpected(makeError(failure, step, std::move(peer), std::move(detail)));
}

} // namespace Oleander

template<>
struct std::is_error_code_enum<Oleander::Failure> : std::true_type
{};
