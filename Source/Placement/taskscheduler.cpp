#include "Placement/taskscheduler.h"

#include "Placement/fitting.h"

#include <fmt/format.h>

#include <algorithm>

namespace Oleander::Placement {

namespace {

bool hasEnded(AttemptState state)
{
    return state == AttemptState::Stopped || state == AttemptState::Succeeded
           || state == AttemptState::Failed;
}

double coresOf(const Resources &size)
{
    constexpr double MilliCoresPerCore = 1000.0;
    return size.milliCores / MilliCoresPerCore;
}

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

HeartbeatReply TaskScheduler::heartbeat(const std::string &worker, const Heartbeat &heartbeat,
                                        TimePoint now, WallTime wall)
{
    HeartbeatReply reply;
    reply.stamp = heartbeat.stamp;
    if (!isActive() || heartbeat.capacity == Resources{})
        return reply;
    followBook(now);
    if (book_.term() != term_)
        return reply;
    holdLeases(now);
    stamps_[worker] = heartbeat.stamp;
    const Worker *known = book_.worker(worker);
    const bool isRegistered = known && !known->lost && known->capacity == heartbeat.capacity
                              && known->location == heartbeat.location
                              && known->lease >= settings_.lease.length;
    if (!isRegistered)
        registerWorker(worker, heartbeat, wall);
    // A lost worker gets a lease only once its return is committed, under its new session.
    if (!known || known->lost || known->lease < settings_.lease.length)
        return reply;
    const auto losing = losing_.find(worker);
    if (losing != losing_.end() && losing->second >= known->session)
        return reply;
    reply.lease = leases_.grant(worker, now);
    reply.session = known->session;
    reported(worker, heartbeat.attempts, now, wall);
    if (!heartbeat.attemptsOmitted)
        findAbsent(worker, heartbeat.attempts, now, wall);
    reportUsage(heartbeat.usage, now);
    return reply;
}

void TaskScheduler::registerWorker(const std::string &worker, const Heartbeat &heartbeat,
                                   WallTime wall)
{
    proposeOnce("register/" + worker, RegisterWorker{worker, heartbeat.location, heartbeat.capacity,
                                                     settings_.lease.length, wall});
}

bool TaskScheduler::isNews(const Worker &worker, const AttemptReport &report, TimePoint now)
{
    const Task *task = book_.task(report.task);
    const bool isLive =
        task && task->live && task->attempt == report.attempt && task->live->worker == worker.name;
    const bool isLateSuccess = task && task->waits() && task->attempt == report.attempt
                               && report.state == AttemptState::Succeeded;
    if (isLateSuccess)
        return true;
    if (!isLive) {
        // Stopping is what such an attempt is to do; a stopped one the agent forgets by itself.
        if (report.state != AttemptState::Stopping && report.state != AttemptState::Stopped)
            orders_.dismiss(worker.name, report, now);
        return false;
    }
    if (hasEnded(report.state) || report.checkpoint > task->checkpoint)
        return true;
    return report.state == AttemptState::Running && task->state == TaskState::Placed;
}

void TaskScheduler::reported(const std::string &worker, const std::vector<AttemptReport> &attempts,
                             TimePoint now, WallTime wall)
{
    const Worker *known = book_.worker(worker);
    if (!isActive() || !known || known->lost)
        return;
    followBook(now);
    ReportTasks command{worker, {}, probeDelay_.next(known->suspensions), wall};
    for (const AttemptReport &report : attempts) {
        if (isNews(*known, report, now)) {
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

void TaskScheduler::findAbsent(const std::string &worker,
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

std::optional<TaskPlacement> TaskScheduler::placementFor(const Task &task)
{
    Demand demand{traitsOf(task), task.failedOn};
    auto chosen = policy_.choose(demand, view_);
    if (!chosen && !demand.avoid.empty()) {
        demand.avoid.clear();
        chosen = policy_.choose(demand, view_);
    }
    if (!chosen)
        return std::nullopt;
    const std::string &name = view_.worker(*chosen).name;
    return TaskPlacement{task.id, task.attempt + 1, name, book_.worker(name)->session};
}

std::vector<TaskPlacement> TaskScheduler::probes(std::vector<std::string> &candidates,
                                                 WallTime wall)
{
    std::vector<TaskPlacement> placements;
    for (const std::string &name : suspended_) {
        const Worker *worker = book_.worker(name);
        if (!worker || worker->health != WorkerHealth::Suspended || worker->lost
            || !worker->drain.empty() || wall < worker->probeAt)
            continue;
        // A task that failed elsewhere would say little about the worker.
        const auto probe = std::find_if(candidates.begin(), candidates.end(), [&](const auto &id) {
            const Task &task = *book_.task(id);
            return task.failures == 0 && !task.isService() && task.mayRestart()
                   && book_.ledger().fits(name, task.declared);
        });
        if (probe == candidates.end())
            continue;
        placements.push_back({*probe, book_.task(*probe)->attempt + 1, name, worker->session});
        candidates.erase(probe);
    }
    return placements;
}

void TaskScheduler::placeWaiting(TimePoint now, WallTime wall)
{
    if (underWay_.contains("place"))
        return;
    while (!delayed_.empty() && delayed_.begin()->first <= wall) {
        const std::string id = delayed_.begin()->second;
        delayed_.erase(delayed_.begin());
        delays_.erase(id);
        enqueue(*book_.task(id));
    }
    std::vector<std::string> candidates = queue_.next(settings_.lookAhead);
    PlaceTasks command;
    command.at = wall;
    command.placements = probes(candidates, wall);
    std::vector<Resources> withoutRoom;
    for (const std::string &id : candidates) {
        if (command.placements.size() >= settings_.batch)
            break;
        const Task &task = *book_.task(id);
        const bool isHopeless =
            std::any_of(withoutRoom.begin(), withoutRoom.end(),
                        [&](const Resources &size) { return fitsInto(size, task.declared); });
        const auto placement = isHopeless ? std::nullopt : placementFor(task);
        if (!placement) {
            if (!isHopeless)
                withoutRoom.push_back(task.declared);
            waitReasons_.try_emplace(
                id, fmt::format("No worker has {} free now.", describe(task.declared)));
            continue;
        }
        command.placements.push_back(*placement);
        addResident(task, task.declared, view_.workerNumber(placement->worker), now);
    }
    if (command.placements.empty())
        return;
    std::vector<std::string> ids;
    for (const TaskPlacement &placement : command.placements)
        ids.push_back(placement.task);
    proposeOnce("place", std::move(command), [this, ids, now] {
        // Whatever was refused must leave the view again.
        for (const std::string &id : ids)
            followTask(id, now);
    });
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
