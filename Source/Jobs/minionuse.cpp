#include "Jobs/minionuse.h"

namespace Oleander::Jobs {

namespace {

constexpr double MilliCores = 1000.0;

} // namespace

void claim(MinionUse &use, const StepSpec &step)
{
    use.memoryMiB += step.memoryMiB;
    use.accelerators += step.accelerators;
    if (step.filling) {
        use.fillingMilliCores += step.milliCores;
        use.filling[step.image] += step.milliCores / MilliCores;
    } else {
        use.milliCores += step.milliCores;
    }
    if (step.targetLatencyMs > 0) {
        use.servingMilliCores += step.milliCores;
        use.serving.push_back(step.image);
    }
}

std::map<MinionLife, MinionUse> minionUse(const JobBook &book)
{
    std::map<MinionLife, MinionUse> all;
    for (const auto &[life, runs] : book.activeRuns()) {
        MinionUse &use = all[life];
        for (const RunKey &key : runs)
            claim(use, book.find(key.first.job)->steps[key.first.step]);
    }
    return all;
}

} // namespace Oleander::Jobs
