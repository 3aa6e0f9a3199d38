#pragma once

#include "Jobs/jobbook.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Oleander::Jobs {

/** Length in milliseconds of the longest chain of \a job, whose steps take \a durations; of the
 * undone part when \a remainingOnly is set. */
std::int64_t criticalPathMs(const Job &job, const std::vector<double> &durations,
                            bool remainingOnly);
/** Work of \a job in core-milliseconds; of the tasks that are not done when \a remainingOnly is
 * set. Work without an end counts for nothing. */
double jobWork(const Job &job, const std::vector<double> &durations, bool remainingOnly);

/**
 * \class WorkEstimates
 * \brief How long tasks take, from what clients declare and what was seen of tasks at work.
 *
 * Load it answers: declared lengths are off by a factor of two to five either way, while the true
 * ones of a queue differ less. An order by what is declared is close to an order by lot. What runs
 * of a step show goes first; for other steps the declared length counts as far as it told the
 * lengths of earlier steps of the queue (a linear regression of their logarithms).
 */
class WorkEstimates
{
public:
    /** Takes in that a task of step \a step of \a job, called \a id, takes \a durationMs at full
     * speed. */
    void observe(const std::string &id, const Job &job, std::uint32_t step, double durationMs);
    /** Adapts to the jobs that \a book knows by now; forgets the others. */
    void refresh(const JobBook &book);

    /** Lengths in milliseconds of a task of each step of \a job, called \a id. */
    std::vector<double> taskDurations(const std::string &id, const Job &job) const;
    /** Length in milliseconds of a task of step \a step of \a job, called \a id. */
    double taskDurationMs(const std::string &id, const Job &job, std::uint32_t step) const;
    /** Mean work of the jobs of \a queue in core-milliseconds; 0 while none is known. */
    double meanWork(const std::string &queue) const;

private:
    /** What the steps of one queue showed; logarithms of milliseconds. */
    struct QueueDurations
    {
        double seen = 0;
        double sumDeclared = 0;
        double sumDuration = 0;
        double sumDeclaredSquares = 0;
        double sumProducts = 0;
        /** Mean of what the known jobs declare. */
        double meanDeclared = 0;
        double meanWork = 0;

        double predict(double declared) const;
    };
    std::map<std::string, QueueDurations> queues_;
    /** Logarithm of the length that the runs of the steps of each job showed. */
    std::map<std::string, std::map<std::uint32_t, double>> steps_;
};

} // namespace Oleander::Jobs
