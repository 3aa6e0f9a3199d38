#include "Jobs/roomplanner.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace Oleander::Jobs {

namespace {

/** Time between two plans. */
constexpr Duration PlanInterval = std::chrono::milliseconds(200);
/** Time for which room is kept: a stop takes up to 0.9 s, and a short task about as long. It stays
 * under the 3 s for which the platform lets a lasting task wait that would fit there. */
constexpr Duration ReserveFor = std::chrono::milliseconds(2'500);
/** One minion in this many may hold pieces of room together at a time; short tasks have the others.
 */
constexpr std::size_t MinionsForPieces = 10;
/** One minion in this many may have a reservation of any kind at a time, so that stops come in
 * steps and each step sees the effect of the last. */
constexpr std::size_t MinionsForReservations = 4;
/** Most reservations that one plan makes, since each looks at every run of the service. */
constexpr std::size_t MostPlanned = 8;
/** Most runs that are stopped for one task. */
constexpr std::size_t MostEvicted = 3;

} // namespace

std::uint64_t RoomPlanner::Minion::freeMilliCores() const
{
    const std::uint64_t whole = machine->minion.milliCores;
    return whole - std::min(whole, claim.milliCores);
}

void RoomPlanner::startTerm()
{
    reservations_.clear();
    evictions_.clear();
    evictedTasks_.clear();
    decisions_.clear();
    nextPlan_ = {};
}

bool RoomPlanner::entitled(const TaskRef &ref, const StepSpec &step, const Task &task) const
{
    return step.lasting
           && (reservations_.contains(ref) || (task.lastRun > 0 && !evictedTasks_.contains(ref)));
}

std::vector<RoomDecision> RoomPlanner::takeDecisions()
{
    return std::exchange(decisions_, {});
}

void RoomPlanner::update(TimePoint now, std::int64_t nowMs)
{
    dropStale(now);
    if (now < nextPlan_)
        return;
    nextPlan_ = now + PlanInterval;
    Shares shares = findShares(nowMs);
    const bool waits =
        std::ranges::any_of(shares, [](const auto &item) { return !item.second.waiting.empty(); });
    if (!waits)
        return;
    std::vector<Minion> minions = findMinions(now);
    dropPiecesThatFit(shares, minions);
    std::map<std::string, std::int64_t> spare = findSpare(minions);
    const std::size_t most = std::max<std::size_t>(1, minions.size() / MinionsForReservations);
    const std::size_t limit = std::min(most, reservations_.size() + MostPlanned);
    while (reservations_.size() < limit) {
        Share *least = nullptr;
        for (auto &[id, share] : shares) {
            if (share.due && !share.waiting.empty()
                && (least == nullptr || share.value() < least->value()))
                least = &share;
        }
        if (least == nullptr)
            return;
        // The tasks of a step are alike, so where one finds no room the others need not be tried.
        if (planTask(now, least->waiting.back(), shares, minions, spare[least->service]))
            least->waiting.pop_back();
        else
            least->waiting.clear();
    }
}

void RoomPlanner::dropPiecesThatFit(Shares &shares, std::vector<Minion> &minions)
{
    std::erase_if(reservations_, [&](const auto &item) {
        const TaskRef &task = item.first;
        const Reservation &reservation = item.second;
        const auto minion = std::ranges::find_if(minions, [&](const Minion &candidate) {
            return *candidate.life == reservation.minion;
        });
        const auto taker = shares.find(task.job);
        if (!reservation.pieces || minion == minions.end() || taker == shares.end()
            || !otherFits(*minion, taker->second, shares))
            return false;
        minion->reserved = false;
        --taker->second.held;
        taker->second.waiting.push_back(task);
        return true;
    });
}

void RoomPlanner::dropStale(TimePoint now)
{
    std::erase_if(reservations_, [&](const auto &item) {
        const auto &[task, reservation] = item;
        const Job *job = book_.find(task.job);
        const auto machine = machines_.machines().find(reservation.minion);
        return now >= reservation.until || job == nullptr || job->ended()
               || !job->tasks[task.step][task.index].active.empty()
               || machine == machines_.machines().end()
               || !machines_.takesTasks(now, machine->second);
    });
    std::erase_if(evictions_, [&](const auto &item) {
        return now >= item.second || book_.activeRun(item.first) == nullptr;
    });
    std::erase_if(evictedTasks_, [&](const TaskRef &task) {
        const Job *job = book_.find(task.job);
        if (job == nullptr || job->ended())
            return true;
        const auto &active = job->tasks[task.step][task.index].active;
        return !active.empty() && !evicts({task, active.back().run});
    });
}

RoomPlanner::Shares RoomPlanner::findShares(std::int64_t nowMs) const
{
    Shares shares;
    for (const std::string &id : book_.openJobs()) {
        const Job &job = *book_.find(id);
        const QueueSpec *queue = book_.queue(job.queue);
        if (!job.lasting() || queue == nullptr)
            continue;
        Share share{&job,
                    queue->service,
                    queue->priority,
                    0,
                    0,
                    {},
                    nowMs >= job.acceptedAtMs + PatienceMs};
        for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
            if (!job.steps[step].lasting || !job.stepReady(step))
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

std::vector<RoomPlanner::Minion> RoomPlanner::findMinions(TimePoint now) const
{
    std::set<MinionLife> reserved;
    for (const auto &[task, reservation] : reservations_)
        reserved.insert(reservation.minion);
    const auto uses = minionUse(book_);
    std::vector<Minion> minions;
    for (const auto &[life, machine] : machines_.machines()) {
        if (!machines_.takesTasks(now, machine))
            continue;
        Minion minion{&life, &machine, {}, {}, reserved.contains(life)};
        const auto use = uses.find(life);
        if (use != uses.end())
            minion.claim = use->second.claim;
        minion.lastingClaim = minion.claim;
        const auto runs = book_.activeRuns().find(life);
        if (runs != book_.activeRuns().end()) {
            for (const RunKey &key : runs->second) {
                const StepSpec &step = book_.find(key.first.job)->steps[key.first.step];
                if (!step.lasting)
                    minion.lastingClaim.remove(step);
            }
        }
        minions.push_back(minion);
    }
    return minions;
}

std::map<std::string, std::int64_t> RoomPlanner::findSpare(const std::vector<Minion> &minions) const
{
    std::map<std::string, std::int64_t> spare;
    for (const Minion &minion : minions) {
        const auto passing =
            static_cast<std::int64_t>(minion.claim.milliCores - minion.lastingClaim.milliCores);
        spare[minion.machine->minion.service] +=
            static_cast<std::int64_t>(minion.freeMilliCores()) - passing;
    }
    for (const std::string &id : book_.openJobs()) {
        const Job &job = *book_.find(id);
        const QueueSpec *queue = book_.queue(job.queue);
        for (std::uint32_t step = 0; queue != nullptr && step < job.steps.size(); ++step) {
            const StepSpec &spec = job.steps[step];
            if (spec.lasting || spec.filling || job.stepDone(step) || !job.stepReady(step))
                continue;
            const auto waiting = std::ranges::count_if(job.tasks[step], [](const Task &task) {
                return !task.done && task.active.empty();
            });
            spare[queue->service] -= waiting * std::int64_t{spec.milliCores};
        }
    }
    return spare;
}

bool RoomPlanner::planTask(TimePoint now, const TaskRef &task, Shares &shares,
                           std::vector<Minion> &minions, std::int64_t &spareMilliCores)
{
    Share &taker = shares.at(task.job);
    std::int64_t taken = taker.job->steps[task.step].milliCores;
    Eviction eviction;
    if (spareMilliCores >= taken && piecesKept(minions) < minions.size() / MinionsForPieces + 1)
        eviction.minion = choosePieces(task, taker, shares, minions);
    if (eviction.minion == nullptr)
        eviction = chooseEviction(task, taker, shares, minions, spareMilliCores);
    if (eviction.minion == nullptr)
        return false;
    for (const RunKey &run : eviction.runs) {
        Share &giver = shares.at(run.first.job);
        taken -= giver.job->steps[run.first.step].milliCores;
        --giver.held;
        evictions_[run] = now + ReserveFor;
        evictedTasks_.insert(run.first);
    }
    spareMilliCores -= taken;
    eviction.minion->reserved = true;
    ++taker.held;
    reservations_[task] = {*eviction.minion->life, now + ReserveFor, eviction.runs.empty()};
    decisions_.push_back({task, *eviction.minion->life, std::move(eviction.runs)});
    return true;
}

RoomPlanner::Minion *RoomPlanner::choosePieces(const TaskRef &task, const Share &taker,
                                               const Shares &shares,
                                               std::vector<Minion> &minions) const
{
    const StepSpec &step = taker.job->steps[task.step];
    Minion *best = nullptr;
    for (Minion &minion : minions) {
        if (minion.machine->minion.service != taker.service || minion.reserved
            || !accepts(minion, task, step)
            || !minion.lastingClaim.leavesRoom(minion.machine->minion, step)
            || otherFits(minion, taker, shares))
            continue;
        if (best == nullptr || minion.freeMilliCores() > best->freeMilliCores())
            best = &minion;
    }
    return best;
}

bool RoomPlanner::otherFits(const Minion &minion, const Share &taker, const Shares &shares) const
{
    return std::ranges::any_of(shares, [&](const auto &item) {
        const Share &other = item.second;
        return other.job != taker.job && other.service == taker.service
               && std::ranges::any_of(other.waiting, [&](const TaskRef &task) {
                      const StepSpec &step = other.job->steps[task.step];
                      return minion.claim.leavesRoom(minion.machine->minion, step)
                             && accepts(minion, task, step);
                  });
    });
}

bool RoomPlanner::accepts(const Minion &minion, const TaskRef &task, const StepSpec &step) const
{
    if (!hasLabel(minion.machine->minion, step.requiredLabel))
        return false;
    const auto &tasks = book_.find(task.job)->tasks[task.step];
    const auto here = std::ranges::count_if(tasks, [&](const Task &other) {
        return !other.active.empty() && other.active.back().minion == *minion.life;
    });
    return step.maxPerMinion == 0 || static_cast<std::uint32_t>(here) < step.maxPerMinion;
}

std::size_t RoomPlanner::piecesKept(const std::vector<Minion> &minions) const
{
    return static_cast<std::size_t>(std::ranges::count_if(minions, [&](const Minion &minion) {
        return std::ranges::any_of(reservations_, [&](const auto &item) {
            return item.second.pieces && item.second.minion == *minion.life;
        });
    }));
}

RoomPlanner::Eviction RoomPlanner::chooseEviction(const TaskRef &task, const Share &taker,
                                                  const Shares &shares,
                                                  std::vector<Minion> &minions,
                                                  std::int64_t spareMilliCores) const
{
    const StepSpec &step = taker.job->steps[task.step];
    Eviction best;
    std::tuple<std::int64_t, double, std::int64_t> bestScore;
    for (Minion &minion : minions) {
        if (minion.machine->minion.service != taker.service || minion.reserved
            || !accepts(minion, task, step))
            continue;
        const std::vector<RunKey> runs = runsToSpare(minion, step, taker, shares, spareMilliCores);
        if (runs.empty())
            continue;
        double least = 1.0;
        std::int64_t milliCores = 0;
        for (const RunKey &run : runs) {
            const Share &giver = shares.at(run.first.job);
            least = std::min(least, giver.value());
            milliCores += giver.job->steps[run.first.step].milliCores;
        }
        // The fewest stops go first; whoever has most gives, and no more room than is needed.
        const std::tuple score{-std::ssize(runs), least, -milliCores};
        if (best.minion == nullptr || score > bestScore) {
            best = {&minion, runs};
            bestScore = score;
        }
    }
    return best;
}

std::vector<RunKey> RoomPlanner::runsToSpare(const Minion &minion, const StepSpec &step,
                                             const Share &taker, const Shares &shares,
                                             std::int64_t spareMilliCores) const
{
    const auto here = book_.activeRuns().find(*minion.life);
    if (here == book_.activeRuns().end())
        return {};
    const auto stepOf = [&](const RunKey &run) -> const StepSpec & {
        return book_.find(run.first.job)->steps[run.first.step];
    };
    std::vector<RunKey> able;
    for (const RunKey &run : here->second) {
        if (maySpare(run, taker, shares, 0))
            able.push_back(run);
    }
    std::ranges::sort(able, [&](const RunKey &a, const RunKey &b) {
        return std::pair(shares.at(a.first.job).value(), stepOf(b).milliCores)
               > std::pair(shares.at(b.first.job).value(), stepOf(a).milliCores);
    });
    const std::int64_t most = std::max<std::int64_t>(0, spareMilliCores);
    const auto enough = [&](const std::vector<RunKey> &runs) {
        Claim left = minion.claim;
        std::int64_t taken = step.milliCores;
        for (const RunKey &run : runs) {
            left.remove(stepOf(run));
            taken -= stepOf(run).milliCores;
        }
        return taken <= most && left.leavesRoom(minion.machine->minion, step);
    };
    for (const RunKey &run : able) {
        if (enough({run}))
            return {run};
    }
    std::vector<RunKey> runs;
    std::map<TaskRef, std::uint32_t> spared;
    for (const RunKey &run : able) {
        std::uint32_t &before = spared[{run.first.job, run.first.step, 0}];
        if (!maySpare(run, taker, shares, before))
            continue;
        ++before;
        runs.push_back(run);
        if (enough(runs))
            return runs;
        if (runs.size() == MostEvicted)
            break;
    }
    return {};
}

bool RoomPlanner::maySpare(const RunKey &run, const Share &taker, const Shares &shares,
                           std::uint32_t already) const
{
    const auto owner = shares.find(run.first.job);
    if (owner == shares.end() || owner->second.job == taker.job || evicts(run))
        return false;
    const Share &giver = owner->second;
    const StepSpec &step = giver.job->steps[run.first.step];
    if (!step.lasting || giver.priority < taker.priority || giver.held <= already)
        return false;
    if (step.maxUnavailable > 0 && unavailable(run.first) + already >= step.maxUnavailable)
        return false;
    const std::uint64_t givers = std::uint64_t{giver.held - already - 1} * taker.tasks;
    const std::uint64_t takers = std::uint64_t{taker.held + 1} * giver.tasks;
    return givers >= takers;
}

std::uint32_t RoomPlanner::unavailable(const TaskRef &task) const
{
    const auto &tasks = book_.find(task.job)->tasks[task.step];
    std::uint32_t count = 0;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        const RunKey key{{task.job, task.step, index}, tasks[index].lastRun};
        const RunView *view = tasks[index].active.empty()
                                  ? nullptr
                                  : machines_.view(tasks[index].active.back().minion, key);
        const bool atWork = view != nullptr && view->atWork() && !evicts(key);
        count += atWork ? 0 : 1;
    }
    return count;
}

} // namespace Oleander::Jobs
