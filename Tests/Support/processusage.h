#pragma once

#include <sys/types.h>

#include <cstdint>

namespace Oleander::Testing {

/** What a process has used so far. */
struct ProcessUsage
{
    std::uint64_t residentBytes = 0;
    double processorSeconds = 0;
};

/** Reads what the process called \a id uses; zeros when it is gone. */
ProcessUsage usageOf(pid_t id);

} // namespace Oleander::Testing
