#include "Jobs/minionuse.h"

#include <algorithm>

namespace Oleander::Jobs {

namespace {

constexpr double MilliCores = 1000.0;

std::uint64_t claimedMilliCores(const StepSpec &step)
{
    return step.filling ? 0 : step.milliCores;
}

} // namespace

void Claim::add(const StepSpec &step)
{
    milliCores += claimedMilliCores(step);
    memoryMiB += step.memoryMiB;
    accelerators += step.accelerators;
}

void Claim::remove(const StepSpec &step)
{
    milliCores -= claimedMilliCores(step);
    memoryMiB -= step.memoryMiB;
    accelerators -= step.accelerators;
}

bool Claim::isWithin(const MinionReport &minion) const
{
    return milliCores <= minion.milliCores && memoryMiB <= minion.memoryMiB
           && accelerators <= minion.accelerators;
}

bool Claim::leavesRoom(const MinionReport &minion, const StepSpec &step) const
{
    Claim claim = *this;
    claim.add(step);
    return claim.isWithin(minion);
}

void MinionUse::add(const StepSpec &step)
{
    claim.add(step);
    if (step.filling) {
        fillingMilliCores += step.milliCores;
        filling[step.image] += step.milliCores / MilliCores;
    }
    if (step.targetLatencyMs > 0) {
        servingMilliCores += step.milliCores;
        serving.push_back(step.image);
    }
}

std::map<MinionLife, MinionUse> computeMinionUse(const JobBook &book)
{
    std::map<MinionLife, MinionUse> all;
    for (const auto &[life, runs] : book.activeRuns()) {
        MinionUse &use = all[life];
        for (const RunKey &key : runs)
            use.add(book.find(key.first.job)->steps[key.first.step]);
    }
    return all;
}

bool hasLabel(const MinionReport &minion, const std::string &label)
{
    return label.empty() || std::ranges::find(minion.labels, label) != minion.labels.end();
}

} // namespace Oleander::Jobs
