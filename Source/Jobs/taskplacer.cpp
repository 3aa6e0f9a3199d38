#include "Jobs/taskplacer.h"

#include "Jobs/taskplacerprivate.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace Oleander::Jobs {

namespace {

/** Share of its claim that a serving task uses on average, in percent. */
constexpr std::int64_t ServingUsePercent = 42;
constexpr double MilliCores = 1000.0;
/** Upper limit in cores where no serving task limits the filling tasks. */
constexpr double MaxCores = 100'000.0;
/** Claimed share of a service below which no job may wait without a running task, in percent. The
 * platform counts such a wait as a violation up to a share of one half. */
constexpr std::uint64_t MostlyIdlePercent = 60;
constexpr std::int64_t Hundred = 100;
/** A long-running task is prioritized while the service has capacity for this many of its kind. The
 * platform counts a violation if one waits for 3 s with capacity for two. */
constexpr std::uint64_t PriorityCapacityTasks = 2;
/** Time without progress after which a filling run is moved; about the cost of a move. */
constexpr Duration StalledAfter = std::chrono::milliseconds(1'000);
/** Maximum progress in percent that a move may lose. */
constexpr std::uint32_t MaxLostPercent = 10;
/** Penalty in milli-cores for a minion without the label that the step prefers (the rack of its
 * data). */
constexpr std::int64_t FarPenaltyMilliCores = 1'000'000;
/** Penalty in milli-cores for a minion where the task delays a large one that has a reservation. */
constexpr std::int64_t ReservedPenaltyMilliCores = 1'500'000;
/** Penalty in milli-cores for a suspended minion, which long-running tasks use last. */
constexpr std::int64_t SuspendedPenaltyMilliCores = 2'000'000;

} // namespace

void TaskPlacer::applyReservations()
{
    for (const auto &[ref, reservation] : planner_.reservations()) {
        if (const Job *job = book_.find(ref.job))
            applyReservation(ref, job->steps[ref.step]);
    }
}

void TaskPlacer::applyReservation(const TaskRef &ref, const StepSpec &step)
{
    windows_.restore(ref);
    const auto reservation = planner_.reservations().find(ref);
    if (reservation == planner_.reservations().end())
        return;
    for (Candidate &candidate : candidates_) {
        if (*candidate.life == reservation->second.minion)
            candidate.reserved.push_back(&step);
    }
}

bool TaskPlacer::releaseReservation(const TaskRef &ref, const StepSpec &step)
{
    const auto reservation = planner_.reservations().find(ref);
    if (reservation == planner_.reservations().end())
        return windows_.release(ref);
    for (Candidate &candidate : candidates_) {
        const auto entry = std::ranges::find(candidate.reserved, &step);
        if (*candidate.life == reservation->second.minion && entry != candidate.reserved.end())
            candidate.reserved.erase(entry);
    }
    return true;
}

std::vector<RunStart> TaskPlacer::place(TimePoint now, std::int64_t nowMs)
{
    candidates_.clear();
    unobservedPairs_.reset();
    nowMs_ = nowMs;
    now_ = now;
    lingering_.clear();
    const auto use = computeMinionUse(book_);
    for (const auto &[life, machine] : machines_.machines()) {
        const std::vector<RunKey> unbooked = machines_.unbookedRuns(now, life, machine, book_);
        for (const RunKey &key : unbooked)
            lingering_.insert(key.first);
        if (!machines_.acceptsLongRunningTasks(now, machine))
            continue;
        const auto used = use.find(life);
        Candidate &candidate = candidates_.emplace_back();
        candidate.life = &life;
        candidate.machine = &machine;
        candidate.isSuspended = !machines_.acceptsTasks(now, machine);
        candidate.startsLeft = coldStarts_.startsLeft(life);
        if (used != use.end())
            candidate.use = used->second;
        for (const RunKey &key : unbooked) {
            if (const StepSpec *step = book_.findStep(key.first))
                candidate.use.add(*step);
        }
    }
    starts_.clear();
    started_.clear();
    if (candidates_.empty())
        return {};
    applyReservations();
    std::vector<RankedJob> ordered = orderJobs(book_, estimates_, machines_, nowMs);
    if (!book_.crashSuspects().empty())
        placeCrashSuspects(ordered);
    for (const Pass pass : {Pass::Prioritized, Pass::Other}) {
        for (const RankedJob &ranked : ordered)
            placeJob(ranked, pass);
    }
    std::ranges::stable_sort(ordered, std::ranges::greater(), &RankedJob::weight);
    for (const RankedJob &ranked : ordered) {
        placeJob(ranked, Pass::Filling);
        weights_[ranked.id] = ranked.weight;
    }
    return std::move(starts_);
}

bool TaskPlacer::isStalled(const RunView &run, const StepSpec &step) const
{
    return step.filling && run.measurement == 0 && now_ > run.progressAt + StalledAfter
           && (step.checkpointing || run.percent <= MaxLostPercent);
}

std::vector<RunMove> TaskPlacer::planMoves()
{
    struct Stalled
    {
        double weight = 0;
        RunKey key;
        const MinionLife *at = nullptr;
        const RunView *view = nullptr;
    };
    std::vector<Stalled> stalled;
    for (const auto &[life, machine] : machines_.machines()) {
        const auto runs = book_.activeRuns().find(life);
        // Runs may leave an evacuated minion although no task may start there.
        if (runs == book_.activeRuns().end() || !machines_.isWorking(now_, machine)
            || machine.health.isSuspended(now_))
            continue;
        for (const RunKey &key : runs->second) {
            const auto view = machine.running.find(key);
            const auto weight = weights_.find(key.first.job);
            if (view != machine.running.end() && weight != weights_.end()
                && isStalled(view->second, book_.find(key.first.job)->steps[key.first.step]))
                stalled.push_back({weight->second, key, &life, &view->second});
        }
    }
    std::ranges::stable_sort(stalled, std::ranges::greater(), &Stalled::weight);
    std::vector<RunMove> moves;
    // The runs of a step are alike, so if one does not fit the others are skipped.
    std::set<std::pair<std::string, std::uint32_t>> full;
    for (const Stalled &run : stalled) {
        const TaskRef &ref = run.key.first;
        if (full.contains({ref.job, ref.step}))
            continue;
        const Job &job = *book_.find(ref.job);
        const StepSpec &step = job.steps[ref.step];
        const QueueSpec *queue = book_.queue(job.queue);
        if (queue == nullptr)
            continue;
        Candidate *best = chooseMinion(step, queue->service, job.tasks[ref.step][ref.index],
                                       queue->maxAttempts, FillingLimit::TaskInterference, {});
        if (best == nullptr)
            full.insert({ref.job, ref.step});
        if (best == nullptr || best->life == run.at)
            continue;
        addTask(*best, step);
        moves.push_back(
            {run.key, *run.at, *best->life, now_ - run.view->progressAt, run.view->percent});
    }
    return moves;
}

std::vector<ServingSample> TaskPlacer::servingSamples(const MinionLife &life,
                                                      const Machine &machine) const
{
    std::vector<ServingSample> serving;
    const auto runs = book_.activeRuns().find(life);
    if (runs == book_.activeRuns().end())
        return serving;
    FillingCores used;
    for (const RunKey &key : runs->second) {
        const StepSpec &step = book_.find(key.first.job)->steps[key.first.step];
        const auto view = machine.running.find(key);
        if (step.filling && view != machine.running.end())
            used[step.image] += view->second.measurement / MilliCores;
    }
    for (const RunKey &key : runs->second) {
        const StepSpec &step = book_.find(key.first.job)->steps[key.first.step];
        if (step.targetLatencyMs == 0)
            continue;
        const auto view = machine.running.find(key);
        const bool known = view != machine.running.end() && view->second.measurement > 0;
        ServingSample sample{step.image, interference_.baseLatencyRatio(step.image), {}};
        if (known) {
            sample.latencyRatio =
                static_cast<double>(view->second.measurement) / step.targetLatencyMs;
            sample.latencyRatio = interference_.latencyRatioWithoutFilling(sample, used);
        }
        serving.push_back(std::move(sample));
    }
    return serving;
}

void TaskPlacer::placeJob(const RankedJob &ranked, Pass pass)
{
    for (std::uint32_t step = 0; step < ranked.job->steps.size(); ++step) {
        const bool filling = ranked.job->steps[step].filling;
        if (filling == (pass == Pass::Filling) && !ranked.job->isStepDone(step)
            && ranked.job->isStepReady(step))
            placeStep(ranked, step, pass);
    }
}

void TaskPlacer::placeStep(const RankedJob &ranked, std::uint32_t step, Pass pass)
{
    const QueueSpec *queue = book_.queue(ranked.job->queue);
    if (queue == nullptr)
        return;
    const StepSpec &spec = ranked.job->steps[step];
    if (pass == Pass::Prioritized && !spec.longRunning)
        return;
    const bool due = nowMs_ >= ranked.job->acceptedAtMs + ReservationPlanner::ReservationDelayMs;
    const std::vector<Task> &tasks = ranked.job->tasks[step];
    std::map<MinionLife, std::uint32_t> spread = spreadOf(ranked, step);
    // On a claimed service the task would only disturb serving tasks and use capacity of jobs that
    // can still meet their objective.
    const bool starved = spec.filling && isStarved(*ranked.job, nowMs_);
    bool urgent = starved && isMostlyIdle(queue->service);
    bool full = false;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        const Task &task = tasks[index];
        const TaskRef ref{ranked.id, step, index};
        if (task.done || !task.active.empty() || started_.contains(ref) || lingering_.contains(ref)
            || task.suspectedCrashes > 0)
            continue;
        if (pass == Pass::Prioritized && !planner_.isPrioritized(ref, spec, task)
            && !(due && hasCapacityFor(PriorityCapacityTasks, spec, queue->service)))
            continue;
        const bool reserved = releaseReservation(ref, spec);
        // The tasks of a step differ only in their attempts and reservations, so if one does not
        // fit the others are skipped unless they have a reservation.
        if (full && !reserved)
            continue;
        // A task that interferes strongly everywhere would otherwise wait forever.
        FillingLimit limit = starved ? FillingLimit::Available : FillingLimit::TaskInterference;
        if (std::exchange(urgent, false))
            limit = FillingLimit::None;
        Candidate *best =
            chooseMinion(spec, queue->service, task, queue->maxAttempts, limit, spread);
        if (best == nullptr && reserved)
            applyReservation(ref, spec);
        full = full || (best == nullptr && !reserved);
        if (best == nullptr)
            continue;
        addTask(*best, spec);
        ++spread[*best->life];
        starts_.push_back({ref, task.lastRun + 1, *best->life});
        started_.insert(ref);
    }
}

