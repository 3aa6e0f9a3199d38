#pragma once

#include "Base/clock.h"
#include "Protocol/jobspec.h"

#include <map>
#include <set>

namespace Oleander::Jobs {

/**
 * \class EvictionRounds
 * \brief Separates the evictions on a full service into rounds while a long-running task waits.
 *
 * Between the end of an evicted run and the start of its successor, the capacity of the run is free
 * on its minion, but not for other tasks. If evictions followed each other without a pause, other
 * tasks would wait beside such capacity all the time. The next round therefore starts only when the
 * capacity freed by the previous one has been in use for a while.
 */
class EvictionRounds
{
public:
    void clear();
    /** Updates the state; \a waiting are the long-running tasks without a run, and \a isSettled is
     * true if no eviction is in progress and every successor has started. */
    void update(TimePoint now, const std::set<TaskRef> &waiting, bool isSettled);
    /** True if runs may be evicted now. */
    bool mayEvict(TimePoint now) const;
    /** Records that runs were evicted; this starts a round if none is open. */
    void recordEviction(TimePoint now);

private:
    /** Time at which each waiting task was first seen without a run. */
    std::map<TaskRef, TimePoint> waitingSince_;
    /** True if a task has waited for so long that evictions are limited to rounds. */
    bool isLimited_ = false;
    TimePoint roundEnd_{};
    /** Time from which the next round may start. */
    TimePoint nextRound_{};
};

} // namespace Oleander::Jobs
