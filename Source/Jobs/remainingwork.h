#pragma once

#include "Jobs/jobbook.h"
#include "Jobs/machinetable.h"

#include <string>
#include <vector>

namespace Oleander::Jobs {

/** The part of a job that has not been executed, by the progress that the minions listed last. */
struct RemainingWork
{
    /** Duration of the longest dependency chain in milliseconds. */
    double criticalPathMs = 0;
    /** Work in core-milliseconds; long-running steps count as zero. */
    double work = 0;
};

/** Returns the remaining work of the job \a id, whose tasks take \a durations, in milliseconds by
 * step. */
RemainingWork remainingWork(const std::string &id, const Job &job,
                            const std::vector<double> &durations, const MachineTable &machines);

} // namespace Oleander::Jobs
