#pragma once

#include "Jobs/interferencetable.h"
#include "Jobs/jobbook.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Oleander::Jobs {

/** Room of a minion that tasks have claimed. Filling tasks claim no processor time. */
struct Claim
{
    std::uint64_t milliCores = 0;
    std::uint64_t memoryMiB = 0;
    std::uint64_t accelerators = 0;

    void add(const StepSpec &step);
    void remove(const StepSpec &step);
    /** True when \a minion has room for a task of \a step beside what is claimed. */
    bool leavesRoom(const MinionReport &minion, const StepSpec &step) const;
};

/** What the active runs on one life of a minion have claimed of it. */
struct MinionUse
{
    Claim claim;
    /** Part of the claimed processor time that serving tasks claim. */
    std::uint64_t servingMilliCores = 0;
    /** Processor time that filling tasks ask for, which is not claimed. */
    std::uint64_t fillingMilliCores = 0;
    /** The same by image, in cores. */
    FillingCores filling;
    /** Images of the tasks with a bound of their tail latency. */
    std::vector<std::string> serving;

    /** Adds one task of \a step. */
    void add(const StepSpec &step);
};

/** Sums what the active runs of \a book claim of each life of a minion. */
std::map<MinionLife, MinionUse> computeMinionUse(const JobBook &book);

/** True when \a label is empty or one of \a minion. */
bool hasLabel(const MinionReport &minion, const std::string &label);

} // namespace Oleander::Jobs
