#include "Jobs/backfillwindows.h"

namespace Oleander::Jobs {

BackfillWindows::BackfillWindows(const JobBook &book, const BackfillPlanner &planner, TimePoint now)
    : now_(now)
{
    for (const auto &[task, reservation] : planner.reservations()) {
        const StepSpec *step = book.findStep(task);
        if (step != nullptr)
            windows_[reservation.minion] = {task, step, reservation.expectedAt,
                                            reservation.remaining};
    }
    if (windows_.empty())
        return;
    for (const std::string &id : book.openJobs()) {
        const Job &job = *book.find(id);
        const auto durations = planner.forecast().taskDurations(id, job);
        for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
            if (durations[step])
                durations_[&job.steps[step]] = *durations[step];
        }
    }
}

const BackfillWindows::Window *BackfillWindows::find(const MinionLife &life) const
{
    const auto found = windows_.find(life);
    if (found == windows_.end() || released_.contains(found->second.task))
        return nullptr;
    return &found->second;
}

bool BackfillWindows::endsBefore(const Window &window, const StepSpec &step) const
{
    const auto duration = durations_.find(&step);
    return duration != durations_.end() && now_ + duration->second <= window.expectedAt;
}

bool BackfillWindows::admits(const MinionLife &life, const MinionReport &report, const Claim &claim,
                             const StepSpec &step) const
{
    const Window *window = find(life);
    if (window == nullptr)
        return true;
    const bool fitsNow = claim.leavesRoom(report, *window->step);
    if (!fitsNow && endsBefore(*window, step))
        return true;
    Claim beside = fitsNow ? claim : window->remaining;
    beside.add(*window->step);
    return beside.leavesRoom(report, step);
}

void BackfillWindows::add(const MinionLife &life, const StepSpec &step)
{
    const auto window = windows_.find(life);
    if (window != windows_.end() && !endsBefore(window->second, step))
        window->second.remaining.add(step);
}

bool BackfillWindows::release(const TaskRef &task)
{
    for (const auto &[life, window] : windows_) {
        if (window.task == task) {
            released_.insert(task);
            return true;
        }
    }
    return false;
}

void BackfillWindows::restore(const TaskRef &task)
{
    released_.erase(task);
}

} // namespace Oleander::Jobs
