#include "Jobs/evacuationplanner.h"

#include <algorithm>

namespace Oleander::Jobs {

namespace {

/** Time from the start of a term until the first move. A stop that the former leader ordered has
 * taken effect or is void by then: agents ignore the directives of a lower term, and their calls
 * end after 0.4 s. */
constexpr Duration FirstMoveAfter = std::chrono::seconds(3);

const StepSpec &stepOf(const JobBook &book, const TaskRef &ref)
{
    return book.find(ref.job)->steps[ref.step];
}

} // namespace

std::map<std::string, std::uint32_t> countEvacuatedRuns(const JobBook &book,
                                                        const MachineTable &machines)
{
    std::map<std::string, std::uint32_t> counts;
    for (const auto &[failureDomain, evacuation] : book.evacuations()) {
        if (evacuation.requested)
            counts[failureDomain] = 0;
    }
    for (const auto &[life, runs] : book.activeRuns()) {
        const auto machine = machines.machines().find(life);
        if (machine != machines.machines().end() && machines.isEvacuated(machine->second))
            counts[machine->second.minion.zone] += static_cast<std::uint32_t>(runs.size());
    }
    return counts;
}

void EvacuationPlanner::startTerm(TimePoint now)
{
    moves_.clear();
    decided_.clear();
    firstMoveAt_ = now + FirstMoveAfter;
}

std::vector<EvacuationMove> EvacuationPlanner::takeMoves()
{
    return std::exchange(decided_, {});
}

void EvacuationPlanner::plan(TimePoint now,
                             const std::vector<std::pair<MinionLife, TaskRef>> &claimed)
{
    std::erase_if(moves_, [&](const auto &item) { return isComplete(now, item.second); });
    const bool isRequested = std::ranges::any_of(
        book_.evacuations(), [](const auto &item) { return item.second.requested; });
    if (moves_.empty() && !isRequested)
        return;
    claimed_ = claimed;
    computeClaims(now);
    replaceReservations(now);
    if (now < firstMoveAt_)
        return;
    notAtWork_.clear();
    // The tasks of a step are alike, so if one has no room the others are skipped.
    std::set<StepKey> full;
    for (const auto &[life, machine] : machines_.machines()) {
        const auto runs = book_.activeRuns().find(life);
        // A run on a minion that is not connected ends with its lease, whether stopped or not.
        if (runs == book_.activeRuns().end() || !machines_.isEvacuated(machine)
            || !isConnected(now, machine))
            continue;
        for (const RunKey &run : runs->second) {
            const TaskRef &ref = run.first;
            const StepSpec &step = stepOf(book_, ref);
            if (!step.longRunning || book_.find(ref.job)->hasEnded()
                || !machine.running.contains(run) || reservations_.evicts(run)
                || moves_.contains({ref.job, ref.step}) || full.contains({ref.job, ref.step})
                || !mayStop(now, life, run))
                continue;
            const MinionLife *to = chooseMinion(now, ref);
            if (to == nullptr) {
                full.emplace(ref.job, ref.step);
                continue;
            }
            reservations_.moveRun(run, *to);
            claims_[*to].add(step);
            moves_.emplace(StepKey{ref.job, ref.step}, run);
            decided_.push_back({run, machine.minion.zone, life, *to});
        }
    }
}

bool EvacuationPlanner::isComplete(TimePoint now, const RunKey &run) const
{
    const Task *task = book_.findTask(run.first);
    if (task == nullptr || book_.find(run.first.job)->hasEnded())
        return true;
    return !task->active.empty() && task->active.back().run != run.second
           && isAtWork(now, task->active.back().minion, {run.first, task->active.back().run});
}

void EvacuationPlanner::replaceReservations(TimePoint now)
{
    for (const auto &[step, run] : moves_) {
        const TaskRef &ref = run.first;
        const auto &active = book_.findTask(ref)->active;
        const bool hasSuccessor = !active.empty() && active.back().run != run.second;
        const auto starting =
            std::ranges::find(claimed_, ref, &std::pair<MinionLife, TaskRef>::second);
        if (hasSuccessor || starting != claimed_.end()
            || reservations_.reservations().contains(ref))
            continue;
        if (const MinionLife *to = chooseMinion(now, ref)) {
            reservations_.moveRun(run, *to);
            claims_[*to].add(stepOf(book_, ref));
        }
    }
}

bool EvacuationPlanner::isConnected(TimePoint now, const Machine &machine) const
{
    return !machine.minion.draining && machine.minion.reachable
           && now < machine.reportedAt + machines_.options().maxReportAge;
}

bool EvacuationPlanner::isAtWork(TimePoint now, const MinionLife &life, const RunKey &run) const
{
    const auto machine = machines_.machines().find(life);
    const RunView *view = machines_.findRun(life, run);
    return machine != machines_.machines().end() && view != nullptr && view->isAtWork()
           && isConnected(now, machine->second) && !reservations_.evicts(run);
}

bool EvacuationPlanner::mayStop(TimePoint now, const MinionLife &life, const RunKey &run)
{
    const TaskRef &ref = run.first;
    const auto [known, first] = notAtWork_.try_emplace({ref.job, ref.step});
    NotAtWork &step = known->second;
    const std::vector<Task> &tasks = book_.find(ref.job)->tasks[ref.step];
    for (std::uint32_t index = 0; first && index < tasks.size(); ++index) {
        const auto &active = tasks[index].active;
        if (active.empty())
            ++step.waiting;
        else if (!isAtWork(now, active.back().minion,
                           {{ref.job, ref.step, index}, active.back().run}))
            ++step.starting;
    }
    const std::uint32_t itself = isAtWork(now, life, run) ? 0 : 1;
    const std::uint32_t starting = step.starting - std::min(step.starting, itself);
    const std::uint32_t limit = stepOf(book_, ref).maxUnavailable;
    // Without a limit, a task that is starting may be one that the former leader moved.
    return limit == 0 ? starting == 0 : step.waiting + starting < limit;
}

const MinionLife *EvacuationPlanner::chooseMinion(TimePoint now, const TaskRef &ref)
{
    const StepSpec &step = stepOf(book_, ref);
    const QueueSpec *queue = book_.queue(book_.find(ref.job)->queue);
    if (queue == nullptr)
        return nullptr;
    const MinionLife *best = nullptr;
    std::pair<bool, std::int64_t> bestScore;
    for (const auto &[life, machine] : machines_.machines()) {
        const MinionReport &minion = machine.minion;
        const Claim &claim = claims_[life];
        if (minion.service != queue->service || !machines_.acceptsTasks(now, machine)
            || !hasLabel(minion, step.requiredLabel) || !claim.leavesRoom(minion, step)
            || coldStarts_.startsLeft(life) == 0U
            || (step.maxPerMinion > 0 && countTasksOf(ref, life) >= step.maxPerMinion))
            continue;
        // As for placement: where the step's data is, then where least is free.
        const std::pair score{!step.affinity.empty() && hasLabel(minion, step.affinity),
                              static_cast<std::int64_t>(claim.milliCores)
                                  - static_cast<std::int64_t>(minion.milliCores)};
        if (best == nullptr || score > bestScore) {
            best = &life;
            bestScore = score;
        }
    }
    return best;
}

std::size_t EvacuationPlanner::countTasksOf(const TaskRef &ref, const MinionLife &life) const
{
    const auto isOfStep = [&](const TaskRef &other) {
        return other.job == ref.job && other.step == ref.step;
    };
    std::size_t count = 0;
    if (const auto runs = book_.activeRuns().find(life); runs != book_.activeRuns().end())
        count += static_cast<std::size_t>(std::ranges::count_if(
            runs->second, [&](const RunKey &run) { return isOfStep(run.first); }));
    for (const auto &[other, reservation] : reservations_.reservations())
        count += reservation.minion == life && isOfStep(other) ? 1 : 0;
    for (const auto &[minion, other] : claimed_)
        count += minion == life && isOfStep(other) ? 1 : 0;
    return count;
}

void EvacuationPlanner::computeClaims(TimePoint now)
{
    claims_.clear();
    for (const auto &[life, use] : computeMinionUse(book_))
        claims_[life] = use.claim;
    for (const auto &[life, ref] : claimed_)
        claims_[life].add(stepOf(book_, ref));
    for (const auto &[ref, reservation] : reservations_.reservations()) {
        if (const StepSpec *step = book_.findStep(ref))
            claims_[reservation.minion].add(*step);
    }
    for (const auto &[life, machine] : machines_.machines()) {
        for (const RunKey &run : machines_.unbookedRuns(now, life, machine, book_)) {
            if (const StepSpec *step = book_.findStep(run.first))
                claims_[life].add(*step);
        }
    }
}

} // namespace Oleander::Jobs
