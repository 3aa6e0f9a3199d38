#include "Jobs/taskplacer.h"
#include "Jobs/taskplacerprivate.h"

#include <algorithm>

namespace Oleander::Jobs {

namespace {

/** Time between the start of a crash suspect and any other start on its minion; twice the time
 * within which agents attribute a crash to a start, since orders take some time. */
constexpr std::int64_t IsolationMs = 200;
/** Time after the isolation of a suspect in which other tasks may start on the only minion of a
 * service; as long as the isolation, so that neither waits longer than the other. */
constexpr std::int64_t OthersTurnMs = IsolationMs;
/** Share of the minions of a service that crash suspects may keep from other tasks. */
constexpr std::size_t IsolatedMinionsDivisor = 3;

} // namespace

void TaskPlacer::placeCrashSuspects(const std::vector<RankedJob> &ordered)
{
    const std::set<TaskRef> &suspects = book_.crashSuspects();
    for (Candidate &candidate : candidates_) {
        const auto runs = book_.activeRuns().find(*candidate.life);
        if (runs == book_.activeRuns().end())
            continue;
        for (const RunKey &key : runs->second) {
            const std::int64_t startedAtMs = book_.activeRun(key)->startedAtMs;
            const bool isSuspect = suspects.contains(key.first);
            if (startedAtMs >= candidate.lastStartAtMs)
                candidate.isLastStartSuspect = isSuspect;
            candidate.lastStartAtMs = std::max(candidate.lastStartAtMs, startedAtMs);
            if (isSuspect && nowMs_ < startedAtMs + IsolationMs)
                candidate.isIsolated = true;
        }
    }
    for (const RankedJob &ranked : ordered) {
        for (auto ref = suspects.lower_bound({ranked.id, 0, 0});
             ref != suspects.end() && ref->job == ranked.id; ++ref)
            placeCrashSuspect(ranked, *ref);
    }
}

bool TaskPlacer::mayIsolateAnother(const std::string &service) const
{
    std::size_t minions = 0;
    std::size_t isolated = 0;
    bool isOthersTurn = false;
    for (const Candidate &candidate : candidates_) {
        if (candidate.machine->minion.service != service || candidate.isSuspended)
            continue;
        ++minions;
        isolated += candidate.isIsolated ? 1 : 0;
        isOthersTurn = isOthersTurn
                       || (candidate.isLastStartSuspect
                           && nowMs_ < candidate.lastStartAtMs + IsolationMs + OthersTurnMs);
    }
    // On the only minion of a service other tasks would wait for all suspects.
    if (minions == 1 && isOthersTurn)
        return false;
    return isolated < std::max<std::size_t>(1, minions / IsolatedMinionsDivisor);
}

void TaskPlacer::placeCrashSuspect(const RankedJob &ranked, const TaskRef &ref)
{
    const QueueSpec *queue = book_.queue(ranked.job->queue);
    const Task &task = ranked.job->tasks[ref.step][ref.index];
    const StepSpec &step = ranked.job->steps[ref.step];
    if (queue == nullptr || task.done || !task.active.empty() || lingering_.contains(ref)
        || !ranked.job->isStepReady(ref.step) || !mayIsolateAnother(queue->service))
        return;
    const auto spread = spreadOf(ranked, ref.step);
    const bool reserved = releaseReservation(ref, step);
    // As for other filling tasks, for one task of a job at a time.
    const bool isJobStarting = std::ranges::any_of(
        starts_, [&](const RunStart &start) { return start.task.job == ranked.id; });
    const bool urgent =
        !isJobStarting && isStarved(*ranked.job, nowMs_) && isMostlyIdle(queue->service);
    Candidate *best = nullptr;
    for (Candidate &candidate : candidates_) {
        if (!suits(candidate, step, queue->service, task, queue->maxAttempts, spread)
            || (step.filling && !urgent
                && fillingCapacity(candidate, step.image).available
                       < static_cast<std::int64_t>(step.milliCores)))
            continue;
        // The minion with the oldest start stays the same until the suspect starts there.
        if (best == nullptr || candidate.lastStartAtMs < best->lastStartAtMs)
            best = &candidate;
    }
    if (reserved)
        applyReservation(ref, step);
    if (best == nullptr)
        return;
    best->isIsolated = true;
    if (nowMs_ < best->lastStartAtMs + IsolationMs)
        return;
    addTask(*best, step);
    starts_.push_back({ref, task.lastRun + 1, *best->life});
    started_.insert(ref);
}

} // namespace Oleander::Jobs
