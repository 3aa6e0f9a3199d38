#pragma once

#include "Jobs/jobbook.h"
#include "Jobs/machinetable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Oleander::Jobs {

/** Room of the minions of one service. */
struct ServiceCapacity
{
    /** Unclaimed processor time of the minions that take tasks, and the most on one. */
    std::uint64_t freeMilliCores = 0;
    std::uint64_t largestFreeMilliCores = 0;
    /** Minions that take no tasks at present, and those of them that failed runs or are over the
     * bounds of what serves there without filling tasks. */
    std::uint32_t minionsUnavailable = 0;
    std::uint32_t minionsSuspended = 0;
    std::uint32_t minionsDisturbed = 0;
};

/** What a lasting job has of the tasks that it asked for, by the latest reports. */
struct ServiceLevel
{
    std::string job;
    std::uint32_t tasks = 0;
    std::uint32_t atWork = 0;
    /** Started, but not at work yet. */
    std::uint32_t starting = 0;
    /** Tasks without a run. */
    std::uint32_t waiting = 0;
    /** Part of atWork whose tail latency is over its bound. */
    std::uint32_t overTarget = 0;
    /** Part of overBound on minions where filling tasks use processor time. */
    std::uint32_t overTargetWithFilling = 0;
    /** Size of a waiting task; 0 when none waits. */
    std::uint32_t waitingMilliCores = 0;
    /** Room of the service's minions. */
    ServiceCapacity capacity;

    /** True when every task is at work and under its bound. */
    bool isMet() const { return atWork == tasks && overTarget == 0; }
};

/** Returns the service level of each open lasting job of \a book. */
std::vector<ServiceLevel> serviceLevels(const JobBook &book, const MachineTable &machines,
                                        TimePoint now);

} // namespace Oleander::Jobs
