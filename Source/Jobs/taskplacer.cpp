#include "Jobs/taskplacer.h"

#include <algorithm>

namespace Oleander::Jobs {

namespace {

/** Weight of one serving task in the choice for a filling one, in milli-cores of free time. */
constexpr std::int64_t ServingPenaltyMilliCores = 8'000;
/** Weight of a minion that is not on the rack of the data, in milli-cores of free time. */
constexpr std::int64_t FarPenaltyMilliCores = 1'000'000;

void claim(MinionUse &use, const StepSpec &step)
{
    use.memoryMiB += step.memoryMiB;
    use.accelerators += step.accelerators;
    if (step.filling)
        use.fillingMilliCores += step.milliCores;
    else
        use.milliCores += step.milliCores;
    use.serving += step.targetLatencyMs > 0 ? 1 : 0;
}

bool hasLabel(const MinionReport &minion, const std::string &label)
{
    return label.empty() || std::ranges::find(minion.labels, label) != minion.labels.end();
}

} // namespace

std::map<MinionLife, MinionUse> minionUse(const JobBook &book)
{
    std::map<MinionLife, MinionUse> all;
    for (const auto &[life, runs] : book.activeRuns()) {
        MinionUse &use = all[life];
        for (const RunKey &key : runs)
            claim(use, book.find(key.first.job)->steps[key.first.step]);
    }
    return all;
}

std::vector<RunStart> TaskPlacer::place(TimePoint now, std::int64_t nowMs)
{
    candidates_.clear();
    const auto use = minionUse(book_);
    for (const auto &[life, machine] : machines_.machines()) {
        if (!machines_.takesTasks(now, machine))
            continue;
        const auto used = use.find(life);
        candidates_.push_back({&life, &machine, used == use.end() ? MinionUse{} : used->second});
    }
    std::vector<RunStart> starts;
    if (candidates_.empty())
        return starts;
    for (const RankedJob &ranked : orderJobs(book_, nowMs)) {
        for (std::uint32_t step = 0; step < ranked.job->steps.size(); ++step) {
            if (!ranked.job->stepDone(step) && ranked.job->stepReady(step))
                placeStep(ranked, step, starts);
        }
    }
    return starts;
}

void TaskPlacer::placeStep(const RankedJob &ranked, std::uint32_t step,
                           std::vector<RunStart> &starts)
{
    const QueueSpec *queue = book_.queue(ranked.job->queue);
    if (queue == nullptr)
        return;
    const StepSpec &spec = ranked.job->steps[step];
    const std::vector<Task> &tasks = ranked.job->tasks[step];
    std::map<MinionLife, std::uint32_t> spread;
    for (const Task &task : tasks) {
        for (const ActiveRun &run : task.active)
            ++spread[run.minion];
    }
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        const Task &task = tasks[index];
        if (task.done || !task.active.empty())
            continue;
        Candidate *best = choose(spec, queue->service, task, queue->maxAttempts, spread);
        // The tasks of a step are alike but for their attempts, so one that fits nowhere ends it.
        if (best == nullptr)
            return;
        claim(best->use, spec);
        ++spread[*best->life];
        starts.push_back({{ranked.id, step, index}, task.lastRun + 1, *best->life});
    }
}

bool TaskPlacer::fits(const Candidate &candidate, const StepSpec &step) const
{
    const MinionReport &minion = candidate.machine->minion;
    const std::uint64_t claimed = step.filling ? 0 : step.milliCores;
    return candidate.use.milliCores + claimed <= minion.milliCores
           && candidate.use.memoryMiB + step.memoryMiB <= minion.memoryMiB
           && candidate.use.accelerators + step.accelerators <= minion.accelerators;
}

TaskPlacer::Candidate *TaskPlacer::choose(const StepSpec &step, const std::string &service,
                                          const Task &task, std::uint32_t maxAttempts,
                                          const std::map<MinionLife, std::uint32_t> &spread)
{
    const bool lastAttempt = !step.lasting && task.failures + 1 >= maxAttempts;
    Candidate *best = nullptr;
    std::int64_t bestScore = 0;
    for (Candidate &candidate : candidates_) {
        const MinionReport &minion = candidate.machine->minion;
        if (minion.service != service || !hasLabel(minion, step.requiredLabel)
            || !fits(candidate, step))
            continue;
        const auto here = spread.find(*candidate.life);
        if (step.maxPerMinion > 0 && here != spread.end() && here->second >= step.maxPerMinion)
            continue;
        if (lastAttempt && candidate.machine->health.doubtful())
            continue;
        const auto free = static_cast<std::int64_t>(minion.milliCores)
                          - static_cast<std::int64_t>(candidate.use.milliCores);
        // Filling tasks go where most time is left; others go where least is, so that room for
        // wide tasks stays together.
        std::int64_t score =
            step.filling ? free - static_cast<std::int64_t>(candidate.use.fillingMilliCores)
                               - ServingPenaltyMilliCores * candidate.use.serving
                         : -free;
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