std::map<MinionLife, std::uint32_t> TaskPlacer::spreadOf(const RankedJob &ranked,
                                                         std::uint32_t step) const
{
    std::map<MinionLife, std::uint32_t> spread;
    for (const Task &task : ranked.job->tasks[step]) {
        for (const ActiveRun &run : task.active)
            ++spread[run.minion];
    }
    for (const RunStart &start : starts_) {
        if (start.task.job == ranked.id && start.task.step == step)
            ++spread[start.minion];
    }
    return spread;
}

bool TaskPlacer::hasCapacityFor(std::uint64_t tasks, const StepSpec &step,
                                const std::string &service) const
{
    std::uint64_t fitting = 0;
    for (const Candidate &candidate : candidates_) {
        const MinionReport &minion = candidate.machine->minion;
        if (minion.service != service || !hasLabel(minion, step.requiredLabel)
            || !fits(candidate, step))
            continue;
        const std::uint64_t free = minion.milliCores - candidate.use.claim.milliCores;
        fitting += step.milliCores == 0 ? tasks : free / step.milliCores;
        if (fitting >= tasks)
            return true;
    }
    return false;
}

bool TaskPlacer::isMostlyIdle(const std::string &service) const
{
    std::uint64_t claimed = 0;
    std::uint64_t total = 0;
    for (const Candidate &candidate : candidates_) {
        if (candidate.machine->minion.service != service)
            continue;
        claimed += candidate.use.claim.milliCores;
        total += candidate.machine->minion.milliCores;
    }
    return claimed * Hundred < total * MostlyIdlePercent;
}

