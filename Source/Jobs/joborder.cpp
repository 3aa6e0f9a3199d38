#include "Jobs/joborder.h"

#include <algorithm>
#include <tuple>

namespace Oleander::Jobs {

namespace {

constexpr std::int64_t Thousandths = 1000;
/** A job earns less than in time until this many times its objective. */
constexpr std::int64_t LateFactor = 3;

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

RankedJob rankJob(const std::string &id, const Job &job, const QueueSpec *queue, std::int64_t nowMs)
{
    RankedJob ranked{id, &job, JobRank::Lasting, 0, job.acceptedAtMs};
    if (job.lasting() || queue == nullptr) {
        ranked.precedence = runningThousandths(job);
        return ranked;
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
    return ranked;
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

std::vector<RankedJob> orderJobs(const JobBook &book, std::int64_t nowMs)
{
    std::vector<RankedJob> ordered;
    ordered.reserve(book.openJobs().size());
    for (const std::string &id : book.openJobs()) {
        const Job *job = book.find(id);
        ordered.push_back(rankJob(id, *job, book.queue(job->queue), nowMs));
    }
    std::ranges::sort(ordered, [](const RankedJob &a, const RankedJob &b) {
        return std::tie(a.rank, a.precedence, a.latestStartMs, a.id)
               < std::tie(b.rank, b.precedence, b.latestStartMs, b.id);
    });
    return ordered;
}

} // namespace Oleander::Jobs
