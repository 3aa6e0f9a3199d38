#include "Jobs/backfillplanner.h"

#include <algorithm>
#include <utility>

namespace Oleander::Jobs {

namespace {

/** Interval between two plans; each one orders every open job. */
constexpr Duration PlanInterval = std::chrono::milliseconds(200);
/** One minion of a service in this many may have a reservation at a time, so that small tasks can
 * start without regard to the large ones on the others. */
constexpr std::size_t MinionsPerReservation = 10;
/** Relative error of an estimate: runs take up to 1.9 times as long as declared. */
constexpr double EstimateError = 0.9;
/** Limits of the time by which a reservation outlasts the predicted one. The lower limit covers the
 * time from the end of a run to its commit, the upper one is the wait beside free resources that
 * the platform counts as a violation. */
constexpr Duration MinMargin = std::chrono::milliseconds(500);
constexpr Duration MaxMargin = std::chrono::seconds(3);
/** Predictions further ahead have errors that exceed the duration of most tasks. */
constexpr Duration MaxPrediction = std::chrono::seconds(60);
/** Minimum time for which a minion gets no reservation after an overdue one. */
constexpr Duration MinPause = std::chrono::seconds(1);

} // namespace

std::string_view backfillEndName(BackfillEnd end)
{
    switch (end) {
    case BackfillEnd::Started:
        return "started";
    case BackfillEnd::Cancelled:
        return "cancelled";
    case BackfillEnd::Overdue:
        return "overdue";
    case BackfillEnd::MinionLost:
        break;
    }
    return "minion-lost";
}

void BackfillPlanner::startTerm()
{
    reservations_.clear();
    pausedUntil_.clear();
    largeSinceMs_.clear();
    lingering_.clear();
    decisions_.clear();
    waits_.clear();
    nextPlan_ = {};
}

std::vector<BackfillDecision> BackfillPlanner::takeDecisions()
{
    return std::exchange(decisions_, {});
}

std::vector<Duration> BackfillPlanner::takeWaits()
{
    return std::exchange(waits_, {});
}

void BackfillPlanner::update(TimePoint now, std::int64_t nowMs)
{
    if (!isEnabled_)
        return;
    now_ = now;
    nowMs_ = nowMs;
    dropObsolete();
    repeatPredictions();
    if (now < nextPlan_)
        return;
    nextPlan_ = now + PlanInterval;
    recordStarts();
    std::erase_if(pausedUntil_, [&](const auto &item) { return now >= item.second; });
    plan();
}

void BackfillPlanner::recordStarts()
{
    std::erase_if(largeSinceMs_, [&](const auto &item) {
        const auto &[ref, sinceMs] = item;
        const Task *task = book_.findTask(ref);
        if (task == nullptr || task->done || book_.find(ref.job)->hasEnded())
            return true;
        if (!task->active.empty())
            waits_.push_back(std::chrono::milliseconds(
                std::max<std::int64_t>(0, task->active.back().startedAtMs - sinceMs)));
        return !task->active.empty();
    });
}

void BackfillPlanner::drop(Reservations::iterator item, BackfillEnd end)
{
    const BackfillReservation &reservation = item->second;
    if (end == BackfillEnd::Overdue)
        pausedUntil_[reservation.minion] = now_ + std::max(MinPause, now_ - reservation.madeAt);
    decisions_.push_back({item->first, reservation, end});
    reservations_.erase(item);
}

void BackfillPlanner::dropObsolete()
{
    for (auto next = reservations_.begin(); next != reservations_.end();) {
        const auto item = next++;
        const auto &[ref, reservation] = *item;
        const Task *task = book_.findTask(ref);
        const auto machine = machines_.machines().find(reservation.minion);
        if (task == nullptr || task->done || book_.find(ref.job)->hasEnded())
            drop(item, BackfillEnd::Cancelled);
        else if (!task->active.empty())
            drop(item, BackfillEnd::Started);
        else if (machine == machines_.machines().end()
                 || !accepts(reservation.minion, machine->second, ref))
            drop(item, BackfillEnd::MinionLost);
        else if (now_ >= reservation.until)
            drop(item, BackfillEnd::Overdue);
    }
}

void BackfillPlanner::repeatPredictions()
{
    for (auto next = reservations_.begin(); next != reservations_.end();) {
        const auto item = next++;
        BackfillReservation &reservation = item->second;
        const Machine &machine = machines_.machines().at(reservation.minion);
        const Minion minion{&reservation.minion, &machine, claimOf(reservation.minion, machine)};
        const auto prediction = predict(minion, *book_.findStep(item->first));
        // Estimates change with every job that is submitted; only progress shows that they are
        // wrong before the margin has passed.
        if (!prediction || (prediction->isMeasured && prediction->at >= reservation.until)) {
            drop(item, BackfillEnd::Overdue);
            continue;
        }
        reservation.expectedAt = std::min(prediction->at, reservation.promisedAt);
        reservation.remaining =
            claimAfter(reservation.expectedAt, reservation.minion, minion.claim);
    }
}

void BackfillPlanner::plan()
{
    lingering_.clear();
    for (const auto &[life, machine] : machines_.machines()) {
        for (const RunKey &key : machines_.unbookedRuns(now_, life, machine, book_))
            lingering_.insert(key.first);
    }
    std::vector<Minion> minions = findMinions();
    std::map<std::string, std::size_t> available = countAvailable(minions);
    for (const RankedJob &ranked : orderJobs(book_, estimates_, machines_, nowMs_)) {
        for (std::uint32_t step = 0; step < ranked.job->steps.size(); ++step)
            planStep(ranked, step, minions, available);
    }
}

void BackfillPlanner::planStep(const RankedJob &ranked, std::uint32_t step,
                               std::vector<Minion> &minions,
                               std::map<std::string, std::size_t> &available)
{
    const StepSpec &spec = ranked.job->steps[step];
    const QueueSpec *queue = book_.queue(ranked.job->queue);
    if (queue == nullptr || spec.longRunning || spec.filling || ranked.job->isStepDone(step)
        || !ranked.job->isStepReady(step))
        return;
    // The tasks of a step are alike, so if one is not large the others are not either.
    const std::vector<TaskRef> first = findWaiting(ranked, step, 1);
    if (first.empty() || !isLarge(first.front(), queue->service, minions))
        return;
    std::size_t &left = available[queue->service];
    for (const TaskRef &task : findWaiting(ranked, step, spec.count)) {
        largeSinceMs_.try_emplace(task, nowMs_);
        if (left > 0 && isLarge(task, queue->service, minions)
            && reserve(task, queue->service, minions))
            --left;
    }
}

std::vector<TaskRef> BackfillPlanner::findWaiting(const RankedJob &ranked, std::uint32_t step,
                                                  std::size_t most) const
{
    std::vector<TaskRef> waiting;
    const std::vector<Task> &tasks = ranked.job->tasks[step];
    for (std::uint32_t index = 0; index < tasks.size() && waiting.size() < most; ++index) {
        // Tasks that may have crashed a minion start in isolation.
        if (tasks[index].done || !tasks[index].active.empty() || tasks[index].suspectedCrashes > 0)
            continue;
        const TaskRef ref{ranked.id, step, index};
        if (!lingering_.contains(ref) && !reservations_.contains(ref))
            waiting.push_back(ref);
    }
    return waiting;
}

bool BackfillPlanner::reserve(const TaskRef &task, const std::string &service,
                              std::vector<Minion> &minions)
{
    const StepSpec &step = *book_.findStep(task);
    Minion *best = nullptr;
    Prediction soonest;
    for (Minion &minion : minions) {
        if (minion.reserved || minion.machine->minion.service != service
            || pausedUntil_.contains(*minion.life) || !accepts(*minion.life, *minion.machine, task))
            continue;
        const auto prediction = predict(minion, step);
        if (prediction && prediction->at <= now_ + MaxPrediction
            && (best == nullptr || prediction->at < soonest.at)) {
            best = &minion;
            soonest = *prediction;
        }
    }
    if (best == nullptr)
        return false;
    const auto error = std::chrono::duration_cast<Duration>(EstimateError * soonest.longestRun);
    const Duration margin = std::clamp(error, MinMargin, MaxMargin);
    BackfillReservation reservation{*best->life, now_,
                                    soonest.at,  soonest.at + margin,
                                    soonest.at,  claimAfter(soonest.at, *best->life, best->claim)};
    best->reserved = true;
    decisions_.push_back({task, reservation, std::nullopt});
    reservations_.emplace(task, std::move(reservation));
    return true;
}

std::vector<BackfillPlanner::Minion> BackfillPlanner::findMinions() const
{
    std::set<MinionLife> reserved;
    for (const auto &[task, reservation] : reservations_)
        reserved.insert(reservation.minion);
    std::vector<Minion> minions;
    for (const auto &[life, machine] : machines_.machines()) {
        if (machines_.acceptsTasks(now_, machine) && !book_.isEvacuated(machine.minion.zone))
            minions.push_back({&life, &machine, claimOf(life, machine), reserved.contains(life)});
    }
    return minions;
}

std::map<std::string, std::size_t>
BackfillPlanner::countAvailable(const std::vector<Minion> &minions) const
{
    std::map<std::string, std::size_t> sizes;
    std::map<std::string, std::size_t> held;
    for (const Minion &minion : minions) {
        ++sizes[minion.machine->minion.service];
        held[minion.machine->minion.service] += minion.reserved ? 1 : 0;
    }
    std::map<std::string, std::size_t> available;
    for (const auto &[service, size] : sizes) {
        const std::size_t most = std::max<std::size_t>(1, size / MinionsPerReservation);
        available[service] = most - std::min(most, held[service]);
    }
    return available;
}

Claim BackfillPlanner::claimOf(const MinionLife &life, const Machine &machine) const
{
    Claim claim;
    const auto runs = book_.activeRuns().find(life);
    if (runs != book_.activeRuns().end()) {
        for (const RunKey &key : runs->second)
            claim.add(*book_.findStep(key.first));
    }
    for (const RunKey &key : machines_.unbookedRuns(now_, life, machine, book_)) {
        if (const StepSpec *step = book_.findStep(key.first))
            claim.add(*step);
    }
    for (const auto &[task, reservation] : longRunning_.reservations()) {
        const StepSpec *step = book_.findStep(task);
        if (reservation.minion == life && step != nullptr)
            claim.add(*step);
    }
    return claim;
}

Claim BackfillPlanner::claimAfter(TimePoint at, const MinionLife &life, Claim claim) const
{
    const auto runs = book_.activeRuns().find(life);
    if (runs == book_.activeRuns().end())
        return claim;
    for (const RunKey &key : runs->second) {
        const auto expected = forecast_.expect(key, nowMs_);
        if (expected && now_ + expected->remaining <= at)
            claim.remove(*book_.findStep(key.first));
    }
    return claim;
}

std::optional<BackfillPlanner::Prediction> BackfillPlanner::predict(const Minion &minion,
                                                                    const StepSpec &step) const
{
    Claim claim = minion.claim;
    Prediction prediction{now_, {}, false};
    if (claim.leavesRoom(minion.machine->minion, step))
        return prediction;
    const auto runs = book_.activeRuns().find(*minion.life);
    if (runs == book_.activeRuns().end())
        return std::nullopt;
    std::vector<std::pair<ExpectedTime, const StepSpec *>> ends;
    for (const RunKey &key : runs->second) {
        if (const auto expected = forecast_.expect(key, nowMs_))
            ends.emplace_back(*expected, book_.findStep(key.first));
    }
    std::ranges::stable_sort(ends, {}, [](const auto &end) { return end.first.remaining; });
    for (const auto &[expected, ended] : ends) {
        claim.remove(*ended);
        prediction.at = now_ + expected.remaining;
        prediction.isMeasured = expected.isMeasured;
        prediction.longestRun = std::max(prediction.longestRun, expected.whole);
        if (claim.leavesRoom(minion.machine->minion, step))
            return prediction;
    }
    return std::nullopt;
}

bool BackfillPlanner::accepts(const MinionLife &life, const Machine &machine,
                              const TaskRef &task) const
{
    const Job &job = *book_.find(task.job);
    const StepSpec &step = job.steps[task.step];
    const QueueSpec *queue = book_.queue(job.queue);
    if (queue == nullptr || machine.minion.service != queue->service
        || !machines_.acceptsTasks(now_, machine) || book_.isEvacuated(machine.minion.zone)
        || !hasLabel(machine.minion, step.requiredLabel)
        || !Claim{}.leavesRoom(machine.minion, step))
        return false;
    const auto &tasks = job.tasks[task.step];
    const bool isLastAttempt = tasks[task.index].failures + 1 >= queue->maxAttempts;
    if (isLastAttempt && machine.health.isDoubtful(now_))
        return false;
    if (step.maxPerMinion == 0)
        return true;
    const auto here = std::ranges::count_if(tasks, [&](const Task &other) {
        return !other.active.empty() && other.active.back().minion == life;
    });
    return static_cast<std::uint32_t>(here) < step.maxPerMinion;
}

bool BackfillPlanner::isLarge(const TaskRef &task, const std::string &service,
                              const std::vector<Minion> &minions) const
{
    const StepSpec &step = *book_.findStep(task);
    const auto isUsable = [&](const Minion &minion) {
        return !minion.reserved && minion.machine->minion.service == service;
    };
    // Most waiting tasks fit somewhere or lack resources, so the cheap checks are first.
    MinionReport free;
    for (const Minion &minion : minions) {
        if (!isUsable(minion))
            continue;
        if (minion.claim.leavesRoom(minion.machine->minion, step)
            && accepts(*minion.life, *minion.machine, task))
            return false;
        minion.addFree(free);
    }
    if (!Claim{}.leavesRoom(free, step))
        return false;
    free = {};
    for (const Minion &minion : minions) {
        if (isUsable(minion) && accepts(*minion.life, *minion.machine, task))
            minion.addFree(free);
    }
    return Claim{}.leavesRoom(free, step);
}

void BackfillPlanner::Minion::addFree(MinionReport &sum) const
{
    const auto left = [](std::uint64_t size, std::uint64_t claimed) {
        return size - std::min(size, claimed);
    };
    const MinionReport &size = machine->minion;
    sum.milliCores += static_cast<std::uint32_t>(left(size.milliCores, claim.milliCores));
    sum.memoryMiB += left(size.memoryMiB, claim.memoryMiB);
    sum.accelerators += static_cast<std::uint32_t>(left(size.accelerators, claim.accelerators));
}

} // namespace Oleander::Jobs
