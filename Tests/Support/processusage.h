#pragma once

#include <sys/types.h>

#include <cstdint>

namespace Oleander::Testing {

/** Resident memory and total processor time of a process. */
struct ProcessUsage
{
    std::uint64_t residentBytes = 0;
    double processorSeconds = 0;
};

/** Reads the usage of process \a id from /proc; zeros if there is no such process. */
ProcessUsage usageOf(pid_t id);

} // namespace Oleander::Testing
