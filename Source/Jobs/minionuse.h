#pragma once

#include "Jobs/interferencetable.h"
#include "Jobs/jobbook.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Oleander::Jobs {

/** Resources of a minion that tasks have claimed. Filling tasks claim memory and accelerators but
 * no processor time. */
struct Claim
{
    std::uint64_t milliCores = 0;
    std::uint64_t memoryMiB = 0;
    std::uint64_t accelerators = 0;

    void add(const StepSpec &step);
    void remove(const StepSpec &step);
    /** True if \a minion has the claimed resources. */
    bool isWithin(const MinionReport &minion) const;
    /** True if a task of \a step fits on \a minion in addition to the claimed resources. */
    bool leavesRoom(const MinionReport &minion, const StepSpec &step) const;
};

/** Resources that the active runs on one life of a minion claim or request. */
struct MinionUse
{
    Claim claim;
    /** Processor time claimed by serving tasks; included in the claim. */
    std::uint64_t servingMilliCores = 0;
    /** Processor time that filling tasks request; not included in the claim. */
    std::uint64_t fillingMilliCores = 0;
    /** Processor time that filling tasks request, in cores by image. */
    FillingCores filling;
    /** Images of the tasks that have a latency target. */
    std::vector<std::string> serving;

    /** Adds one task of \a step. */
    void add(const StepSpec &step);
};

/** Sums the resources of the active runs of \a book for each minion life. */
std::map<MinionLife, MinionUse> computeMinionUse(const JobBook &book);

/** True if \a label is empty or \a minion has it. */
bool hasLabel(const MinionReport &minion, const std::string &label);

} // namespace Oleander::Jobs
