#include "Jobs/remainingwork.h"

#include <algorithm>

namespace Oleander::Jobs {

namespace {

constexpr double MilliCores = 1000.0;
constexpr double WholePercent = 100.0;
/** Returns the fraction of the task \a ref that its runs have not executed. */
double remainingFraction(const TaskRef &ref, const Task &task, const MachineTable &machines)
{
    double remaining = 1.0;
    for (const ActiveRun &run : task.active) {
        if (const RunView *view = machines.findRun(run.minion, {ref, run.run}))
            remaining = std::min(remaining, 1.0 - view->percent / WholePercent);
    }
    return remaining;
}

} // namespace

RemainingWork remainingWork(const std::string &id, const Job &job,
                            const std::vector<double> &durations, const MachineTable &machines)
{
    RemainingWork remaining;
    std::vector<double> ends(job.steps.size(), 0);
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
        const StepSpec &spec = job.steps[step];
        double start = 0;
        for (const std::uint32_t earlier : spec.dependsOn)
            start = std::max(start, ends[earlier]);
        double slowest = 0;
        for (std::uint32_t index = 0; index < job.tasks[step].size(); ++index) {
            const Task &task = job.tasks[step][index];
            if (task.done)
                continue;
            const double left =
                durations[step] * remainingFraction({id, step, index}, task, machines);
            slowest = std::max(slowest, left);
            if (!spec.longRunning)
                remaining.work += spec.milliCores / MilliCores * left;
        }
        ends[step] = start + slowest;
        remaining.criticalPathMs = std::max(remaining.criticalPathMs, ends[step]);
    }
    return remaining;
}

} // namespace Oleander::Jobs
