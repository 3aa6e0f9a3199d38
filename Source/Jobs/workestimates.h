#pragma once

#include "Jobs/jobbook.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Oleander::Jobs {

/** Returns the duration in milliseconds of the longest dependency chain of \a job, whose steps take
 * \a durations. */
std::int64_t criticalPathMs(const Job &job, const std::vector<double> &durations);
/** Returns the work of \a job in core-milliseconds. Long-running steps count as zero. */
double jobWork(const Job &job, const std::vector<double> &durations);

/**
 * \class WorkEstimates
 * \brief Estimates task durations from the declared estimates and the observed runs.
 *
 * Declared durations are wrong by a factor of two to five in either direction, while the true
 * durations within a queue vary less; an order by declared durations is close to a random order.
 * Observed runs of a step take precedence. For other steps, the declared duration is weighted by
 * how well it predicted earlier steps of the queue, using a linear regression of the logarithms.
 */
class WorkEstimates
{
public:
    /** Records that a task of step \a step of the job \a id took \a durationMs at full speed. */
    void observe(const std::string &id, const Job &job, std::uint32_t step, double durationMs);
    /** Updates the statistics of the queues to the jobs in \a book and drops jobs that it no longer
     * contains. */
    void refresh(const JobBook &book);

    /** Returns the durations in milliseconds of a task of each step of the job \a id. */
    std::vector<double> taskDurations(const std::string &id, const Job &job) const;
    /** Returns the duration in milliseconds of a task of step \a step of the job \a id. */
    double taskDurationMs(const std::string &id, const Job &job, std::uint32_t step) const;
    /** Returns the mean work of the jobs of \a queue in core-milliseconds; 0 if none is known. */
    double meanWork(const std::string &queue) const;

private:
    /** Regression sums over the observed steps of one queue; logarithms of milliseconds. */
    struct QueueDurations
    {
        double seen = 0;
        double sumDeclared = 0;
        double sumDuration = 0;
        double sumDeclaredSquares = 0;
        double sumProducts = 0;
        /** Mean of the declared durations of the known jobs. */
        double meanDeclared = 0;
        double meanWork = 0;

        double predict(double declared) const;
    };
    std::map<std::string, QueueDurations> queues_;
    /** Logarithm of the observed duration by job and step. */
    std::map<std::string, std::map<std::uint32_t, double>> steps_;
};

} // namespace Oleander::Jobs
