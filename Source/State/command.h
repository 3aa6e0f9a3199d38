#pragma once

#include "Jobs/jobcommand.h"
#include "Placement/taskcommand.h"
#include "Records/change.h"
#include "Routing/claimcommands.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Oleander::State {

/** Records for the operators that a configuration version is in force in every process. */
struct ConfirmConfiguration
{
    std::uint64_t version = 0;
    /** Number of processes that confirmed the version. */
    std::uint64_t processes = 0;
    WallTime time{};
};

template<typename F>
void visitFields(F &&f, Fields<ConfirmConfiguration> auto &&v)
{
    f(v.version);
    f(v.processes);
    f(v.time);
}

/** A command of the control log. New alternatives must be added at the end. */
using Command = std::variant<Records::Submit, Records::Withdraw, Placement::TaskCommand, ClaimBatch,
                             ConfirmConfiguration, Jobs::JobCommand>;

/** Outcome of a command that this build cannot decode. */
struct UnreadableCommand
{
    std::string detail;
};

template<typename F>
void visitFields(F &&f, Fields<UnreadableCommand> auto &&v)
{
    f(v.detail);
}

/** Outcome of a ConfirmConfiguration command. */
struct ConfirmOutcome
{
    /** False if the version is no longer in force or was already confirmed. */
    bool recorded = false;
};

template<typename F>
void visitFields(F &&f, Fields<ConfirmOutcome> auto &&v)
{
    f(v.recorded);
}

/** Outcome of a command, as encoded by ControlState::apply(). New alternatives must be added at the
 * end. */
using Outcome = std::variant<UnreadableCommand, Records::ChangeOutcome, Placement::TaskOutcome,
                             ClaimBatchOutcome, ConfirmOutcome, Jobs::JobOutcome>;

/** Encodes a command for ReplicaTask::propose(). */
std::string encodeCommand(const Command &command);

/** Decodes the outcome returned by ControlState::apply(). */
Result<Outcome> decodeOutcome(std::string_view bytes);

/** Decodes an outcome of the type \a Expected; any other type is an error. */
template<typename Expected>
Result<Expected> outcomeOf(std::string_view bytes)
{
    auto outcome = decodeOutcome(bytes);
    if (!outcome)
        return tl::make_unexpected(outcome.error());
    if (auto *expected = std::get_if<Expected>(&*outcome))
        return std::move(*expected);
    const auto *unreadable = std::get_if<UnreadableCommand>(&*outcome);
    return fail(Failure::Protocol, Step::Apply, {},
                unreadable ? unreadable->detail
                           : std::string("The outcome belongs to another type of command."));
}

} // namespace Oleander::State
