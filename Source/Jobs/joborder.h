#pragma once

#include "Jobs/jobbook.h"
#include "Jobs/machinetable.h"
#include "Jobs/workestimates.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Oleander::Jobs {

/** Urgency class of a job; jobs of lower ranks are placed first. */
enum class JobRank {
    /** The job can still complete within its objective. */
    WithinObjective,
    /** Long-running job; every second without its tasks is lost. It ranks below jobs that can meet
     * their objective because it is worth less per core-second. */
    LongRunning,
    /** The job can still complete within three times its objective. */
    Late,
    /** The job can no longer complete within three times its objective and only uses capacity that
     * is left over. */
    Overdue,
};

/** One open job with its position in the placement order. */
struct RankedJob
{
    std::string id;
    const Job *job = nullptr;
    JobRank rank = JobRank::LongRunning;
    /** Order within the rank, lowest first. For a long-running job: the tasks that run, in
     * thousandths of all its tasks. Otherwise: 1 for a job that has not started, else 0. */
    std::int64_t precedence = 0;
    /** Calendar time in milliseconds by which the remaining work has to start for the job to stay
     * within its rank. */
    std::int64_t latestStartMs = 0;
    /** See JobWeight. */
    double weight = 0;
};

/** Ranks the job \a id of \a book at the calendar time \a nowMs, with the progress of its runs in
 * \a machines. */
RankedJob rankJob(const std::string &id, const Job &job, const JobBook &book,
                  const WorkEstimates &estimates, const MachineTable &machines, std::int64_t nowMs);

/**
 * Orders the open jobs of \a book for placement at the calendar time \a nowMs.
 *
 * Applies at peaks, when the ready tasks exceed the capacity. Jobs that can still meet their
 * objective precede jobs that cannot. Within a rank, jobs that have started precede those that have
 * not, because spreading the capacity over all jobs would make every one of them late; after that,
 * the latest possible start decides. Long-running jobs are valued by the share of their tasks that
 * run, so the one with the smallest share is first. No job is dropped.
 */
std::vector<RankedJob> orderJobs(const JobBook &book, const WorkEstimates &estimates,
                                 const MachineTable &machines, std::int64_t nowMs);

/**
 * Returns the fraction of its value that a job is expected to have.
 *
 * \a latenessMs is the predicted completion minus the objective \a objectiveMs. A job keeps a small
 * part of its value up to three times the objective. The prediction is uncertain, so the fraction
 * falls gradually around both limits. With steps in place of it, a job that is a moment behind
 * would be throttled shortly before it completes.
 */
double expectedValue(double latenessMs, double objectiveMs);

/**
 * Returns the value that a job can still gain per unit of remaining work.
 *
 * \a expectedValue is the fraction of its value that the job is expected to have. \a work and
 * \a remainingWork are in core-milliseconds; \a meanWork is the mean work of the jobs of its queue.
 *
 * Filling tasks request more processor time than the other tasks leave, all day long. Round-robin
 * or concurrent execution would make all of their jobs late. Ordering by value per remaining work
 * (Smith's rule) completes nearly finished jobs first, and jobs that can no longer meet their
 * objective yield to those that can. As on the platform, the value of a job grows with its work, so
 * that large jobs are not starved.
 */
double jobWeight(double expectedValue, double work, double remainingWork, double meanWork);

} // namespace Oleander::Jobs
