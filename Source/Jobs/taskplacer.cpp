#include "Jobs/taskplacer.h"

#include <algorithm>
#include <functional>
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
/** A lasting task goes first while there is room for this many of it; the platform minds one that
 * waits for 3 s beside room for two. */
constexpr std::uint64_t RoomForTasks = 2;
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

} // namespace

void TaskPlacer::keepRoom()
{
    for (const auto &[ref, reservation] : rooms_.reservations()) {
        if (const Job *job = book_.find(ref.job))
            keepRoomFor(ref, job->steps[ref.step]);
    }
}

void TaskPlacer::keepRoomFor(const TaskRef &ref, const StepSpec &step)
{
    const MinionLife &life = rooms_.reservations().at(ref).minion;
    for (Candidate &candidate : candidates_) {
        if (*candidate.life == life)
            candidate.kept.push_back(&step);
    }
}

bool TaskPlacer::releaseRoom(const TaskRef &ref, const StepSpec &step)
{
    const auto reservation = rooms_.reservations().find(ref);
    if (reservation == rooms_.reservations().end())
        return false;
    for (Candidate &candidate : candidates_) {
        const auto kept = std::ranges::find(candidate.kept, &step);
        if (*candidate.life == reservation->second.minion && kept != candidate.kept.end())
            candidate.kept.erase(kept);
    }
    return true;
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
    starts_.clear();
    started_.clear();
    if (candidates_.empty())
        return {};
    keepRoom();
    std::vector<RankedJob> ordered = orderJobs(book_, estimates_, nowMs);
    for (const Pass pass : {Pass::Entitled, Pass::Other}) {
        for (const RankedJob &ranked : ordered)
            placeJob(ranked, pass);
    }
    std::ranges::stable_sort(ordered, std::ranges::greater(), &RankedJob::weight);
    for (const RankedJob &ranked : ordered)
        placeJob(ranked, Pass::Filling);
    return std::move(starts_);
}

void TaskPlacer::placeJob(const RankedJob &ranked, Pass pass)
{
    for (std::uint32_t step = 0; step < ranked.job->steps.size(); ++step) {
        const bool filling = ranked.job->steps[step].filling;
        if (filling == (pass == Pass::Filling) && !ranked.job->stepDone(step)
            && ranked.job->stepReady(step))
            placeStep(ranked, step, pass);
    }
}

void TaskPlacer::placeStep(const RankedJob &ranked, std::uint32_t step, Pass pass)
{
    const QueueSpec *queue = book_.queue(ranked.job->queue);
    if (queue == nullptr)
        return;
    const StepSpec &spec = ranked.job->steps[step];
    if (pass == Pass::Entitled && !spec.lasting)
        return;
    const bool due = nowMs_ >= ranked.job->acceptedAtMs + RoomPlanner::PatienceMs;
    const std::vector<Task> &tasks = ranked.job->tasks[step];
    std::map<MinionLife, std::uint32_t> spread;
    for (const Task &task : tasks) {
        for (const ActiveRun &run : task.active)
            ++spread[run.minion];
    }
    for (const RunStart &start : starts_) {
        if (start.task.job == ranked.id && start.task.step == step)
            ++spread[start.minion];
    }
    // On a claimed service it would only disturb what serves, and take its place from jobs that can
    // still be in time.
    bool urgent = spec.filling && isStarved(*ranked.job, nowMs_) && idle(queue->service);
    bool full = false;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        const Task &task = tasks[index];
        const TaskRef ref{ranked.id, step, index};
        if (task.done || !task.active.empty() || started_.contains(ref))
            continue;
        if (pass == Pass::Entitled && !rooms_.entitled(ref, spec, task)
            && !(due && hasRoomFor(RoomForTasks, spec, queue->service)))
            continue;
        const bool reserved = releaseRoom(ref, spec);
        // The tasks of a step are alike but for their attempts and reservations, so where one finds
        // no room the others need not be tried.
        if (full && !reserved)
            continue;
        Candidate *best = choose(spec, queue->service, task, queue->maxAttempts,
                                 std::exchange(urgent, false), spread);
        if (best == nullptr && reserved)
            keepRoomFor(ref, spec);
        full = full || (best == nullptr && !reserved);
        if (best == nullptr)
            continue;
        best->use.add(spec);
        ++spread[*best->life];
        starts_.push_back({ref, task.lastRun + 1, *best->life});
        started_.insert(ref);
    }
}

bool TaskPlacer::hasRoomFor(std::uint64_t tasks, const StepSpec &step,
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

bool TaskPlacer::idle(const std::string &service) const
{
    std::uint64_t claimed = 0;
    std::uint64_t whole = 0;
    for (const Candidate &candidate : candidates_) {
        if (candidate.machine->minion.service != service)
            continue;
        claimed += candidate.use.claim.milliCores;
        whole += candidate.machine->minion.milliCores;
    }
    return claimed * Hundred < whole * IdleHundredths;
}

bool TaskPlacer::fits(const Candidate &candidate, const StepSpec &step) const
{
    Claim claim = candidate.use.claim;
    for (const StepSpec *kept : candidate.kept)
        claim.add(*kept);
    return claim.leavesRoom(candidate.machine->minion, step);
}

std::int64_t TaskPlacer::fillingRoom(const Candidate &candidate, const std::string &image) const
{
    const MinionUse &use = candidate.use;
    const auto claimed = static_cast<std::int64_t>(use.claim.milliCores);
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
                          - static_cast<std::int64_t>(candidate.use.claim.milliCores);
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
