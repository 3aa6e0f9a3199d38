#include "Placement/taskexecutor.h"

#include <fmt/format.h>

#include <algorithm>

namespace Oleander::Placement {

void TaskExecutor::noteHeartbeat(std::uint64_t stamp, TimePoint now)
{
    stamps_[stamp] = now;
    while (stamps_.size() > settings_.maxRememberedStamps)
        stamps_.erase(stamps_.begin());
    forgetRemovedAttempts();
}

void TaskExecutor::forgetRemovedAttempts()
{
    // Orders with a forgotten stamp are refused, so an attempt whose removal is forgotten together
    // with that stamp cannot be started again by an old order.
    std::erase_if(entries_, [&](const auto &item) {
        return item.second.isRemoved && item.second.removedStamp < stamps_.begin()->first;
    });
}

std::uint64_t TaskExecutor::lastStamp() const
{
    return stamps_.empty() ? 0 : stamps_.rbegin()->first;
}

bool TaskExecutor::handleReply(const HeartbeatReply &reply)
{
    const auto made = stamps_.find(reply.stamp);
    if (reply.lease <= Duration::zero() || made == stamps_.end() || reply.session < session_)
        return false;
    const TimePoint end = made->second + reply.lease - settings_.stopMargin;
    const bool isNewSession = reply.session > session_;
    if (isNewSession) {
        session_ = reply.session;
        for (auto &[task, entry] : entries_) {
            if (entry.session < session_ && !entry.mustStop) {
                entry.mustStop = true;
                entry.reason = "The worker was declared lost, so the attempt was abandoned.";
            }
        }
    }
    leader_ = reply.leader;
    const bool isExtended = !leaseEnd_ || end > *leaseEnd_;
    if (isExtended)
        leaseEnd_ = end;
    return isExtended || isNewSession;
}

bool TaskExecutor::holdsLease(TimePoint now) const
{
    return leaseEnd_ && now < *leaseEnd_;
}

std::string TaskExecutor::handleOrder(const TaskOrder &order, TimePoint now)
{
    if (order.action == TaskAction::Start)
        return start(order, now);
    if (order.action == TaskAction::Stop)
        return stop(order);
    const auto entry = entries_.find(order.task);
    if (entry == entries_.end() || entry->second.attempt != order.attempt)
        return fmt::format("Attempt {} of task {} is not on this worker.", order.attempt,
                           order.task);
    if (order.action == TaskAction::Checkpoint)
        entry->second.wantsCheckpoint = true;
    else
        entry->second.throttlePercent = order.throttlePercent;
    return {};
}

std::string TaskExecutor::start(const TaskOrder &order, TimePoint now)
{
    if (!holdsLease(now))
        return "The worker holds no lease.";
    if (order.session != session_) {
        return fmt::format("The order is for session {} of the worker; it is in session {}.",
                           order.session, session_);
    }
    if (!stamps_.contains(order.stamp))
        return "The order is too old.";
    const auto known = entries_.find(order.task);
    if (known != entries_.end()) {
        const Entry &entry = known->second;
        if (entry.attempt == order.attempt && !entry.mustStop && !hasEnded(entry.state))
            return {};
        if (entry.attempt >= order.attempt)
            return fmt::format("Attempt {} of the task has ended on this worker.", entry.attempt);
        if (!entry.isRemoved)
            return fmt::format("Attempt {} of the task is still on this worker.", entry.attempt);
    }
    Entry entry;
    entry.attempt = order.attempt;
    entry.session = order.session;
    entry.start = order;
    entry.checkpoint = order.checkpoint;
    entry.throttlePercent = order.throttlePercent;
    entries_[order.task] = std::move(entry);
    return {};
}

std::string TaskExecutor::stop(const TaskOrder &order)
{
    Entry &entry = entries_[order.task];
    if (entry.attempt > order.attempt)
        return fmt::format("Attempt {} of the task is on this worker.", entry.attempt);
    if (entry.attempt < order.attempt) {
        if (entry.attempt > 0 && !entry.isRemoved)
            return fmt::format("Attempt {} of the task is still on this worker.", entry.attempt);
        // An attempt unknown to this agent is stopped on the worker as well, because a call to
        // start it may still be in flight from a previous agent process.
        entry = {};
        entry.attempt = order.attempt;
        entry.session = order.session;
    }
    entry.mustStop = true;
    entry.removedStamp = lastStamp();
    return {};
}

void TaskExecutor::handleListing(const std::vector<ListedAttempt> &list, TimePoint requestedAt)
{
    std::map<std::string, const ListedAttempt *> byTask;
    for (const ListedAttempt &item : list) {
        byTask[item.task] = &item;
        Entry &entry = entries_[item.task];
        const bool isNew = entry.attempt < item.attempt && (entry.attempt == 0 || entry.isRemoved);
        if (isNew) {
            entry = {};
            entry.attempt = item.attempt;
            entry.session = item.session;
            entry.mustStop = session_ > 0 && item.session < session_;
            entry.throttlePercent = entry.appliedThrottlePercent = 100;
        }
        if (entry.attempt != item.attempt || entry.isRemoved)
            continue;
        entry.wasListed = true;
        entry.checkpoint = std::max(entry.checkpoint, item.checkpoint);
        if (hasEnded(entry.state))
            continue;
        entry.state = item.state;
        // The worker can discard a stopped attempt at once; one that succeeded or failed is kept
        // until the leader has processed its report.
        entry.mustStop = entry.mustStop || item.state == AttemptState::Stopped;
        if (!item.reason.empty())
            entry.reason = item.reason;
    }
    for (auto &[task, entry] : entries_) {
        const auto found = byTask.find(task);
        const bool isListed = found != byTask.end() && found->second->attempt == entry.attempt;
        if (isListed || !entry.wasListed || entry.isRemoved || entry.mustStop
            || entry.lastCall >= requestedAt)
            continue;
        entry.mustStop = true;
        entry.reason = "The worker no longer lists the attempt.";
    }
}

void TaskExecutor::handleRemoval(const std::string &task, std::uint32_t attempt)
{
    const auto found = entries_.find(task);
    if (found == entries_.end() || found->second.attempt != attempt || !found->second.mustStop)
        return;
    Entry &entry = found->second;
    entry.isRemoved = true;
    entry.removedStamp = lastStamp();
    if (!hasEnded(entry.state)) {
        const bool hasNeverRun = entry.isStartRefused && !entry.wasListed;
        entry.state = hasNeverRun ? AttemptState::Failed : AttemptState::Stopped;
    }
}

void TaskExecutor::handleCallFailure(const WorkerCall &call, const std::string &reason)
{
    const auto found = entries_.find(call.task);
    if (found == entries_.end() || found->second.attempt != call.attempt)
        return;
    Entry &entry = found->second;
    entry.reason = reason;
    if (call.action != TaskAction::Start || hasEnded(entry.state))
        return;
    // The worker may still execute an earlier call of this or an earlier agent process. It never
    // starts an attempt that it has been told to stop.
    entry.isStartRefused = true;
    entry.mustStop = true;
}

std::vector<WorkerCall> TaskExecutor::dueCalls(TimePoint now)
{
    if (leaseEnd_ && !holdsLease(now)) {
        for (auto &[task, entry] : entries_) {
            if (!entry.mustStop && !hasEnded(entry.state)) {
                entry.mustStop = true;
                entry.reason = "The worker's lease ended.";
            }
        }
    }
    std::vector<WorkerCall> calls;
    for (auto &[task, entry] : entries_) {
        if (auto call = dueCall(task, entry, now))
            calls.push_back(std::move(*call));
    }
    return calls;
}

std::optional<WorkerCall> TaskExecutor::dueCall(const std::string &task, Entry &entry,
                                                TimePoint now)
{
    const bool isFirstStop = entry.mustStop && !entry.isStopCalled;
    if (entry.isRemoved || (now < entry.lastCall + settings_.retryInterval && !isFirstStop))
        return std::nullopt;
    std::optional<WorkerCall> call;
    if (entry.mustStop) {
        call = callFor(TaskAction::Stop, task, entry);
        entry.isStopCalled = true;
    } else if (!entry.wasListed && !hasEnded(entry.state)) {
        call = callFor(TaskAction::Start, task, entry);
    } else if (entry.wantsCheckpoint && entry.state == AttemptState::Running) {
        call = callFor(TaskAction::Checkpoint, task, entry);
        entry.wantsCheckpoint = false;
        entry.reason.clear();
    } else if (entry.throttlePercent != entry.appliedThrottlePercent
               && entry.state == AttemptState::Running) {
        call = callFor(TaskAction::Throttle, task, entry);
        entry.appliedThrottlePercent = entry.throttlePercent;
    }
    if (call)
        entry.lastCall = now;
    return call;
}

WorkerCall TaskExecutor::callFor(TaskAction action, const std::string &task,
                                 const Entry &entry) const
{
    WorkerCall call;
    call.action = action;
    call.task = task;
    call.attempt = entry.attempt;
    call.session = entry.session;
    call.leaseEnd = leaseEnd_.value_or(TimePoint());
    call.declared = entry.start.declared;
    call.payload = entry.start.payload;
    call.checkpoint = entry.start.checkpoint;
    call.throttlePercent = entry.throttlePercent;
    return call;
}

std::vector<AttemptReport> TaskExecutor::reports() const
{
    std::vector<AttemptReport> list;
    for (const auto &[task, entry] : entries_) {
        if (entry.isRemoved && entry.removedStamp + settings_.endReportHeartbeats < lastStamp())
            continue;
        AttemptState state = entry.state;
        if (entry.mustStop && !hasEnded(state))
            state = AttemptState::Stopping;
        list.push_back({task, entry.attempt, state, entry.reason, entry.checkpoint});
    }
    return list;
}

} // namespace Oleander::Placement
