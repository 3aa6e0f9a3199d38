#include "Jobs/reservationplanner.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace Oleander::Jobs {

namespace {

/** Interval between two plans. */
constexpr Duration PlanInterval = std::chrono::milliseconds(200);
/** Duration of a reservation. A stop takes up to 0.9 s, and a short task about as long. It is below
 * the 3 s for which the platform lets a long-running task wait that would fit there. */
constexpr Duration ReserveFor = std::chrono::milliseconds(2'500);
/** One minion in this many may have an accumulating reservation at a time; the others remain
 * available to short tasks. */
constexpr std::size_t MinionsPerAccumulation = 10;
/** One minion in this many may have a reservation of any kind at a time, so that runs are evicted
 * in steps and each plan sees the effect of the previous one. */
constexpr std::size_t MinionsPerReservation = 4;
/** Maximum number of reservations made by one plan; each of them examines every run of the service.
 */
constexpr std::size_t MaxReservationsPerPlan = 16;
/** Maximum number of runs evicted for one task. */
constexpr std::size_t MaxEvictionsPerTask = 3;
/** Expiry of a reservation or stop that ends by other conditions. */
constexpr TimePoint NoExpiry = TimePoint::max();

} // namespace

std::uint64_t ReservationPlanner::Minion::freeMilliCores() const
{
    const std::uint64_t total = machine->minion.milliCores;
    return total - std::min(total, claim.milliCores);
}

void ReservationPlanner::startTerm()
{
    reservations_.clear();
    evictions_.clear();
    evictedTasks_.clear();
    successors_.clear();
    rounds_.clear();
    decisions_.clear();
    nextPlan_ = {};
}

bool ReservationPlanner::isPrioritized(const TaskRef &ref, const StepSpec &step,
                                       const Task &task) const
{
    return step.longRunning
           && (reservations_.contains(ref) || (task.lastRun > 0 && !evictedTasks_.contains(ref)));
}

std::vector<ReservationDecision> ReservationPlanner::takeDecisions()
{
    return std::exchange(decisions_, {});
}

void ReservationPlanner::update(TimePoint now, std::int64_t nowMs)
{
    dropExpired(now);
    dropStarted(now);
    if (now < nextPlan_)
        return;
    nextPlan_ = now + PlanInterval;
    Shares shares = findShares(nowMs);
    std::set<TaskRef> waiting;
    for (const auto &[id, share] : shares)
        waiting.insert(share.waiting.begin(), share.waiting.end());
    const bool hasUnplanned = !waiting.empty();
    for (const auto &[task, reservation] : reservations_) {
        if (reservation.movedRun == 0)
            waiting.insert(task);
    }
    rounds_.update(now, waiting, isSettled());
    if (!hasUnplanned)
        return;
    std::vector<Minion> minions = findMinions(now);
    dropUsableByOthers(shares, minions);
    std::map<std::string, std::int64_t> spare = findSpareMilliCores(minions);
    const std::size_t most = std::max<std::size_t>(1, minions.size() / MinionsPerReservation);
    const auto moves = static_cast<std::size_t>(std::ranges::count_if(
        reservations_, [](const auto &item) { return item.second.movedRun > 0; }));
    const std::size_t limit =
        std::min(most, reservations_.size() - moves + MaxReservationsPerPlan) + moves;
    while (reservations_.size() < limit) {
        Share *least = nullptr;
        for (auto &[id, share] : shares) {
            if (share.isEligible && !share.waiting.empty()
                && (least == nullptr || share.ratio() < least->ratio()))
                least = &share;
        }
        if (least == nullptr)
            return;
        // The tasks of a step are alike, so if one cannot be planned the others are skipped.
        if (planTask(now, least->waiting.back(), shares, minions, spare[least->service]))
            least->waiting.pop_back();
        else
            least->waiting.clear();
    }
}

void ReservationPlanner::dropUsableByOthers(Shares &shares, std::vector<Minion> &minions)
{
    std::erase_if(reservations_, [&](const auto &item) {
        const TaskRef &task = item.first;
        const Reservation &reservation = item.second;
        const auto minion = std::ranges::find_if(minions, [&](const Minion &candidate) {
            return *candidate.life == reservation.minion;
        });
        const auto recipient = shares.find(task.job);
        if (!reservation.isAccumulating || minion == minions.end() || recipient == shares.end()
            || !fitsOtherJob(*minion, recipient->second, shares))
            return false;
        minion->reserved = false;
        --recipient->second.held;
        recipient->second.waiting.push_back(task);
        return true;
    });
}

void ReservationPlanner::dropExpired(TimePoint now)
{
    std::erase_if(reservations_, [&](const auto &item) {
        const auto &[task, reservation] = item;
        const Job *job = book_.find(task.job);
        const auto machine = machines_.machines().find(reservation.minion);
        const bool isOpen = job != nullptr && !job->hasEnded();
        const auto isOtherRun = [moved = reservation.movedRun](const ActiveRun &run) {
            return run.run != moved;
        };
        const bool isStarted =
            isOpen && std::ranges::any_of(job->tasks[task.step][task.index].active, isOtherRun);
        if (isStarted && !reservation.isAccumulating && reservation.movedRun == 0)
            successors_.emplace(task, reservation.until);
        return now >= reservation.until || !isOpen || isStarted
               || machine == machines_.machines().end()
               || isObsolete(now, task, reservation, machine->second);
    });
    std::erase_if(evictions_, [&](const auto &item) {
        return now >= item.second || book_.activeRun(item.first) == nullptr;
    });
    std::erase_if(evictedTasks_, [&](const TaskRef &task) {
        const Job *job = book_.find(task.job);
        if (job == nullptr || job->hasEnded())
            return true;
        const auto &active = job->tasks[task.step][task.index].active;
        return !active.empty() && !evicts({task, active.back().run});
    });
}

bool ReservationPlanner::isObsolete(TimePoint now, const TaskRef &task,
                                    const Reservation &reservation, const Machine &machine) const
{
    if (!machines_.acceptsLongRunningTasks(now, machine))
        return true;
    if (reservation.movedRun == 0)
        return false;
    // A minion that has shrunk would hold the reservation forever.
    Claim claim;
    if (const auto runs = book_.activeRuns().find(reservation.minion);
        runs != book_.activeRuns().end()) {
        for (const RunKey &run : runs->second)
            claim.add(book_.find(run.first.job)->steps[run.first.step]);
    }
    return !claim.leavesRoom(machine.minion, book_.find(task.job)->steps[task.step]);
}

void ReservationPlanner::moveRun(const RunKey &run, const MinionLife &to)
{
    reservations_[run.first] = {to, NoExpiry, false, run.second};
    evictions_[run] = NoExpiry;
}

void ReservationPlanner::dropStarted(TimePoint now)
{
    std::erase_if(successors_, [&](const auto &item) {
        const auto &[task, until] = item;
        const Job *job = book_.find(task.job);
        if (now >= until || job == nullptr || job->hasEnded())
            return true;
        const auto &active = job->tasks[task.step][task.index].active;
        return active.empty()
               || machines_.hasListed(active.back().minion, {task, active.back().run});
    });
}

bool ReservationPlanner::isSettled() const
{
    // Moves take no resources from other jobs.
    return std::ranges::all_of(evictions_, [](const auto &item) { return item.second == NoExpiry; })
           && successors_.empty() && std::ranges::all_of(reservations_, [](const auto &item) {
                  return item.second.isAccumulating || item.second.movedRun > 0;
              });
}

ReservationPlanner::Shares ReservationPlanner::findShares(std::int64_t nowMs) const
{
    Shares shares;
    for (const std::string &id : book_.openJobs()) {
        const Job &job = *book_.find(id);
        const QueueSpec *queue = book_.queue(job.queue);
        if (!job.isLongRunning() || queue == nullptr)
            continue;
        Share share{&job,
                    queue->service,
                    queue->priority,
                    0,
                    0,
                    {},
                    nowMs >= job.acceptedAtMs + ReservationDelayMs};
        for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
            if (!job.steps[step].longRunning || !job.isStepReady(step))
                continue;
            for (std::uint32_t index = 0; index < job.tasks[step].size(); ++index) {
                const TaskRef ref{id, step, index};
                const auto &active = job.tasks[step][index].active;
                const bool stays = !active.empty() && !evicts({ref, active.back().run});
                ++share.tasks;
                if (stays || reservations_.contains(ref))
                    ++share.held;
                else if (active.empty())
                    share.waiting.push_back(ref);
            }
        }
        if (share.tasks > 0)
            shares.emplace(id, std::move(share));
    }
    return shares;
}

