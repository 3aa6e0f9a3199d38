#include "Jobs/taskplacer.h"

#include <algorithm>
#include <utility>

namespace Oleander::Jobs {

namespace {

/** Part of its claim that a serving task uses on average, in hundredths. */
constexpr std::int64_t ServingUseHundredths = 50;
constexpr double MilliCores = 1000.0;
/** Bound of a room in cores that nothing limits. */
constexpr double MostCores = 100'000.0;
/** A job that has nothing at work gets a filling task placed this long after its turn has come,
 * however little time is left for it. */
constexpr std::int64_t StarvedMs = 1'500;
/** Claimed share of a service up to which a job may not wait with nothing at work, in hundredths;
 * the platform minds it up to one half. */
constexpr std::uint64_t IdleHundredths = 60;
constexpr std::int64_t Hundred = 100;
/** Weight of a minion that is not on the rack of the data, in milli-cores of free time. */
constexpr std::int64_t FarPenaltyMilliCores = 1'000'000;

/** True when nothing of \a job is at work and nothing of it was decided lately. */
bool isStarved(const Job &job, std::int64_t nowMs)
{
    for (const auto &step : job.tasks) {
        for (const Task &task : step) {
            if (!task.active.empty())
                return false;
        }
    }
    return nowMs > job.changedAtMs + StarvedMs;
}

bool hasLabel(const MinionReport &minion, const std::string &label)
{
    return label.empty() || std::ranges::find(minion.labels, label) != minion.labels.end();
}

} // namespace

TaskPlacer::Turn TaskPlacer::turnOf(const StepSpec &step, const Task &task)
{
    return step.lasting && task.lastRun > 0 ? Turn::Restart : Turn::Start;
}

std::vector<RunStart> TaskPlacer::place(TimePoint now, std::int64_t nowMs)
{
    candidates_.clear();
    nowMs_ = nowMs;
    now_ = now;
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
    const std::vector<RankedJob> ordered = orderJobs(book_, nowMs);
    for (const Turn turn : {Turn::Restart, Turn::Start}) {
        for (const RankedJob &ranked : ordered) {
            for (std::uint32_t step = 0; step < ranked.job->steps.size(); ++step) {
                if (!ranked.job->stepDone(step) && ranked.job->stepReady(step))
                    placeStep(ranked, step, turn, starts);
            }
        }
    }
    return starts;
}

void TaskPlacer::placeStep(const RankedJob &ranked, std::uint32_t step, Turn turn,
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
    for (const RunStart &start : starts) {
        if (start.task.job == ranked.id && start.task.step == step)
            ++spread[start.minion];
    }
    // On a claimed service it would only disturb what serves, and take its place from jobs that can
    // still be in time.
    bool urgent = turn == Turn::Start && isStarved(*ranked.job, nowMs_) && idle(queue->service);
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        const Task &task = tasks[index];
        if (task.done || !task.active.empty() || turnOf(spec, task) != turn)
            continue;
        Candidate *best = choose(spec, queue->service, task, queue->maxAttempts,
                                 std::exchange(urgent, false), spread);
        // The tasks of a step are alike but for their attempts, so one that fits nowhere ends it.
        if (best == nullptr)
            return;
        claim(best->use, spec);
        ++spread[*best->life];
        starts.push_back({{ranked.id, step, index}, task.lastRun + 1, *best->life});
    }
}

bool TaskPlacer::idle(const std::string &service) const
{
    std::uint64_t claimed = 0;
    std::uint64_t whole = 0;
    for (const Candidate &candidate : candidates_) {
        if (candidate.machine->minion.service != service)
            continue;
        claimed += candidate.use.milliCores;
        whole += candidate.machine->minion.milliCores;
    }
    return claimed * Hundred < whole * IdleHundredths;
}

bool TaskPlacer::fits(const Candidate &candidate, const StepSpec &step) const
{
    const MinionReport &minion = candidate.machine->minion;
    const std::uint64_t claimed = step.filling ? 0 : step.milliCores;
    return candidate.use.milliCores + claimed <= minion.milliCores
           && candidate.use.memoryMiB + step.memoryMiB <= minion.memoryMiB
           && candidate.use.accelerators + step.accelerators <= minion.accelerators;
}

std::int64_t TaskPlacer::fillingRoom(const Candidate &candidate, const std::string &image) const
{
    const MinionUse &use = candidate.use;
    const auto claimed = static_cast<std::int64_t>(use.milliCores);
    const auto serving = static_cast<std::int64_t>(use.servingMilliCores);
    const std::int64_t idle = candidate.machine->minion.milliCores - claimed
                              + serving * (Hundred - ServingUseHundredths) / Hundred
                              - static_cast<std::int64_t>(use.fillingMilliCores);
    const double beside = interference_.room(image, use.serving, use.filling);
    return std::min(idle, static_cast<std::int64_t>(std::min(beside, MostCores) * MilliCores));
}

TaskPlacer::Candidate *TaskPlacer::choose(const StepSpec &step, const std::string &service,
                                          const Task &task, std::uint32_t maxAttempts, bool urgent,
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
        if (lastAttempt && candidate.machine->health.doubtful(now_))
            continue;
        const auto free = static_cast<std::int64_t>(minion.milliCores)
                          - static_cast<std::int64_t>(candidate.use.milliCores);
        // Filling tasks go where most time is left; others go where least is, so that room for
        // wide tasks stays together.
        const std::int64_t room = step.filling ? fillingRoom(candidate, step.image) : 0;
        if (step.filling && !urgent && room < static_cast<std::int64_t>(step.milliCores))
            continue;
        std::int64_t score = step.filling ? room : -free;
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
