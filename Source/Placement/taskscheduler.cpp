#include "Placement/taskscheduler.h"

#include "Placement/fitting.h"

#include <fmt/format.h>

#include <algorithm>

namespace Oleander::Placement {

namespace {

/** Kind of a task: a service, or all jobs of a team that run the same program. */
std::string kindText(const Task &task)
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
    , retryDelay_(settings.retryBase, settings.retryMost, settings.seed)
    , probeDelay_(settings.probeBase, settings.retryMost, settings.seed + 1)
{}

void TaskScheduler::lead(TimePoint now)
{
    isLeading_ = true;
    ++period_;
    term_ = 0;
    losing_.clear();
    view_ = {};
    policy_ = PlacementPolicy(settings_.policy, settings_.seed, settings_.weights);
    orders_.clear();
    underWay_.clear();
    queue_ = {};
    for (const auto &[team, quota] : settings_.quotas)
        queue_.setQuota(team, quota);
    delayed_.clear();
    delays_.clear();
    suspended_.clear();
    teams_.clear();
    watches_.clear();
    waitReasons_.clear();
    draining_.clear();
    stamps_.clear();
    sessions_.clear();
    journalPosition_ = UINT64_MAX;
    followBook(now);
    startTerm();
}

void TaskScheduler::holdLeases(TimePoint now)
{
    // The hold begins once the term is committed: until then another leader may grant leases.
    if (mustHold_)
        leases_.startTerm(now, longestLease());
    mustHold_ = false;
}

Duration TaskScheduler::longestLease() const
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
                      mustHold_ = true;
                      // What was proposed under an earlier term has taken effect by now or is
                      // refused.
                      losing_.clear();
                  });
}

void TaskScheduler::follow()
{
    isLeading_ = false;
    term_ = 0;
    ++period_;
}

void TaskScheduler::followBook(TimePoint now)
{
    const auto changes = book_.journal().since(journalPosition_);
    journalPosition_ = book_.journal().end();
    if (!changes) {
        for (const auto &[name, worker] : book_.workers())
            followWorker(worker, now);
        for (const auto &[id, task] : book_.tasks())
            followTask(id, now);
        return;
    }
    // A change names what changed, and following looks at what is true now: a task that was queued
    // before a worker registered may be on that worker by now, so workers come first.
    for (const Change &change : *changes) {
        const Worker *worker =
            change.kind == Change::Kind::Worker ? book_.worker(change.name) : nullptr;
        if (worker)
            followWorker(*worker, now);
    }
    for (const Change &change : *changes) {
        if (change.kind == Change::Kind::Task)
            followTask(change.name, now);
    }
}

void TaskScheduler::followWorker(const Worker &worker, TimePoint now)
{
    // A worker that registers is given a lease with its next heartbeat; until then it is waited for
    // as if it had one.
    std::uint64_t &session = sessions_[worker.name];
    if (!worker.lost && session != worker.session) {
        session = worker.session;
        leases_.grant(worker.name, now);
    }
    view_.setWorker(worker.name, worker.location, worker.capacity,
                    !worker.lost && worker.drain.empty() && worker.health == WorkerHealth::Healthy);
    if (!worker.drain.empty() && !worker.drained)
        draining_.insert(worker.name);
    else
        draining_.erase(worker.name);
    if (worker.health == WorkerHealth::Suspended)
        suspended_.insert(worker.name);
    else
        suspended_.erase(worker.name);
}

void TaskScheduler::followTask(const std::string &id, TimePoint now)
{
    dequeue(id);
    const Task *task = book_.task(id);
    if (!task || !task->live) {
        removeResident(id, now);
        watches_.erase(id);
        orders_.forget(id);
        if (task && task->waits()) {
            enqueue(*task);
        } else {
            waitReasons_.erase(id);
        }
        return;
    }
    waitReasons_.erase(id);
    const Number worker = view_.workerNumber(task->live->worker);
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
    orders_.follow(*task);
}

void TaskScheduler::enqueue(const Task &task)
{
    const QueueClass queueClass = task.isService() ? QueueClass::Service
                                  : task.urgent    ? QueueClass::Urgent
                                                   : QueueClass::Ordinary;
    // A task joins the queue when its backoff is over.
    if (task.notBefore > wall_) {
        delayed_.insert({task.notBefore, task.id});
        delays_[task.id] = task.notBefore;
        return;
    }
    queue_.add({task.id, task.team, queueClass, task.order, coresOf(task.declared)});
}

