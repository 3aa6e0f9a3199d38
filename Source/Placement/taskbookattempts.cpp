#include "Placement/faultattribution.h"
#include "Placement/fitting.h"
#include "Placement/taskbook.h"

#include <fmt/format.h>

#include <algorithm>

namespace Oleander::Placement {

namespace {

using Records::SubjectKind;

WallTime addDelay(WallTime at, Duration delay)
{
    return at + std::chrono::duration_cast<std::chrono::milliseconds>(delay);
}

/** Returns why \a worker cannot take \a placement at \a at, or an empty string. */
std::string workerRefusal(const Worker &worker, const TaskPlacement &placement, WallTime at)
{
    if (worker.lost)
        return fmt::format("Worker {} is lost.", worker.name);
    if (worker.session != placement.session) {
        return fmt::format("Worker {} is in session {}, not {}.", worker.name, worker.session,
                           placement.session);
    }
    if (!worker.drain.empty())
        return fmt::format("Worker {} is being drained.", worker.name);
    if (worker.health == WorkerHealth::Probing)
        return fmt::format("Worker {} is being probed.", worker.name);
    if (worker.health == WorkerHealth::Suspended && at < worker.probeAt)
        return fmt::format("Worker {} is suspended.", worker.name);
    return {};
}

/** Returns why \a task is not ready for \a placement at \a at, or an empty string. */
std::string taskRefusal(const Task &task, const TaskPlacement &placement, WallTime at)
{
    if (!task.isWaiting())
        return fmt::format("Task {} is {}.", task.id, nameIn(TaskStateNames, task.state));
    if (placement.attempt != task.attempt + 1) {
        return fmt::format("The next attempt of task {} is {}, not {}.", task.id, task.attempt + 1,
                           placement.attempt);
    }
    if (at < task.notBefore)
        return fmt::format("Task {} waits for its backoff.", task.id);
    return {};
}

} // namespace

TaskOutcome TaskBook::apply(const PlaceTasks &command, EventDrafts &drafts)
{
    TaskOutcome outcome;
    for (const TaskPlacement &placement : command.placements) {
        std::string refusal = place(placement, command.at, drafts);
        if (!refusal.empty())
            outcome.refusals.push_back(std::move(refusal));
    }
    return outcome;
}

std::string TaskBook::place(const TaskPlacement &placement, WallTime at, EventDrafts &drafts)
{
    const auto foundTask = data_.tasks.find(placement.task);
    if (foundTask == data_.tasks.end())
        return fmt::format("There is no task {}.", placement.task);
    const auto foundWorker = data_.workers.find(placement.worker);
    if (foundWorker == data_.workers.end())
        return fmt::format("There is no worker {}.", placement.worker);
    Task &task = foundTask->second;
    Worker &worker = foundWorker->second;
    if (std::string refusal = taskRefusal(task, placement, at); !refusal.empty())
        return refusal;
    if (std::string refusal = workerRefusal(worker, placement, at); !refusal.empty())
        return refusal;
    if (!ledger_.commit(worker.name, {task.id, placement.attempt, task.declared})) {
        return fmt::format("Worker {} has no room for {}.", worker.name, describe(task.declared));
    }
    if (worker.health == WorkerHealth::Suspended) {
        worker.health = WorkerHealth::Probing;
        noteChange(worker);
    }
    const bool isResumed = task.state == TaskState::Evicted;
    Attempt attempt;
    attempt.worker = worker.name;
    attempt.session = worker.session;
    attempt.committed = task.declared;
    attempt.placedAt = at;
    attempt.resumedFrom = task.checkpoint;
    attempt.revision = task.revision;
    task.live = std::move(attempt);
    task.attempt = placement.attempt;
    task.state = TaskState::Placed;
    task.reason.clear();
    noteChange(task);
    drafts.push_back(
        {SubjectKind::Task, task.id,
         fmt::format("Attempt {} was placed on worker {}.", task.attempt, worker.name),
         isResumed ? fmt::format("The task resumes {}.", task.checkpoint > 0 ? fmt::format(
                                                             "from checkpoint {}", task.checkpoint)
                                                                             : "from its beginning")
                   : "",
         "Its worker is ordered to start it."});
    return {};
}

TaskOutcome TaskBook::apply(const ReportTasks &command, EventDrafts &drafts)
{
    const auto worker = data_.workers.find(command.worker);
    if (worker == data_.workers.end())
        return {{fmt::format("There is no worker {}.", command.worker)}};
    for (const ReportedAttempt &reported : command.attempts)
        report(worker->second, reported, command, drafts);
    checkDrained(command.worker, drafts);
    return {};
}

void TaskBook::report(Worker &worker, const ReportedAttempt &reported, const ReportTasks &command,
                      EventDrafts &drafts)
{
    const AttemptReport &attemptReport = reported.report;
    acceptLateSuccess(attemptReport, drafts);
    Task *task = liveTask(attemptReport.task, attemptReport.attempt);
    // A report of an attempt that is not live, or from a worker that doesn't hold it, is late and
    // has no effect.
    if (!task || task->live->worker != worker.name)
        return;
    const bool hasNewCheckpoint = attemptReport.checkpoint > task->checkpoint;
    task->checkpoint = std::max(task->checkpoint, attemptReport.checkpoint);
    noteChange(*task);
    switch (attemptReport.state) {
    case AttemptState::Starting:
    case AttemptState::Stopping:
    case AttemptState::Checkpointing:
        return;
    case AttemptState::Running:
        task->live->confirmed = true;
        if (task->state == TaskState::Placed)
            task->state = TaskState::Running;
        else if (task->state == TaskState::Checkpointing && hasNewCheckpoint)
            task->state = TaskState::Stopping;
        return;
    case AttemptState::Stopped:
        attemptStopped(*task, attemptReport.reason, reported.retryAfter, command.at, drafts);
        return;
    case AttemptState::Succeeded:
        attemptSucceeded(*task, worker, reported, command, drafts);
        return;
    case AttemptState::Failed:
        if (task->live->stopCause != StopCause::None)
            attemptStopped(*task, attemptReport.reason, reported.retryAfter, command.at, drafts);
        else
            attemptFailed(*task, worker, reported, command, drafts);
        return;
    }
}

void TaskBook::acceptLateSuccess(const AttemptReport &attemptReport, EventDrafts &drafts)
{
    // The attempt was stopped when its worker was declared lost, but it had already succeeded. The
    // success counts unless a later attempt was placed.
    const auto found = data_.tasks.find(attemptReport.task);
    const bool isLast = found != data_.tasks.end() && found->second.isWaiting()
                        && found->second.attempt == attemptReport.attempt
                        && !found->second.isService();
    if (isLast && attemptReport.state == AttemptState::Succeeded)
        finish(found->second, TaskState::Done, attemptReport.reason, drafts);
}

void TaskBook::attemptStopped(Task &task, const std::string &reason, Duration retryAfter,
                              WallTime at, EventDrafts &drafts)
{
    const StopCause cause = task.live->stopCause;
    const bool isEviction = cause == StopCause::Relief || cause == StopCause::Drain
                            || cause == StopCause::Overcommitted;
    endAttempt(task, drafts);
    if (cause == StopCause::Cancel) {
        finish(task, TaskState::Cancelled, task.reason, drafts);
        return;
    }
    if (!task.mayRestart()) {
        finish(task, TaskState::Failed,
               fmt::format("{} The job is not idempotent and left no checkpoint, so it is not "
                           "started again.",
                           reason.empty() ? "The attempt ended early." : reason),
               drafts);
        return;
    }
    if (isEviction) {
        ++task.evictions;
        task.lastEvictedAt = at;
    } else if (cause == StopCause::None) {
        ++task.interruptions;
        task.notBefore = std::max(task.notBefore, addDelay(at, retryAfter));
    }
    task.state = TaskState::Evicted;
    if (!reason.empty())
        task.reason = reason;
    task.queuedAt = at;
    noteChange(task);
    drafts.push_back({SubjectKind::Task, task.id,
                      fmt::format("Attempt {} has stopped.", task.attempt), task.reason,
                      task.checkpoint > 0
                          ? fmt::format("It resumes from checkpoint {}.", task.checkpoint)
                          : "It starts again from its beginning."});
}

void TaskBook::attemptSucceeded(Task &task, Worker &worker, const ReportedAttempt &reported,
                                const ReportTasks &command, EventDrafts &drafts)
{
    if (task.isService() && task.live->stopCause == StopCause::None) {
        // A service has to run until it is stopped, so its exit is a failure whatever
        // status it reports.
        attemptFailed(task, worker, reported, command, drafts);
        return;
    }
    if (task.isService()) {
        attemptStopped(task, reported.report.reason, reported.retryAfter, command.at, drafts);
        return;
    }
    noteHealthyAttempt(*task.live, drafts);
    endAttempt(task, drafts);
    finish(task, TaskState::Done, reported.report.reason, drafts);
}

void TaskBook::attemptFailed(Task &task, Worker &worker, const ReportedAttempt &reported,
                             const ReportTasks &command, EventDrafts &drafts)
{
    const bool hadSettled = task.live->settled;
    ++task.failures;
    endAttempt(task, drafts);
    task.state = TaskState::Queued;
    task.queuedAt = command.at;
    task.notBefore = addDelay(command.at, std::min(reported.retryAfter, MaxRetryDelay));
    const std::string why =
        reported.report.reason.empty() ? "The worker gave no reason." : reported.report.reason;
    task.reason = why;
    noteChange(task);
    if (!hadSettled)
        attributeFailure(task, worker, command, drafts);
    if (!task.mayRestart()) {
        finish(task, TaskState::Failed,
               fmt::format("{} The job is not idempotent and left no checkpoint, so it is not "
                           "started again.",
                           why),
               drafts);
        return;
    }
    if (const std::string hold = holdReason(task); !hold.empty()) {
        dropFailuresOfTask(task, data_.workers);
        finish(task, TaskState::Failed, fmt::format("{} Last failure: {}", hold, why), drafts);
        return;
    }
    drafts.push_back(
        {SubjectKind::Task, task.id,
         fmt::format("Attempt {} failed on worker {}.", task.attempt, worker.name), why,
         fmt::format(
             "Attempt {} follows after {} ms at the earliest.", task.attempt + 1,
             std::chrono::duration_cast<std::chrono::milliseconds>(reported.retryAfter).count())});
}

void TaskBook::attributeFailure(Task &task, Worker &worker, const ReportTasks &command,
                                EventDrafts &drafts)
{
    noteFailure(task, worker, command.at);
    noteChange(worker);
    const std::string suspension = suspensionReason(worker, data_.workers);
    if (suspension.empty())
        return;
    worker.health = WorkerHealth::Suspended;
    worker.reason = suspension;
    ++worker.suspensions;
    worker.probeAt = addDelay(command.at, std::min(command.probeAfter, MaxRetryDelay));
    dropFailuresOnWorker(worker, data_.tasks);
    drafts.push_back(
        {SubjectKind::Worker, worker.name, "The worker is suspended.", suspension,
         fmt::format(
             "It gets one task as a probe after {} ms; the failures there no "
             "longer count against the tasks.",
             std::chrono::duration_cast<std::chrono::milliseconds>(command.probeAfter).count())});
}

void TaskBook::noteHealthyAttempt(const Attempt &attempt, EventDrafts &drafts)
{
    Worker &worker = data_.workers.at(attempt.worker);
    if (worker.health == WorkerHealth::Healthy && worker.failedTasks.empty())
        return;
    if (!provesWorkerHealthy(attempt.placedAt, worker))
        return;
    if (worker.health != WorkerHealth::Healthy) {
        drafts.push_back({SubjectKind::Worker, worker.name, "The worker gets work again.",
                          "A task ran well on it.", ""});
    }
    worker.health = WorkerHealth::Healthy;
    worker.reason.clear();
    worker.suspensions = 0;
    worker.failedTasks.clear();
    noteChange(worker);
}

TaskOutcome TaskBook::apply(const SettleTasks &command, EventDrafts &drafts)
{
    for (const auto &[id, attempt] : command.attempts) {
        Task *task = liveTask(id, attempt);
        if (!task || !task->live->confirmed || task->live->settled)
            continue;
        task->live->settled = true;
        if (task->isService())
            task->failures = 0;
        noteChange(*task);
        noteHealthyAttempt(*task->live, drafts);
    }
    return {};
}

TaskOutcome TaskBook::apply(const EvictTask &command, EventDrafts &drafts)
{
    Task *task = liveTask(command.task, command.attempt);
    if (!task) {
        return {{fmt::format("Attempt {} of task {} is not live.", command.attempt, command.task)}};
    }
    if (task->state == TaskState::Stopping || task->state == TaskState::Checkpointing) {
        return {
            {fmt::format("Task {} is already {}.", task->id, nameIn(TaskStateNames, task->state))}};
    }
    const bool takesCheckpoint = command.withCheckpoint && task->state == TaskState::Running;
    const bool isOptional = command.cause == StopCause::Relief || command.cause == StopCause::Drain;
    if (isOptional && !takesCheckpoint && !task->mayRestart()) {
        return {{fmt::format("Task {} is not idempotent and has no checkpoint, so it is not "
                             "evicted.",
                             task->id)}};
    }
    task->live->stopCause = command.cause;
    task->state = takesCheckpoint ? TaskState::Checkpointing : TaskState::Stopping;
    task->reason = command.reason;
    task->notBefore = std::max(task->notBefore, addDelay(command.at, command.coolDown));
    noteChange(*task);
    drafts.push_back(
        {SubjectKind::Task, task->id,
         fmt::format("Attempt {} is being moved off worker {}.", task->attempt, task->live->worker),
         command.reason,
         takesCheckpoint ? "It takes a checkpoint, stops, and resumes elsewhere."
                         : "It stops and resumes elsewhere."});
    return {};
}

TaskOutcome TaskBook::apply(const AbandonCheckpoint &command, EventDrafts &drafts)
{
    Task *task = liveTask(command.task, command.attempt);
    if (!task || task->state != TaskState::Checkpointing)
        return {{fmt::format("Task {} is not taking a checkpoint.", command.task)}};
    noteChange(*task);
    if (task->mayRestart() || task->live->stopCause == StopCause::Cancel) {
        task->state = TaskState::Stopping;
        drafts.push_back(
            {SubjectKind::Task, task->id, "The checkpoint failed.", command.reason,
             task->checkpoint > 0
                 ? fmt::format("The task stops and resumes from checkpoint {}.", task->checkpoint)
                 : "The task stops and starts again from its beginning."});
        return {};
    }
    task->state = TaskState::Running;
    task->live->stopCause = StopCause::None;
    task->reason = "An eviction was given up because the checkpoint failed.";
    drafts.push_back({SubjectKind::Task, task->id, "The eviction was given up.", command.reason,
                      "The job is not idempotent and has no checkpoint, so it runs on."});
    return {};
}

TaskOutcome TaskBook::apply(const ThrottleTask &command, EventDrafts &drafts)
{
    Task *task = liveTask(command.task, command.attempt);
    if (!task || task->isService() || command.percent == 0 || command.percent > 100)
        return {{fmt::format("Task {} cannot be throttled to {} percent.", command.task,
                             command.percent)}};
    if (task->live->throttlePercent == command.percent)
        return {};
    task->live->throttlePercent = command.percent;
    noteChange(*task);
    drafts.push_back({SubjectKind::Task, task->id,
                      fmt::format("Attempt {} is limited to {} percent of its processors.",
                                  task->attempt, command.percent),
                      command.reason, ""});
    return {};
}

TaskOutcome TaskBook::apply(const CancelTasks &command, EventDrafts &drafts)
{
    TaskOutcome outcome;
    for (const std::string &id : command.tasks) {
        const auto task = data_.tasks.find(id);
        if (task == data_.tasks.end())
            outcome.refusals.push_back(fmt::format("There is no task {}.", id));
        else
            cancel(task->second, command.reason, drafts);
    }
    return outcome;
}

void TaskBook::cancel(Task &task, const std::string &reason, EventDrafts &drafts)
{
    if (isFinal(task.state))
        return;
    if (!task.live) {
        finish(task, TaskState::Cancelled, reason, drafts);
        return;
    }
    task.live->stopCause = StopCause::Cancel;
    task.state = TaskState::Stopping;
    task.reason = reason;
    noteChange(task);
}

void TaskBook::endAttempt(Task &task, EventDrafts &drafts)
{
    const std::string worker = task.live->worker;
    const bool endsProbe = data_.workers.at(worker).health == WorkerHealth::Probing
                           && task.live->placedAt >= data_.workers.at(worker).probeAt;
    ledger_.release(worker, task.id, task.attempt);
    task.live.reset();
    // A probe that ended without showing whether the worker is healthy leaves it suspended; the
    // next probe may start immediately.
    if (endsProbe) {
        data_.workers.at(worker).health = WorkerHealth::Suspended;
        noteChange(data_.workers.at(worker));
    }
    checkDrained(worker, drafts);
}

void TaskBook::finish(Task &task, TaskState state, std::string reason, EventDrafts &drafts)
{
    task.state = state;
    task.reason = std::move(reason);
    noteChange(task);
    drafts.push_back(
        {SubjectKind::Task, task.id, fmt::format("The task is {}.", nameIn(TaskStateNames, state)),
         task.reason,
         state == TaskState::Failed ? "It is held; amend the record to try again." : ""});
    task.finishOrder = ++data_.finishedCount;
    data_.finished[task.finishOrder] = task.id;
    while (data_.finished.size() > MaxFinished) {
        const auto oldest = data_.finished.begin();
        const auto found = data_.tasks.find(oldest->second);
        // A task that was submitted again may be unfinished, or may have finished again later.
        const bool isForgotten = found != data_.tasks.end() && isFinal(found->second.state)
                                 && found->second.finishOrder == oldest->first;
        if (isForgotten) {
            data_.attemptFloor = std::max(data_.attemptFloor, found->second.attempt);
            noteChange(found->second);
            data_.tasks.erase(found);
        }
        data_.finished.erase(oldest);
    }
}

} // namespace Oleander::Placement
