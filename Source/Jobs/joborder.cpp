#include "Jobs/joborder.h"

#include <algorithm>
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
/** Lower limit of the remaining work in core-milliseconds; jobs below it have equal weight per
 * value. */
constexpr double MinRemainingWork = 100.0;

double valueFactor(JobRank rank)
{
    switch (rank) {
    case JobRank::WithinObjective:
    case JobRank::LongRunning:
        return 1.0;
    case JobRank::Late:
        return LateValueFactor;
    case JobRank::Overdue:
        break;
    }
    return OverdueValueFactor;
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

void assignRank(RankedJob &ranked, const QueueSpec *queue, const std::vector<double> &durations,
                std::int64_t nowMs)
{
    const Job &job = *ranked.job;
    if (job.isLongRunning() || queue == nullptr) {
        ranked.precedence = runningThousandths(job);
        return;
    }
    ranked.precedence = job.state == JobState::Queued ? 1 : 0;
    const std::int64_t objective =
        criticalPathMs(job, durations, false) * queue->stretchThousandths / Thousandths
        + queue->targetCompletionMs;
    const std::int64_t remainingMs = criticalPathMs(job, durations, true);
    const std::int64_t latest = job.acceptedAtMs + objective - remainingMs;
    const std::int64_t latestLate = job.acceptedAtMs + LateFactor * objective - remainingMs;
    if (nowMs <= latest)
        ranked.rank = JobRank::WithinObjective;
    else
        ranked.rank = nowMs <= latestLate ? JobRank::Late : JobRank::Overdue;
    ranked.latestStartMs = ranked.rank == JobRank::WithinObjective ? latest : latestLate;
}

} // namespace

double jobWeight(JobRank rank, double work, double remainingWork, double meanWork)
{
    const double relativeWork = meanWork > 0 ? work / meanWork : 1.0;
    const double value = std::min(MaxValue, FixedValue + (1.0 - FixedValue) * relativeWork);
    return valueFactor(rank) * value * meanWork / std::max(MinRemainingWork, remainingWork);
}

RankedJob rankJob(const std::string &id, const Job &job, const JobBook &book,
                  const WorkEstimates &estimates, std::int64_t nowMs)
{
    RankedJob ranked{id, &job, JobRank::LongRunning, 0, job.acceptedAtMs, 0};
    const std::vector<double> durations = estimates.taskDurations(id, job);
    assignRank(ranked, book.queue(job.queue), durations, nowMs);
    ranked.weight = jobWeight(ranked.rank, jobWork(job, durations, false),
                              jobWork(job, durations, true), estimates.meanWork(job.queue));
    return ranked;
}

std::vector<RankedJob> orderJobs(const JobBook &book, const WorkEstimates &estimates,
                                 std::int64_t nowMs)
{
    std::vector<RankedJob> ordered;
    ordered.reserve(book.openJobs().size());
    for (const std::string &id : book.openJobs())
        ordered.push_back(rankJob(id, *book.find(id), book, estimates, nowMs));
    std::ranges::sort(ordered, [](const RankedJob &a, const RankedJob &b) {
        return std::tie(a.rank, a.precedence, a.latestStartMs, a.id)
               < std::tie(b.rank, b.precedence, b.latestStartMs, b.id);
    });
    return ordered;
}

} // namespace Oleander::Jobs
