#include "Entry/recordoutcome.h"

#include "Base/nametable.h"
#include "Records/timetext.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

namespace Oleander {

namespace {

using Placement::Task;
using Placement::TaskState;

std::string stateName(TaskState state)
{
    return std::string(nameIn(Placement::TaskStateNames, state));
}

std::string taskSentence(const Task &task)
{
    auto text = fmt::format("Attempt {} is {}", task.attempt, stateName(task.state));
    if (task.live)
        text += fmt::format(" on worker {}", task.live->worker);
    text += ".";
    if (!task.reason.empty())
        text += " " + task.reason;
    return text;
}

/** Fills in the outcome of a record that is not withdrawn, depending on its kind. */
struct Summary
{
    const State::ControlState &state;
    const Records::Record &record;
    const ConfigurationRollout &rollout;
    RecordOutcome &outcome;

    void operator()(const Records::ServiceSpec &spec) const
    {
        const auto running =
            std::count_if(outcome.tasks.begin(), outcome.tasks.end(),
                          [](const Task *task) { return task->state == TaskState::Running; });
        const auto wanted = static_cast<std::ptrdiff_t>(spec.replicas);
        outcome.state = running >= wanted ? "running" : "incomplete";
        outcome.detail = fmt::format("{} of {} replicas run.", running, spec.replicas);
        for (const auto *task : outcome.tasks) {
            if (task->state != TaskState::Running && !task->reason.empty()) {
                outcome.detail += fmt::format(" {}: {}", task->id, task->reason);
                break;
            }
        }
    }
    void operator()(const Records::BatchSpec &) const
    {
        if (outcome.tasks.empty()) {
            outcome.state = "forgotten";
            outcome.detail = "The job ended so long ago that its outcome is no longer stored.";
            return;
        }
        const auto &task = *outcome.tasks.back();
        outcome.state = stateName(task.state);
        outcome.detail = taskSentence(task);
    }
    void operator()(const Records::DrainSpec &spec) const
    {
        const auto *worker = state.tasks().worker(spec.worker);
        if (!worker) {
            outcome.state = "unknown-worker";
            outcome.detail = fmt::format("Worker {} has not announced itself yet; when it does, it "
                                         "gets no work.",
                                         spec.worker);
            return;
        }
        outcome.state = worker->drained ? "drained" : "draining";
        outcome.detail = worker->drained
                             ? fmt::format("Worker {} holds no tasks any more.", spec.worker)
                             : fmt::format("Worker {} still holds tasks.", spec.worker);
        if (!worker->drainBlocked.empty())
            outcome.detail += " " + worker->drainBlocked;
    }
    void operator()(const Records::ConfigurationSpec &) const
    {
        const bool isInForce = rollout.version >= record.index && rollout.isInForceEverywhere();
        outcome.state = isInForce ? "in-force" : "spreading";
        outcome.detail = rolloutSentence(rollout, record.index);
    }
};

/** Tasks of a record, including those of a withdrawn service that are still stopping. */
std::vector<const Task *> tasksOf(const Placement::TaskBook &book, const Records::Record &record)
{
    const Records::RecordKey key{record.kind, record.name};
    std::vector<const Task *> tasks;
    if (record.withdrawn && record.kind == Records::RecordKind::Service) {
        // TaskBook::tasksOf() omits the replicas of a withdrawn service.
        for (const auto &[id, task] : book.tasks()) {
            if (task.record == key)
                tasks.push_back(&task);
        }
        return tasks;
    }
    for (const auto &id : book.tasksOf(key)) {
        if (const auto *task = book.task(id))
            tasks.push_back(task);
    }
    return tasks;
}

} // namespace

std::string rolloutSentence(const ConfigurationRollout &rollout, std::uint64_t version)
{
    if (rollout.version < version || !rollout.isConfirmedLocally) {
        return fmt::format("This entry has configuration {} and waits for {}.", rollout.version,
                           version);
    }
    std::string text;
    if (!rollout.waitingFor.empty()) {
        text = fmt::format("Configuration {} waits for {}.", rollout.version,
                           fmt::join(rollout.waitingFor, ", "));
    } else if (!rollout.knowsAllProcesses) {
        text = fmt::format("Configuration {} waits for processes that may not have contacted this "
                           "entry since it started.",
                           rollout.version);
    } else {
        text = fmt::format("Configuration {} is in force everywhere.", rollout.version);
    }
    if (!rollout.leaseExpired.empty()) {
        text += fmt::format(" Unreachable, and refusing work until they have it: {}.",
                            fmt::join(rollout.leaseExpired, ", "));
    }
    return text;
}

RecordOutcome outcomeOfRecord(const State::ControlState &state, const Records::Record &record,
                              const ConfigurationRollout &rollout)
{
    RecordOutcome outcome;
    outcome.tasks = tasksOf(state.tasks(), record);
    if (record.withdrawn) {
        const bool hasStopped = std::all_of(outcome.tasks.begin(), outcome.tasks.end(),
                                            [](const Task *task) { return !task->live; });
        outcome.state = hasStopped ? "withdrawn" : "stopping";
        outcome.detail = fmt::format("Withdrawn by {} at {}.", record.author,
                                     Records::timeText(record.changedAt));
        if (!hasStopped)
            outcome.detail += " Its tasks are being stopped.";
        return outcome;
    }
    std::visit(Summary{state, record, rollout, outcome}, record.spec);
    return outcome;
}

} // namespace Oleander
