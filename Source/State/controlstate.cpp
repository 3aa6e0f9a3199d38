#include "State/controlstate.h"

#include "Protocol/codec.h"
#include "Records/systemvalues.h"

#include <fmt/format.h>

#include <algorithm>

namespace Oleander::State {

namespace {

/** Returns the wall clock time of a command, if it has one. */
struct CommandTime
{
    std::optional<WallTime> operator()(const Records::Submit &command) const
    {
        return command.origin.time;
    }
    std::optional<WallTime> operator()(const Records::Withdraw &command) const
    {
        return command.origin.time;
    }
    std::optional<WallTime> operator()(const ConfirmConfiguration &command) const
    {
        return command.time;
    }
    std::optional<WallTime> operator()(const ClaimBatch &) const { return std::nullopt; }
    std::optional<WallTime> operator()(const Jobs::JobCommand &) const { return std::nullopt; }
    std::optional<WallTime> operator()(const Placement::TaskCommand &command) const
    {
        return std::visit(
            [](const auto &alternative) -> std::optional<WallTime> {
                if constexpr (requires { alternative.at; })
                    return alternative.at;
                else
                    return std::nullopt;
            },
            command);
    }
};

/** Contents of a snapshot. New fields must be added at the end. */
struct SnapshotImage
{
    Records::RecordBook records;
    Records::EventHistory events;
    std::string tasks;
    ClaimTable claims;
    Configuration configuration;
    std::uint64_t confirmed = 0;
    WallTime latest{};
    std::string jobs;
};

template<typename F>
void visitFields(F &&f, Fields<SnapshotImage> auto &&v)
{
    f(v.records);
    f(v.events);
    f(v.tasks);
    f(v.claims);
    f(v.configuration);
    f(v.confirmed);
    f(v.latest);
    f(v.jobs);
}

} // namespace

std::string ControlState::apply(std::uint64_t index, std::string_view command)
{
    const auto decoded = decode<Command>(command);
    if (!decoded) {
        return encode(Outcome(UnreadableCommand{
            fmt::format("The command at log index {} cannot be decoded by this build; nothing was "
                        "changed.",
                        index)}));
    }
    if (const auto time = std::visit(CommandTime{}, *decoded))
        latestTime_ = std::max(latestTime_, *time);
    Drafts drafts;
    const auto outcome = std::visit(
        [&](const auto &alternative) { return execute(index, alternative, drafts); }, *decoded);
    for (auto &draft : drafts)
        events_.add(index, latestTime_, std::move(draft));
    return encode(outcome);
}

Outcome ControlState::execute(std::uint64_t index, const Records::Submit &command, Drafts &drafts)
{
    auto outcome = records_.apply(index, command, drafts);
    applyChanges(outcome, drafts);
    return outcome;
}

Outcome ControlState::execute(std::uint64_t index, const Records::Withdraw &command, Drafts &drafts)
{
    auto outcome = records_.apply(index, command, drafts);
    applyChanges(outcome, drafts);
    return outcome;
}

Outcome ControlState::execute(std::uint64_t, const Placement::TaskCommand &command, Drafts &drafts)
{
    return tasks_.apply(command, drafts);
}

Outcome ControlState::execute(std::uint64_t, const ClaimBatch &command, Drafts &)
{
    return claims_.apply(command);
}

Outcome ControlState::execute(std::uint64_t, const Jobs::JobCommand &command, Drafts &)
{
    return jobs_.apply(command);
}

Outcome ControlState::execute(std::uint64_t, const ConfirmConfiguration &command, Drafts &drafts)
{
    if (command.version != configuration_.version || command.version <= confirmedVersion_)
        return ConfirmOutcome{false};
    confirmedVersion_ = command.version;
    drafts.push_back({Records::SubjectKind::Configuration,
                      fmt::to_string(command.version),
                      fmt::format("Configuration {} is in force everywhere: {} processes "
                                  "confirmed it.",
                                  command.version, command.processes),
                      {},
                      "Nothing is left to do."});
    return ConfirmOutcome{true};
}

void ControlState::applyChanges(const Records::ChangeOutcome &outcome, Drafts &drafts)
{
    if (outcome.replayed)
        return;
    for (const auto &change : outcome.changes) {
        const bool isChanged = change.result == Records::ChangeResult::Created
                               || change.result == Records::ChangeResult::Amended
                               || change.result == Records::ChangeResult::Withdrawn;
        const auto *record = isChanged ? records_.find(change.key) : nullptr;
        if (!record)
            continue;
        tasks_.recordChanged(*record, drafts);
        configuration_.applyRecord(*record);
    }
    updateHistoryLimits();
}

void ControlState::updateHistoryLimits()
{
    using namespace Records;
    const auto valueOf = [this](const SystemValue &known) {
        return configuration_.number(known.name, known.min, known.max, known.fallback);
    };
    events_.setMaxEvents(valueOf(EventsKept));
    records_.idempotencyTable().setMaxChanges(valueOf(AnswersKept));
    records_.setMaxWithdrawn(valueOf(WithdrawnKept));
}

std::string ControlState::snapshot() const
{
    return encode(SnapshotImage{records_, events_, tasks_.snapshot(), claims_, configuration_,
                                confirmedVersion_, latestTime_, jobs_.snapshot()});
}

Result<void> ControlState::restore(std::string_view bytes)
{
    auto image = decode<SnapshotImage>(bytes);
    if (!image) {
        return fail(Failure::Corrupt, Step::Snapshot, {},
                    "The snapshot cannot be decoded as a control state.");
    }
    // Tasks and jobs are restored into new objects first, so that a failed restore leaves the state
    // unchanged.
    Placement::TaskBook tasks;
    if (auto restored = tasks.restore(image->tasks); !restored)
        return restored;
    // Snapshots of builds without the job book have no data for it.
    Jobs::JobBook jobs;
    if (!image->jobs.empty()) {
        if (auto restored = jobs.restore(image->jobs); !restored)
            return restored;
    }
    records_ = std::move(image->records);
    events_ = std::move(image->events);
    tasks_ = std::move(tasks);
    jobs_ = std::move(jobs);
    claims_ = std::move(image->claims);
    configuration_ = std::move(image->configuration);
    confirmedVersion_ = image->confirmed;
    latestTime_ = image->latest;
    return {};
}

} // namespace Oleander::State
