#pragma once

#include "Jobs/backfillplanner.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace Oleander::Jobs {

/**
 * \class BackfillWindows
 * \brief Decides in one placement pass which tasks may start on minions that are reserved for large
 * tasks.
 */
class BackfillWindows
{
public:
    /** Opens the windows of \a planner at the time \a now. */
    BackfillWindows(const JobBook &book, const BackfillPlanner &planner, TimePoint now);

    /** True if a task of \a step can start on the minion \a life without delaying the task that has
     * the reservation there. \a claim is the use of the minion \a report. */
    bool admits(const MinionLife &life, const MinionReport &report, const Claim &claim,
                const StepSpec &step) const;
    /** Records that a task of \a step starts on \a life. */
    void add(const MinionLife &life, const StepSpec &step);
    /** Ignores the reservation of \a task until restore(); returns false if there is none. */
    bool release(const TaskRef &task);
    void restore(const TaskRef &task);

private:
    struct Window
    {
        TaskRef task;
        /** Step of the task. */
        const StepSpec *step = nullptr;
        TimePoint expectedAt{};
        /** Resources that are expected to be claimed still at expectedAt. */
        Claim remaining;
    };

    /** Returns the window on \a life unless it is released, or null. */
    const Window *find(const MinionLife &life) const;
    /** True if a task of \a step that starts now is expected to end before \a window. */
    bool endsBefore(const Window &window, const StepSpec &step) const;

    TimePoint now_;
    std::map<MinionLife, Window> windows_;
    /** Expected durations of the tasks of each step; absent without an estimate. */
    std::map<const StepSpec *, Duration> durations_;
    std::set<TaskRef> released_;
};

} // namespace Oleander::Jobs
