#pragma once

#include "Jobs/jobbook.h"

#include <cstdint>

namespace Oleander::Jobs {

/** Time without a running task after which a job gets a filling task placed, even if too little
 * processor time is free. */
constexpr std::int64_t StarvedAfterMs = 1'500;

/** True if no task of \a job has a run and the job has not changed recently. */
inline bool isStarved(const Job &job, std::int64_t nowMs)
{
    return !job.hasActiveRuns() && nowMs > job.changedAtMs + StarvedAfterMs;
}

} // namespace Oleander::Jobs
