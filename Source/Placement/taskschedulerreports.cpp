#include "Placement/fitting.h"
#include "Placement/taskscheduler.h"

namespace Oleander::Placement {

HeartbeatReply TaskScheduler::heartbeat(const std::string &worker, const Heartbeat &heartbeat,
                                        TimePoint now, WallTime wall)
{
    HeartbeatReply reply;
    reply.stamp = heartbeat.stamp;
    if (!isActive() || heartbeat.capacity == Resources{})
        return reply;
    syncWithTaskBook(now);
    if (book_.term() != term_)
        return reply;
    startLeaseHold(now);
    stamps_[worker] = heartbeat.stamp;
    const Worker *known = book_.worker(worker);
    const bool isRegistered = known && !known->lost && known->capacity == heartbeat.capacity
                              && known->location == heartbeat.location
                              && known->lease >= settings_.lease.length;
    if (!isRegistered)
        registerWorker(worker, heartbeat, wall);
    // A lost worker gets a lease only after its registration is committed, under its new session.
    if (!known || known->lost || known->lease < settings_.lease.length)
        return reply;
    const auto proposedLoss = proposedLosses_.find(worker);
    if (proposedLoss != proposedLosses_.end() && proposedLoss->second >= known->session)
        return reply;
    reply.lease = leases_.grant(worker, now);
    reply.session = known->session;
    handleReports(worker, heartbeat.attempts, now, wall);
    if (!heartbeat.attemptsOmitted)
        evictMissingAttempts(worker, heartbeat.attempts, now, wall);
    reportUsage(heartbeat.usage, now);
    return reply;
}

void TaskScheduler::registerWorker(const std::string &worker, const Heartbeat &heartbeat,
                                   WallTime wall)
{
    proposeOnce("register/" + worker, RegisterWorker{worker, heartbeat.location, heartbeat.capacity,
                                                     settings_.lease.length, wall});
}

bool TaskScheduler::changesTaskBook(const Worker &worker, const AttemptReport &report,
                                    TimePoint now)
{
    const Task *task = book_.task(report.task);
    const bool isLive =
        task && task->live && task->attempt == report.attempt && task->live->worker == worker.name;
    const bool isLateSuccess = task && task->isWaiting() && task->attempt == report.attempt
                               && report.state == AttemptState::Succeeded;
    if (isLateSuccess)
        return true;
    if (!isLive) {
        // An attempt that is not live has to stop: one that is stopping needs no order, and a
        // stopped one is discarded by the agent.
        if (report.state != AttemptState::Stopping && report.state != AttemptState::Stopped)
            orders_.dismiss(worker.name, report, now);
        return false;
    }
    if (hasEnded(report.state) || report.checkpoint > task->checkpoint)
        return true;
    return report.state == AttemptState::Running && task->state == TaskState::Placed;
}

void TaskScheduler::handleReports(const std::string &worker,
                                  const std::vector<AttemptReport> &attempts, TimePoint now,
                                  WallTime wall)
{
    const Worker *known = book_.worker(worker);
    if (!isActive() || !known || known->lost)
        return;
    syncWithTaskBook(now);
    ReportTasks command{worker, {}, probeDelay_.next(known->suspensions), wall};
    for (const AttemptReport &report : attempts) {
        if (changesTaskBook(*known, report, now)) {
            const Task *task = book_.task(report.task);
            command.attempts.push_back(
                {report, retryDelay_.next(task->failures + task->interruptions)});
        }
        const auto watch = watches_.find(report.task);
        if (watch != watches_.end() && watch->second.attempt == report.attempt
            && watch->second.state == TaskState::Checkpointing
            && report.state == AttemptState::Running && !report.reason.empty()) {
            proposeOnce("abandon/" + report.task,
                        AbandonCheckpoint{report.task, report.attempt, report.reason, wall});
        }
    }
    if (!command.attempts.empty())
        proposeOnce("report/" + worker, std::move(command));
}

void TaskScheduler::evictMissingAttempts(const std::string &worker,
                                         const std::vector<AttemptReport> &attempts, TimePoint now,
                                         WallTime wall)
{
    std::set<std::pair<std::string, std::uint32_t>> listed;
    for (const AttemptReport &report : attempts)
        listed.insert({report.task, report.attempt});
    for (const Commitment &commitment : book_.ledger().commitments(worker)) {
        const auto watch = watches_.find(commitment.task);
        if (watch == watches_.end())
            continue;
        if (listed.contains({commitment.task, commitment.attempt})) {
            watch->second.absentSince.reset();
            continue;
        }
        const Task &task = *book_.task(commitment.task);
        if (!watch->second.absentSince)
            watch->second.absentSince = now;
        const bool isOverdue = now >= *watch->second.absentSince + settings_.absenceTimeout;
        if (isOverdue && task.state == TaskState::Running)
            evict(task, StopCause::Unconfirmed, false, "The worker no longer lists the attempt.",
                  wall);
    }
}

void TaskScheduler::reportUsage(const std::vector<UsageReport> &usage, TimePoint now)
{
    for (const UsageReport &report : usage) {
        const Task *task = book_.task(report.task);
        if (!task || !task->live || task->attempt != report.attempt)
            continue;
        policy_.report({report.task, now - report.age, coresOf(report.used),
                        static_cast<double>(report.used.memoryMiB), report.latencyP99,
                        report.progress},
                       view_);
    }
}

} // namespace Oleander::Placement