void TaskScheduler::dequeue(const std::string &id)
{
    queue_.remove(id);
    const auto delay = delays_.find(id);
    if (delay == delays_.end())
        return;
    delayed_.erase({delay->second, id});
    delays_.erase(delay);
}

void TaskScheduler::addResident(const Task &task, const Resources &size, Number worker,
                                TimePoint now)
{
    removeResident(task.id, now);
    TaskTraits traits = traitsOf(task);
    traits.declared = size;
    Resident &resident = view_.add(traits, worker, now);
    policy_.placed(resident, view_);
    if (!traits.isService)
        queue_.noteUse(task.team, coresOf(size));
    teams_[task.id] = task.team;
}

void TaskScheduler::removeResident(const std::string &id, TimePoint now)
{
    const Resident *resident = view_.find(id);
    if (!resident)
        return;
    if (!resident->traits.isService)
        queue_.noteUse(teams_[id], -coresOf(resident->traits.declared));
    teams_.erase(id);
    view_.remove(id, now);
}

TaskTraits TaskScheduler::traitsOf(const Task &task)
{
    TaskTraits traits;
    traits.id = task.id;
    traits.kind = view_.intern(kindText(task));
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
    followBook(now);
    if (book_.term() > term_) {
        // Another scheduler started a term; what it granted is not known here.
        term_ = 0;
        startTerm();
        return;
    }
    holdLeases(now);
    loseWorkers(now, wall);
    watchLive(now, wall);
    drainWorkers(wall);
    relieve(now, wall);
    placeWaiting(now, wall);
    explain(wall);
    orders_.tick(book_, now);
}

void TaskScheduler::loseWorkers(TimePoint now, WallTime wall)
{
    for (const auto &[name, worker] : book_.workers()) {
        if (worker.lost || !leases_.surelyOver(name, now))
            continue;
        losing_[name] = worker.session;
        proposeOnce("lose/" + name,
                    LoseWorker{name, worker.session, "Its agent stopped answering.", wall, term_});
    }
}

void TaskScheduler::watchLive(TimePoint now, WallTime wall)
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
    for (const std::string &name : draining_) {
        std::string blocked;
        for (const Commitment &commitment : book_.ledger().commitments(name)) {
            const Task &task = *book_.task(commitment.task);
            const bool isMoving =
                task.state == TaskState::Stopping || task.state == TaskState::Checkpointing;
            if (isMoving)
                continue;
            if (task.isService() && !view_.capacities().first(task.declared)) {
                blocked = fmt::format("No other worker has room for {}, which needs {}.", task.id,
                                      describe(task.declared));
                continue;
            }
            if (!task.mayRestart() && task.state == TaskState::Placed) {
                blocked = fmt::format("{} starts and cannot be started twice.", task.id);
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

void TaskScheduler::relieve(TimePoint now, WallTime wall)
{
    if (now < relievedAt_ + settings_.reliefInterval)
        return;
    relievedAt_ = now;
    for (const Relief &step : policy_.relieve(view_, now)) {
        const Task *task = book_.task(step.task);
        if (!task || !task->live)
            continue;
        if (step.kind == Relief::Kind::Throttle) {
            proposeOnce(
                "throttle/" + task->id,
                ThrottleTask{task->id, task->attempt, step.throttlePercent, step.reason, wall});
        } else if (task->evictions == 0
                   || wall >= task->lastEvictedAt + settings_.evictionCoolDown) {
            evict(*task, StopCause::Relief, true, step.reason, wall);
        }
    }
}

void TaskScheduler::explain(WallTime)
{
    ExplainWaits command;
    for (const auto &[id, reason] : waitReasons_) {
        const Task *task = book_.task(id);
        if (task && task->waits() && task->reason.empty())
            command.waits.push_back({id, reason});
        if (command.waits.size() >= settings_.batch)
            break;
    }
    if (!command.waits.empty())
        proposeOnce("explain", std::move(command));
}

void TaskScheduler::proposeOnce(const std::string &key, TaskCommand command,
                                std::function<void()> after)
{
    if (!underWay_.insert(key).second)
        return;
    port_.propose(std::move(command),
                  [this, key, period = period_, after = std::move(after)](const TaskOutcome *) {
                      if (period != period_)
                          return;
                      underWay_.erase(key);
                      if (after)
                          after();
                  });
}

} // namespace Oleander::Placement
