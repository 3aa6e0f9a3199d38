#include "Jobs/joborder.h"

#include "Jobs/remainingwork.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Oleander::Jobs {

namespace {

constexpr std::int64_t Thousandths = 1000;
/** Multiple of the objective up to which a late job still has a reduced value. */
constexpr std::int64_t LateFactor = 3;
/** Part of the value of a job that does not depend on its work; the rest is proportional to it. */
constexpr double FixedValue = 0.3;
/** Upper limit of the value, in multiples of the value of a mean job. */
constexpr double MaxValue = 4.0;
/** Fraction of its value that a late job has. */
constexpr double LateValueFactor = 0.15;
/** Fraction of its value that an overdue job has; above zero, so that it is completed eventually.
 */
constexpr double OverdueValueFactor = 0.01;
/** Standard error of a predicted completion, as a fraction of the objective. */
constexpr double PredictionSpread = 0.3;
/** Lower limit of the objective for the spread, so that a job without an estimate has one. */
constexpr double MinObjectiveMs = 1.0;
/** Lower limit of the remaining work in core-milliseconds; jobs below it have equal weight per
 * value. */
constexpr double MinRemainingWork = 100.0;

/** Returns the probability that a job predicted to miss a limit by \a latenessMs meets it, as a
 * logistic function with the scale \a spreadMs. */
double onTimeProbability(double latenessMs, double spreadMs)
{
    return 1.0 / (1.0 + std::exp(latenessMs / spreadMs));
}

/** Returns the tasks of \a job that have a run, in thousandths of all tasks. */
std::int64_t runningThousandths(const Job &job)
{
    std::int64_t tasks = 0;
    std::int64_t running = 0;
    for (const auto &step : job.tasks) {
        tasks += std::ssize(step);
        running +=
            std::ranges::count_if(step, [](const Task &task) { return !task.active.empty(); });
    }
    return tasks == 0 ? Thousandths : running * Thousandths / tasks;
}

} // namespace

double expectedValue(double latenessMs, double objectiveMs)
{
    const double spreadMs = PredictionSpread * std::max(MinObjectiveMs, objectiveMs);
    const double onTime = onTimeProbability(latenessMs, spreadMs);
    const double late = onTimeProbability(latenessMs - (LateFactor - 1) * objectiveMs, spreadMs);
    return OverdueValueFactor + (LateValueFactor - OverdueValueFactor) * late
           + (1.0 - LateValueFactor) * onTime;
}

double jobWeight(double expectedValue, double work, double remainingWork, double meanWork)
{
    const double relativeWork = meanWork > 0 ? work / meanWork : 1.0;
    const double value = std::min(MaxValue, FixedValue + (1.0 - FixedValue) * relativeWork);
    return expectedValue * value * meanWork / std::max(MinRemainingWork, remainingWork);
}

RankedJob rankJob(const std::string &id, const Job &job, const JobBook &book,
                  const WorkEstimates &estimates, const MachineTable &machines, std::int64_t nowMs)
{
    RankedJob ranked{id, &job, JobRank::LongRunning, 0, job.acceptedAtMs, 0};
    const QueueSpec *queue = book.queue(job.queue);
    if (job.isLongRunning() || queue == nullptr) {
        ranked.precedence = runningThousandths(job);
        return ranked;
    }
    ranked.precedence = job.state == JobState::Queued ? 1 : 0;
    const std::vector<double> durations = estimates.taskDurations(id, job);
    const RemainingWork remaining = remainingWork(id, job, durations, machines);
    const std::int64_t objective =
        criticalPathMs(job, durations) * queue->stretchThousandths / Thousandths
        + queue->targetCompletionMs;
    const std::int64_t latest =
        job.acceptedAtMs + objective - std::llround(remaining.criticalPathMs);
    const std::int64_t latestLate = latest + (LateFactor - 1) * objective;
    if (nowMs <= latest)
        ranked.rank = JobRank::WithinObjective;
    else
        ranked.rank = nowMs <= latestLate ? JobRank::Late : JobRank::Overdue;
    ranked.latestStartMs = ranked.rank == JobRank::WithinObjective ? latest : latestLate;
    const double value =
        expectedValue(static_cast<double>(nowMs - latest), static_cast<double>(objective));
    ranked.weight =
        jobWeight(value, jobWork(job, durations), remaining.work, estimates.meanWork(job.queue));
    return ranked;
}

std::vector<RankedJob> orderJobs(const JobBook &book, const WorkEstimates &estimates,
                                 const MachineTable &machines, std::int64_t nowMs)
{
    std::vector<RankedJob> ordered;
    ordered.reserve(book.openJobs().size());
    for (const std::string &id : book.openJobs())
        ordered.push_back(rankJob(id, *book.find(id), book, estimates, machines, nowMs));
    std::ranges::sort(ordered, [](const RankedJob &a, const RankedJob &b) {
        return std::tie(a.rank, a.precedence, a.latestStartMs, a.id)
               < std::tie(b.rank, b.precedence, b.latestStartMs, b.id);
    });
    return ordered;
}

} // namespace Oleander::Jobs
