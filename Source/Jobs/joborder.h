#pragma once

#include "Jobs/jobbook.h"
#include "Jobs/workestimates.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Oleander::Jobs {

/** How much a job can still earn; lower ones come first. */
enum class JobRank {
    /** It can still meet its objective. */
    WithinObjective,
    /** Its tasks last, and each second without them counts; for each core-second they earn less
     * than what can still be in time. */
    LongRunning,
    /** It can still end before the objective is passed three times over. */
    Late,
    /** Nobody waits for it any more; it fills gaps. */
    Overdue,
};

/** One open job in the order in which its tasks are placed. */
struct RankedJob
{
    std::string id;
    const Job *job = nullptr;
    JobRank rank = JobRank::LongRunning;
    /** Lower ones come first within the rank: thousandths of its tasks that run, for a lasting
     * job; else 1 for a job that has not begun. */
    std::int64_t precedence = 0;
    /** Calendar time in milliseconds by which the rest of the job has to start. */
    std::int64_t latestStartMs = 0;
    /** See JobWeight. */
    double weight = 0;
};

/** Ranks \a job, called \a id, of \a book at the calendar time \a nowMs. */
RankedJob rankJob(const std::string &id, const Job &job, const JobBook &book,
                  const WorkEstimates &estimates, std::int64_t nowMs);

/**
 * Orders the open jobs of \a book at the calendar time \a nowMs.
 *
 * Load it answers: at a peak more work is ready than fits. Jobs that can still be in time go before
 * those that cannot; among equals those that have begun go first, since spreading the room over all
 * makes every one of them late, and then the most urgent. Of lasting jobs, which earn by the share
 * of their tasks at work, the one that has least goes first. No job is dropped.
 */
std::vector<RankedJob> orderJobs(const JobBook &book, const WorkEstimates &estimates,
                                 std::int64_t nowMs);

/**
 * What a job of \a work core-milliseconds, ranked as \a rank, can still earn for each of the
 * \a remainingWork that are undone, where the mean job of its queue has \a meanWork.
 *
 * Load it answers: filling tasks ask for more time than the others leave, all day. Served in turn
 * or at once all of their jobs end late; by this order (Smith's rule) a job that is nearly done
 * ends first, and one that cannot be in time any more leaves its time to those that can. The worth
 * of a job grows with its work, as the platform counts it, so that large jobs are not put off for
 * ever.
 */
double jobWeight(JobRank rank, double work, double remainingWork, double meanWork);

} // namespace Oleander::Jobs
