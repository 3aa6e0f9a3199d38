#include "Placement/taskscheduler.h"

#include "Placement/fitting.h"

#include <fmt/format.h>

#include <algorithm>

namespace Oleander::Placement {

namespace {

/** Returns the name of a task's kind: its service, or its team and program. */
std::string kindName(const Task &task)
{
    if (task.isService())
        return "service/" + task.record.name;
    return "program/" + task.team + "/" + task.payload.substr(0, task.payload.find(' '));
}

} // namespace

TaskScheduler::TaskScheduler(const TaskBook &book, SchedulerPort &port,
                             const SchedulerSettings &settings)
    : book_(book)
    , port_(port)
    , settings_(settings)
    , policy_(settings.policy, settings.seed, settings.weights)
    , leases_(settings.lease)
    , orders_(settings.resendInterval,
              [this](const std::string &worker, TaskOrder order) {
                  order.stamp = stamps_[worker];
                  port_.send(worker, std::move(order));
              })
    , retryDelay_(settings.retryBase, settings.retryMax, settings.seed)
    , probeDelay_(settings.probeBase, settings.retryMax, settings.seed + 1)
{}

void TaskScheduler::lead(TimePoint now)
{
    isLeading_ = true;
    ++period_;
    term_ = 0;
    proposedLosses_.clear();
    view_ = {};
    policy_ = PlacementPolicy(settings_.policy, settings_.seed, settings_.weights);
    orders_.clear();
    proposalsInFlight_.clear();
    queue_ = {};
    for (const auto &[team, quota] : settings_.quotas)
        queue_.setQuota(team, quota);
    delayedTasks_.clear();
    delayEnds_.clear();
    suspendedWorkers_.clear();
    teams_.clear();
    watches_.clear();
    waitReasons_.clear();
    drainingWorkers_.clear();
    stamps_.clear();
    sessions_.clear();
    journalPosition_ = UINT64_MAX;
    syncWithTaskBook(now);
    startTerm();
}

void TaskScheduler::startLeaseHold(TimePoint now)
{
    // The hold starts only after the term is committed, because another leader may grant leases
    // until then.
    if (mustStartLeaseHold_)
        leases_.startTerm(now, longestGrantedLease());
    mustStartLeaseHold_ = false;
}

Duration TaskScheduler::longestGrantedLease() const
{
    Duration longest{};
    for (const auto &[name, worker] : book_.workers())
        longest = std::max(longest, worker.lease);
    return longest;
}

void TaskScheduler::startTerm()
{
    port_.propose(StartTerm{settings_.leader},
                  [this, period = period_](const TaskOutcome *outcome) {
                      if (period != period_)
                          return;
                      if (!outcome) {
                          startTerm();
                          return;
                      }
                      term_ = outcome->term;
                      mustStartLeaseHold_ = true;
                      // Proposals of earlier terms have been applied by now or will be
                      // refused.
                      proposedLosses_.clear();
                  });
}

void TaskScheduler::stepDown()
{
    isLeading_ = false;
    term_ = 0;
    ++period_;
}

void TaskScheduler::syncWithTaskBook(TimePoint now)
{
    const auto changes = book_.journal().since(journalPosition_);
    journalPosition_ = book_.journal().end();
    if (!changes) {
        for (const auto &[name, worker] : book_.workers())
            syncWorker(worker, now);
        for (const auto &[id, task] : book_.tasks())
            syncTask(id, now);
        return;
    }
    // Changes carry names only and syncing uses the current state: a task that was queued before a
    // worker registered may already be placed on it, so workers are synced first.
    for (const Change &change : *changes) {
        const Worker *worker =
            change.kind == Change::Kind::Worker ? book_.worker(change.name) : nullptr;
        if (worker)
            syncWorker(*worker, now);
    }
    for (const Change &change : *changes) {
        if (change.kind == Change::Kind::Task)
            syncTask(change.name, now);
    }
}

void TaskScheduler::syncWorker(const Worker &worker, TimePoint now)
{
    // A registered worker is granted a lease with its next heartbeat. Until then it is treated as
    // if it held one, so that it isn't declared lost at once.
    std::uint64_t &session = sessions_[worker.name];
    if (!worker.lost && session != worker.session) {
        session = worker.session;
        leases_.grant(worker.name, now);
    }
    view_.setWorker(worker.name, worker.location, worker.capacity,
                    !worker.lost && worker.drain.empty() && worker.health == WorkerHealth::Healthy);
    if (!worker.drain.empty() && !worker.drained)
        drainingWorkers_.insert(worker.name);
    else
        drainingWorkers_.erase(worker.name);
    if (worker.health == WorkerHealth::Suspended)
        suspendedWorkers_.insert(worker.name);
    else
        suspendedWorkers_.erase(worker.name);
}

void TaskScheduler::syncTask(const std::string &id, TimePoint now)
{
    dequeue(id);
    const Task *task = book_.task(id);
    if (!task || !task->live) {
        removeResident(id, now);
        watches_.erase(id);
        orders_.forget(id);
        if (task && task->isWaiting()) {
            enqueue(*task);
        } else {
            waitReasons_.erase(id);
        }
        return;
    }
    waitReasons_.erase(id);
    const ViewId worker = view_.workerId(task->live->worker);
    Resident *resident = view_.find(id);
    if (!resident || resident->worker != worker
        || !(resident->traits.declared == task->live->committed)) {
        addResident(*task, task->live->committed, worker, now);
        resident = view_.find(id);
    }
    resident->throttlePercent = task->live->throttlePercent;
    resident->isLeaving =
        task->state == TaskState::Stopping || task->state == TaskState::Checkpointing;
    Watch &watch = watches_[id];
    if (watch.attempt != task->attempt || watch.state != task->state)
        watch = {task->attempt, task->state, now, {}};
    orders_.update(*task);
}

void TaskScheduler::enqueue(const Task &task)
{
    const QueueClass queueClass = task.isService() ? QueueClass::Service
                                  : task.urgent    ? QueueClass::Urgent
                                                   : QueueClass::Ordinary;
    // A task is queued when its backoff ends.
    if (task.notBefore > wall_) {
        delayedTasks_.insert({task.notBefore, task.id});
        delayEnds_[task.id] = task.notBefore;
        return;
    }
    queue_.add({task.id, task.team, queueClass, task.order, coresOf(task.declared)});
}

void TaskScheduler::dequeue(const std::string &id)
{
    queue_.remove(id);
    const auto delay = delayEnds_.find(id);
    if (delay == delayEnds_.end())
        return;
    delayedTasks_.erase({delay->second, id});
    delayEnds_.erase(delay);
}

void TaskScheduler::addResident(const Task &task, const Resources &size, ViewId worker,
                                TimePoint now)
{
    removeResident(task.id, now);
    TaskTraits traits = traitsOf(task);
    traits.declared = size;
    Resident &resident = view_.add(traits, worker, now);
    policy_.applyExpectedUsage(resident, view_);
    if (!traits.isService)
        queue_.addUsage(task.team, coresOf(size));
    teams_[task.id] = task.team;
}

void TaskScheduler::removeResident(const std::string &id, TimePoint now)
{
    const Resident *resident = view_.find(id);
    if (!resident)
        return;
    if (!resident->traits.isService)
        queue_.addUsage(teams_[id], -coresOf(resident->traits.declared));
    teams_.erase(id);
    view_.remove(id, now);
}

TaskTraits TaskScheduler::traitsOf(const Task &task)
{
    TaskTraits traits;
    traits.id = task.id;
    traits.kind = view_.intern(kindName(task));
    if (task.isService())
        traits.group = view_.intern("group/" + task.record.name);
    traits.isService = task.isService();
    traits.urgent = task.urgent;
    traits.mayRestart = task.mayRestart();
    traits.declared = task.declared;
    traits.spread = task.spread;
    traits.latencyTarget = task.latencyTarget;
    return traits;
}

void TaskScheduler::tick(TimePoint now, WallTime wall)
{
    if (!isActive())
        return;
    wall_ = wall;
    syncWithTaskBook(now);
    if (book_.term() > term_) {
        // Another scheduler started a term; its grants are not known here.
        term_ = 0;
        startTerm();
        return;
    }
    startLeaseHold(now);
    loseWorkers(now, wall);
    checkLiveAttempts(now, wall);
    drainWorkers(wall);
    relieveServices(now, wall);
    placeWaiting(now, wall);
    proposeWaitReasons(wall);
    orders_.tick(book_, now);
}

void TaskScheduler::loseWorkers(TimePoint now, WallTime wall)
{
    for (const auto &[name, worker] : book_.workers()) {
        if (worker.lost || !leases_.hasExpired(name, now))
            continue;
        proposedLosses_[name] = worker.session;
        proposeOnce("lose/" + name,
                    LoseWorker{name, worker.session, "Its agent stopped answering.", wall, term_});
    }
}

void TaskScheduler::checkLiveAttempts(TimePoint now, WallTime wall)
{
    SettleTasks settled;
    settled.at = wall;
    for (const auto &[id, watch] : watches_) {
        const Task *task = book_.task(id);
        if (!task || !task->live)
            continue;
        const Duration age = now - watch.since;
        if (task->state == TaskState::Running && !task->live->settled
            && age >= settings_.settleAfter && !watch.absentSince)
            settled.attempts.emplace_back(id, task->attempt);
        if (task->state == TaskState::Placed && age >= settings_.startTimeout)
            evict(*task, StopCause::Unconfirmed, false, "No report confirmed the start.", wall);
        if (task->state == TaskState::Checkpointing && age >= settings_.checkpointTimeout) {
            proposeOnce("abandon/" + id, AbandonCheckpoint{id, task->attempt,
                                                           "The checkpoint took too long.", wall});
        }
    }
    if (!settled.attempts.empty())
        proposeOnce("settle", std::move(settled));
}

void TaskScheduler::evict(const Task &task, StopCause cause, bool withCheckpoint,
                          const std::string &reason, WallTime wall)
{
    proposeOnce("evict/" + task.id,
                EvictTask{task.id, task.attempt, cause, withCheckpoint, reason, {}, wall});
}

void TaskScheduler::drainWorkers(WallTime wall)
{
    for (const std::string &name : drainingWorkers_) {
        std::string blocked;
        for (const Commitment &commitment : book_.ledger().commitments(name)) {
            const Task &task = *book_.task(commitment.task);
            const bool isMoving =
                task.state == TaskState::Stopping || task.state == TaskState::Checkpointing;
            if (isMoving)
                continue;
            if (task.isService() && !view_.capacities().findFirst(task.declared)) {
                blocked = fmt::format("No other worker has room for {}, which needs {}.", task.id,
                                      describe(task.declared));
                continue;
            }
            if (!task.mayRestart() && task.state == TaskState::Placed) {
                blocked = fmt::format("{} is starting and cannot be restarted.", task.id);
                continue;
            }
            if (!task.mayRestart() && !task.reason.empty()) {
                blocked = fmt::format("{} is not idempotent and its checkpoint failed.", task.id);
                continue;
            }
            evict(task, StopCause::Drain, !task.isService(),
                  fmt::format("Worker {} is being drained.", name), wall);
        }
        const Worker *worker = book_.worker(name);
        if (worker && worker->drainBlocked != blocked)
            proposeOnce("drain/" + name, ExplainDrain{name, blocked});
    }
}

void TaskScheduler::relieveServices(TimePoint now, WallTime wall)
{
    if (now < lastReliefAt_ + settings_.reliefInterval)
        return;
    lastReliefAt_ = now;
    for (const ReliefStep &step : policy_.planRelief(view_, now)) {
        const Task *task = book_.task(step.task);
        if (!task || !task->live)
            continue;
        if (step.kind == ReliefStep::Kind::Throttle) {
            proposeOnce(
                "throttle/" + task->id,
                ThrottleTask{task->id, task->attempt, step.throttlePercent, step.reason, wall});
        } else if (task->evictions == 0
                   || wall >= task->lastEvictedAt + settings_.evictionCoolDown) {
            evict(*task, StopCause::Relief, true, step.reason, wall);
        }
    }
}

void TaskScheduler::proposeWaitReasons(WallTime)
{
    ExplainWaits command;
    for (const auto &[id, reason] : waitReasons_) {
        const Task *task = book_.task(id);
        if (task && task->isWaiting() && task->reason.empty())
            command.waits.push_back({id, reason});
        if (command.waits.size() >= settings_.maxCommandSize)
            break;
    }
    if (!command.waits.empty())
        proposeOnce("explain", std::move(command));
}

void TaskScheduler::proposeOnce(const std::string &key, TaskCommand command,
                                std::function<void()> after)
{
    if (!proposalsInFlight_.insert(key).second)
        return;
    port_.propose(std::move(command),
                  [this, key, period = period_, after = std::move(after)](const TaskOutcome *) {
                      if (period != period_)
                          return;
                      proposalsInFlight_.erase(key);
                      if (after)
                          after();
                  });
}

} // namespace Oleander::Placement
