#include "Jobs/joborder.h"

#include <algorithm>
#include <tuple>

namespace Oleander::Jobs {

namespace {

constexpr std::int64_t Thousandths = 1000;
/** A job earns less than in time until this many times its objective. */
constexpr std::int64_t LateFactor = 3;
/** Part of its worth that a job has whatever its work; the rest grows with its work. */
constexpr double FixedWorth = 0.3;
/** Worth in mean jobs up to which it grows. */
constexpr double MostWorth = 4.0;
/** Part of its worth that a late job earns. */
constexpr double LateWorth = 0.15;
/** Part of its worth for which a job is finished that nobody waits for. */
constexpr double OverdueWorth = 0.01;
/** Undone work below which jobs count alike, in core-milliseconds. */
constexpr double LeastWork = 100.0;

double worthAt(JobRank rank)
{
    switch (rank) {
    case JobRank::WithinObjective:
    case JobRank::Lasting:
        return 1.0;
    case JobRank::Late:
        return LateWorth;
    case JobRank::Overdue:
        break;
    }
    return OverdueWorth;
}

/** Tasks of \a job with a run, in thousandths of all. */
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

void rank(RankedJob &ranked, const QueueSpec *queue, std::int64_t nowMs)
{
    const Job &job = *ranked.job;
    if (job.lasting() || queue == nullptr) {
        ranked.precedence = runningThousandths(job);
        return;
    }
    ranked.precedence = job.state == JobState::Queued ? 1 : 0;
    const std::int64_t objective =
        chainMs(job, false) * queue->stretchThousandths / Thousandths + queue->targetCompletionMs;
    const std::int64_t rest = chainMs(job, true);
    const std::int64_t latest = job.acceptedAtMs + objective - rest;
    const std::int64_t latestLate = job.acceptedAtMs + LateFactor * objective - rest;
    if (nowMs <= latest)
        ranked.rank = JobRank::WithinObjective;
    else
        ranked.rank = nowMs <= latestLate ? JobRank::Late : JobRank::Overdue;
    ranked.latestStartMs = ranked.rank == JobRank::WithinObjective ? latest : latestLate;
}

} // namespace

std::int64_t chainMs(const Job &job, bool rest)
{
    std::vector<std::int64_t> ends(job.steps.size(), 0);
    std::int64_t longest = 0;
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        std::int64_t start = 0;
        for (const std::uint32_t earlier : job.steps[i].dependsOn)
            start = std::max(start, ends[earlier]);
        const bool counts = !rest || !job.stepDone(static_cast<std::uint32_t>(i));
        ends[i] = start + (counts ? job.steps[i].estimateMs : 0);
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

double jobWeight(const Job &job, JobRank rank, double meanWork)
{
    const double sized =
        meanWork > 0 ? FixedWorth + (1.0 - FixedWorth) * workOf(job, false) / meanWork : 1.0;
    return worthAt(rank) * std::min(MostWorth, sized) * meanWork
           / std::max(LeastWork, workOf(job, true));
}

RankedJob rankJob(const std::string &id, const Job &job, const JobBook &book, std::int64_t nowMs)
{
    RankedJob ranked{id, &job, JobRank::Lasting, 0, job.acceptedAtMs, 0};
    rank(ranked, book.queue(job.queue), nowMs);
    ranked.weight = jobWeight(job, ranked.rank, book.meanWork(job.queue));
    return ranked;
}

std::vector<RankedJob> orderJobs(const JobBook &book, std::int64_t nowMs)
{
    std::vector<RankedJob> ordered;
    ordered.reserve(book.openJobs().size());
    for (const std::string &id : book.openJobs())
        ordered.push_back(rankJob(id, *book.find(id), book, nowMs));
    std::ranges::sort(ordered, [](const RankedJob &a, const RankedJob &b) {
        return std::tie(a.rank, a.precedence, a.latestStartMs, a.id)
               < std::tie(b.rank, b.precedence, b.latestStartMs, b.id);
    });
    return ordered;
}

} // namespace Oleander::Jobs
