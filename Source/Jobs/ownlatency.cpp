#include "Jobs/ownlatency.h"

#include <algorithm>
#include <vector>

namespace Oleander::Jobs {

namespace {

/** Number of tasks that must report; with fewer, filling tasks may disturb all of them. */
constexpr std::size_t MinTasks = 3;
/** The ratio at this fraction of the sorted tasks is used: filling tasks disturb a minority. */
constexpr std::size_t QuantileDivisor = 4;
/** Upper limit of the result. Above it, filling tasks probably disturb most of the tasks. */
constexpr double MaxOwnLatencyRatio = 0.75;

} // namespace

std::optional<double> ownLatencyRatio(const TaskRef &ref, const JobBook &book,
                                      const MachineTable &machines)
{
    const Job &job = *book.find(ref.job);
    const std::uint32_t targetMs = job.steps[ref.step].targetLatencyMs;
    const std::vector<Task> &tasks = job.tasks[ref.step];
    std::vector<double> ratios;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        for (const ActiveRun &run : tasks[index].active) {
            const RunView *view =
                machines.findRun(run.minion, {{ref.job, ref.step, index}, run.run});
            if (view != nullptr && view->isAtWork() && view->measurement > 0)
                ratios.push_back(static_cast<double>(view->measurement) / targetMs);
        }
    }
    if (targetMs == 0 || ratios.size() < MinTasks)
        return std::nullopt;
    const auto quantile =
        ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / QuantileDivisor);
    std::ranges::nth_element(ratios, quantile);
    return std::min(MaxOwnLatencyRatio, *quantile);
}

} // namespace Oleander::Jobs
