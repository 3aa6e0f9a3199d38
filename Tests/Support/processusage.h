#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>

namespace Oleander::Testing {

/** Resident memory and total processor time of a process. */
struct ProcessUsage
{
    std::uint64_t residentBytes = 0;
    double processorSeconds = 0;
};

/** Largest resident memory of the process \a id so far; 0 if there is no such process. */
std::uint64_t peakResidentBytes(pid_t id);

/** Number of open descriptors of the process \a id; 0 if there is no such process. */
std::size_t openDescriptors(pid_t id);

/** Reads the usage of process \a id from /proc; zeros if there is no such process. */
ProcessUsage usageOf(pid_t id);

} // namespace Oleander::Testing