bool TaskPlacer::fits(const Candidate &candidate, const StepSpec &step) const
{
    Claim claim = candidate.use.claim;
    for (const StepSpec *reserved : candidate.reserved)
        claim.add(*reserved);
    return claim.leavesRoom(candidate.machine->minion, step);
}

bool TaskPlacer::delaysReserved(const Candidate &candidate, const StepSpec &step) const
{
    return !windows_.admits(*candidate.life, candidate.machine->minion, candidate.use.claim, step);
}

const TaskPlacer::FillingCapacity &TaskPlacer::fillingCapacity(Candidate &candidate,
                                                               const std::string &image) const
{
    const auto [known, first] = candidate.fillingCapacity.try_emplace(image);
    if (!first)
        return known->second;
    if (!candidate.serving)
        candidate.serving = servingSamples(*candidate.life, *candidate.machine);
    const MinionUse &use = candidate.use;
    const auto claimed = static_cast<std::int64_t>(use.claim.milliCores);
    const auto serving = static_cast<std::int64_t>(use.servingMilliCores);
    const std::int64_t idle = candidate.machine->minion.milliCores - claimed
                              + serving * (Hundred - ServingUsePercent) / Hundred
                              - static_cast<std::int64_t>(use.fillingMilliCores);
    const double beside = interference_.availableCores(image, *candidate.serving, use.filling);
    const double perTask = interference_.maxTaskCores(image, *candidate.serving);
    known->second.available =
        std::min(idle, static_cast<std::int64_t>(std::min(beside, MaxCores) * MilliCores));
    known->second.perTask = static_cast<std::int64_t>(std::min(perTask, MaxCores) * MilliCores);
    return known->second;
}

