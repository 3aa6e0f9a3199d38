#pragma once

#include "Jobs/jobbook.h"
#include "Jobs/machinetable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Oleander::Jobs {

/** Capacity of the minions of one service. */
struct ServiceCapacity
{
    /** Unclaimed processor time of the minions that accept tasks: in total, and the most on one
     * minion. */
    std::uint64_t freeMilliCores = 0;
    std::uint64_t largestFreeMilliCores = 0;
    /** Minions that do not accept tasks at present. Of these: minions suspended after failed runs,
     * and minions whose serving tasks exceed their latency target without filling tasks. */
    std::uint32_t minionsUnavailable = 0;
    std::uint32_t minionsSuspended = 0;
    std::uint32_t minionsDisturbed = 0;
};

/** State of the requested tasks of a long-running job, by the latest reports. */
struct ServiceLevel
{
    std::string job;
    std::uint32_t tasks = 0;
    std::uint32_t atWork = 0;
    /** Tasks with a run that has not completed its startup. */
    std::uint32_t starting = 0;
    /** Tasks without a run. */
    std::uint32_t waiting = 0;
    /** Tasks at work whose tail latency exceeds the target. */
    std::uint32_t overTarget = 0;
    /** Tasks over target on minions where filling tasks use processor time. */
    std::uint32_t overTargetWithFilling = 0;
    /** Processor time requested by the largest waiting task; 0 if none waits. */
    std::uint32_t waitingMilliCores = 0;
    /** Capacity of the minions of the service. */
    ServiceCapacity capacity;

    /** True if every task is at work and within its latency target. */
    bool isMet() const { return atWork == tasks && overTarget == 0; }
};

/** Returns the service level of each open long-running job of \a book. */
std::vector<ServiceLevel> serviceLevels(const JobBook &book, const MachineTable &machines,
                                        TimePoint now);

} // namespace Oleander::Jobs
