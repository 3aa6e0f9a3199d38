#pragma once

#include "Jobs/interferencetable.h"
#include "Jobs/jobbook.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Oleander::Jobs {

/** What the active runs on one life of a minion have claimed of it. */
struct MinionUse
{
    std::uint64_t milliCores = 0;
    /** Part of milliCores that serving tasks claim. */
    std::uint64_t servingMilliCores = 0;
    std::uint64_t memoryMiB = 0;
    std::uint64_t accelerators = 0;
    /** Processor time that filling tasks ask for, which is not claimed. */
    std::uint64_t fillingMilliCores = 0;
    /** The same by image, in cores. */
    FillingCores filling;
    /** Images of the tasks with a bound of their tail latency. */
    std::vector<std::string> serving;
};

/** Adds the claim of one task of \a step. */
void claim(MinionUse &use, const StepSpec &step);

/** Sums what the active runs of \a book claim of each life of a minion. */
std::map<MinionLife, MinionUse> minionUse(const JobBook &book);

} // namespace Oleander::Jobs