std::vector<ReservationPlanner::Minion> ReservationPlanner::findMinions(TimePoint now) const
{
    std::set<MinionLife> reserved;
    for (const auto &[task, reservation] : reservations_)
        reserved.insert(reservation.minion);
    const auto uses = computeMinionUse(book_);
    std::vector<Minion> minions;
    for (const auto &[life, machine] : machines_.machines()) {
        if (!machines_.acceptsLongRunningTasks(now, machine))
            continue;
        Minion minion{&life, &machine, {}, {}, reserved.contains(life)};
        const auto use = uses.find(life);
        if (use != uses.end())
            minion.claim = use->second.claim;
        minion.longRunningClaim = minion.claim;
        const auto runs = book_.activeRuns().find(life);
        if (runs != book_.activeRuns().end()) {
            for (const RunKey &key : runs->second) {
                const StepSpec &step = book_.find(key.first.job)->steps[key.first.step];
                if (!step.longRunning)
                    minion.longRunningClaim.remove(step);
            }
        }
        minions.push_back(minion);
    }
    return minions;
}

std::map<std::string, std::int64_t>
ReservationPlanner::findSpareMilliCores(const std::vector<Minion> &minions) const
{
    std::map<std::string, std::int64_t> spare;
    for (const Minion &minion : minions) {
        const auto transientMilliCores =
            static_cast<std::int64_t>(minion.claim.milliCores - minion.longRunningClaim.milliCores);
        spare[minion.machine->minion.service] +=
            static_cast<std::int64_t>(minion.freeMilliCores()) - transientMilliCores;
    }
    for (const std::string &id : book_.openJobs()) {
        const Job &job = *book_.find(id);
        const QueueSpec *queue = book_.queue(job.queue);
        for (std::uint32_t step = 0; queue != nullptr && step < job.steps.size(); ++step) {
            const StepSpec &spec = job.steps[step];
            if (spec.longRunning || spec.filling || job.isStepDone(step) || !job.isStepReady(step))
                continue;
            const auto waiting = std::ranges::count_if(job.tasks[step], [](const Task &task) {
                return !task.done && task.active.empty();
            });
            spare[queue->service] -= waiting * std::int64_t{spec.milliCores};
        }
    }
    return spare;
}