void TaskPlacer::addTask(Candidate &candidate, const StepSpec &step)
{
    if (step.targetLatencyMs > 0) {
        if (!candidate.serving)
            candidate.serving = servingSamples(*candidate.life, *candidate.machine);
        candidate.serving->push_back(
            {step.image, interference_.baseLatencyRatio(step.image), std::nullopt});
    }
    candidate.use.add(step);
    windows_.add(*candidate.life, step);
    candidate.fillingCapacity.clear();
    if (candidate.startsLeft)
        --*candidate.startsLeft;
    if (unobservedPairs_)
        unobservedPairs_->add(candidate.use);
}

bool TaskPlacer::suits(const Candidate &candidate, const StepSpec &step, const std::string &service,
                       const Task &task, std::uint32_t maxAttempts,
                       const std::map<MinionLife, std::uint32_t> &spread) const
{
    const MinionReport &minion = candidate.machine->minion;
    if (candidate.isIsolated || candidate.startsLeft == 0U
        || (candidate.isSuspended && !step.longRunning) || minion.service != service
        || !hasLabel(minion, step.requiredLabel) || !fits(candidate, step))
        return false;
    // Long-running tasks and tasks that have lost a run do not wait for large ones, nor does any
    // task while most of the service is idle.
    if (delaysReserved(candidate, step) && !step.longRunning && task.lastRun == 0
        && !isMostlyIdle(service))
        return false;
    if (step.maxPerMinion > 0) {
        // A task that takes the place of another one with a reservation would leave that
        // reservation unusable.
        const auto here = spread.find(*candidate.life);
        const auto reserved = std::ranges::count(candidate.reserved, &step);
        if ((here == spread.end() ? 0 : here->second) + reserved >= step.maxPerMinion)
            return false;
    }
    const bool lastAttempt = !step.longRunning && task.failures + 1 >= maxAttempts;
    return !lastAttempt || !candidate.machine->health.isDoubtful(now_);
}

TaskPlacer::Candidate *TaskPlacer::chooseMinion(const StepSpec &step, const std::string &service,
                                                const Task &task, std::uint32_t maxAttempts,
                                                FillingLimit fillingLimit,
                                                const std::map<MinionLife, std::uint32_t> &spread)
{
    if (step.filling && !unobservedPairs_) {
        unobservedPairs_.emplace(interference_);
        for (const Candidate &candidate : candidates_)
            unobservedPairs_->add(candidate.use);
    }
    Candidate *best = nullptr;
    std::int64_t bestScore = 0;
    for (Candidate &candidate : candidates_) {
        const MinionReport &minion = candidate.machine->minion;
        if (!suits(candidate, step, service, task, maxAttempts, spread))
            continue;
        const auto free = static_cast<std::int64_t>(minion.milliCores)
                          - static_cast<std::int64_t>(candidate.use.claim.milliCores);
        // Filling tasks are placed where most processor time is available. Other tasks are placed
        // where least is free, which keeps large free blocks for wide tasks.
        std::int64_t score = -free;
        if (step.filling) {
            const FillingCapacity &capacity = fillingCapacity(candidate, step.image);
            const auto milliCores = static_cast<std::int64_t>(step.milliCores);
            if (fillingLimit != FillingLimit::None && capacity.available < milliCores)
                continue;
            if (fillingLimit == FillingLimit::TaskInterference
                && (capacity.perTask < milliCores
                    || unobservedPairs_->contains(step.image, candidate.use)))
                continue;
            score = capacity.available;
        }
        if (delaysReserved(candidate, step))
            score -= ReservedPenaltyMilliCores;
        if (candidate.isSuspended)
            score -= SuspendedPenaltyMilliCores;
        if (!step.affinity.empty() && !hasLabel(minion, step.affinity))
            score -= FarPenaltyMilliCores;
        if (best == nullptr || score > bestScore) {
            best = &candidate;
            bestScore = score;
        }
    }
    return best;
}

} // namespace Oleander::Jobs