bool ReservationPlanner::planTask(TimePoint now, const TaskRef &task, Shares &shares,
                                  std::vector<Minion> &minions, std::int64_t &spareMilliCores)
{
    Share &recipient = shares.at(task.job);
    std::int64_t taken = recipient.job->steps[task.step].milliCores;
    Eviction eviction;
    if (spareMilliCores >= taken
        && countAccumulating(minions) < minions.size() / MinionsPerAccumulation + 1)
        eviction.minion = chooseAccumulating(task, recipient, shares, minions);
    if (eviction.minion == nullptr && rounds_.mayEvict(now))
        eviction = chooseEviction(task, recipient, shares, minions, spareMilliCores);
    if (eviction.minion == nullptr)
        return false;
    if (!eviction.runs.empty())
        rounds_.recordEviction(now);
    for (const RunKey &run : eviction.runs) {
        Share &donor = shares.at(run.first.job);
        taken -= donor.job->steps[run.first.step].milliCores;
        --donor.held;
        evictions_[run] = now + ReserveFor;
        evictedTasks_.insert(run.first);
    }
    spareMilliCores -= taken;
    eviction.minion->reserved = true;
    ++recipient.held;
    reservations_[task] = {*eviction.minion->life, now + ReserveFor, eviction.runs.empty(), 0};
    decisions_.push_back({task, *eviction.minion->life, std::move(eviction.runs)});
    return true;
}

ReservationPlanner::Minion *
ReservationPlanner::chooseAccumulating(const TaskRef &task, const Share &recipient,
                                       const Shares &shares, std::vector<Minion> &minions) const
{
    const StepSpec &step = recipient.job->steps[task.step];
    Minion *best = nullptr;
    for (Minion &minion : minions) {
        if (minion.machine->minion.service != recipient.service || minion.reserved
            || !accepts(minion, task, step)
            || !minion.longRunningClaim.leavesRoom(minion.machine->minion, step)
            || fitsOtherJob(minion, recipient, shares))
            continue;
        if (best == nullptr || minion.freeMilliCores() > best->freeMilliCores())
            best = &minion;
    }
    return best;
}

bool ReservationPlanner::fitsOtherJob(const Minion &minion, const Share &recipient,
                                      const Shares &shares) const
{
    return std::ranges::any_of(shares, [&](const auto &item) {
        const Share &other = item.second;
        return other.job != recipient.job && other.service == recipient.service
               && std::ranges::any_of(other.waiting, [&](const TaskRef &task) {
                      const StepSpec &step = other.job->steps[task.step];
                      return minion.claim.leavesRoom(minion.machine->minion, step)
                             && accepts(minion, task, step);
                  });
    });
}

bool ReservationPlanner::accepts(const Minion &minion, const TaskRef &task,
                                 const StepSpec &step) const
{
    if (!hasLabel(minion.machine->minion, step.requiredLabel))
        return false;
    const auto &tasks = book_.find(task.job)->tasks[task.step];
    const auto here = std::ranges::count_if(tasks, [&](const Task &other) {
        return !other.active.empty() && other.active.back().minion == *minion.life;
    });
    return step.maxPerMinion == 0 || static_cast<std::uint32_t>(here) < step.maxPerMinion;
}

std::size_t ReservationPlanner::countAccumulating(const std::vector<Minion> &minions) const
{
    return static_cast<std::size_t>(std::ranges::count_if(minions, [&](const Minion &minion) {
        return std::ranges::any_of(reservations_, [&](const auto &item) {
            return item.second.isAccumulating && item.second.minion == *minion.life;
        });
    }));
}

ReservationPlanner::Eviction ReservationPlanner::chooseEviction(const TaskRef &task,
                                                                const Share &recipient,
                                                                const Shares &shares,
                                                                std::vector<Minion> &minions,
                                                                std::int64_t spareMilliCores) const
{
    const StepSpec &step = recipient.job->steps[task.step];
    Eviction best;
    std::tuple<std::int64_t, double, std::int64_t> bestScore;
    for (Minion &minion : minions) {
        if (minion.machine->minion.service != recipient.service || minion.reserved
            || !accepts(minion, task, step))
            continue;
        const std::vector<RunKey> runs =
            findEvictableRuns(minion, step, recipient, shares, spareMilliCores);
        if (runs.empty())
            continue;
        double least = 1.0;
        std::int64_t milliCores = 0;
        for (const RunKey &run : runs) {
            const Share &donor = shares.at(run.first.job);
            least = std::min(least, donor.ratio());
            milliCores += donor.job->steps[run.first.step].milliCores;
        }
        // Prefers the fewest evictions, then donors with the largest share, then the least
        // processor time.
        const std::tuple score{-std::ssize(runs), least, -milliCores};
        if (best.minion == nullptr || score > bestScore) {
            best = {&minion, runs};
            bestScore = score;
        }
    }
    return best;
}

std::vector<RunKey> ReservationPlanner::findEvictableRuns(const Minion &minion,
                                                          const StepSpec &step,
                                                          const Share &recipient,
                                                          const Shares &shares,
                                                          std::int64_t spareMilliCores) const
{
    const auto here = book_.activeRuns().find(*minion.life);
    if (here == book_.activeRuns().end())
        return {};
    const auto stepOf = [&](const RunKey &run) -> const StepSpec & {
        return book_.find(run.first.job)->steps[run.first.step];
    };
    std::vector<RunKey> evictable;
    for (const RunKey &run : here->second) {
        if (canEvict(run, recipient, shares, 0))
            evictable.push_back(run);
    }
    std::ranges::sort(evictable, [&](const RunKey &a, const RunKey &b) {
        return std::pair(shares.at(a.first.job).ratio(), stepOf(b).milliCores)
               > std::pair(shares.at(b.first.job).ratio(), stepOf(a).milliCores);
    });
    const std::int64_t most = std::max<std::int64_t>(0, spareMilliCores);
    const auto makesRoom = [&](const std::vector<RunKey> &runs) {
        Claim left = minion.claim;
        std::int64_t taken = step.milliCores;
        for (const RunKey &run : runs) {
            left.remove(stepOf(run));
            taken -= stepOf(run).milliCores;
        }
        return taken <= most && left.leavesRoom(minion.machine->minion, step);
    };
    for (const RunKey &run : evictable) {
        if (makesRoom({run}))
            return {run};
    }
    std::vector<RunKey> runs;
    std::map<TaskRef, std::uint32_t> spared;
    for (const RunKey &run : evictable) {
        std::uint32_t &before = spared[{run.first.job, run.first.step, 0}];
        if (!canEvict(run, recipient, shares, before))
            continue;
        ++before;
        runs.push_back(run);
        if (makesRoom(runs))
            return runs;
        if (runs.size() == MaxEvictionsPerTask)
            break;
    }
    return {};
}

bool ReservationPlanner::canEvict(const RunKey &run, const Share &recipient, const Shares &shares,
                                  std::uint32_t already) const
{
    const auto owner = shares.find(run.first.job);
    if (owner == shares.end() || owner->second.job == recipient.job || evicts(run))
        return false;
    const Share &donor = owner->second;
    const StepSpec &step = donor.job->steps[run.first.step];
    if (!step.longRunning || donor.priority < recipient.priority || donor.held <= already)
        return false;
    if (step.maxUnavailable > 0 && unavailable(run.first) + already >= step.maxUnavailable)
        return false;
    const std::uint64_t donorShare = std::uint64_t{donor.held - already - 1} * recipient.tasks;
    const std::uint64_t recipientShare = std::uint64_t{recipient.held + 1} * donor.tasks;
    return donorShare >= recipientShare;
}

std::uint32_t ReservationPlanner::unavailable(const TaskRef &task) const
{
    const auto &tasks = book_.find(task.job)->tasks[task.step];
    std::uint32_t count = 0;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        const RunKey key{{task.job, task.step, index}, tasks[index].lastRun};
        const RunView *view = tasks[index].active.empty()
                                  ? nullptr
                                  : machines_.findRun(tasks[index].active.back().minion, key);
        const bool atWork = view != nullptr && view->isAtWork() && !evicts(key);
        count += atWork ? 0 : 1;
    }
    return count;
}

} // namespace Oleander::Jobs
