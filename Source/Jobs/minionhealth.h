#pragma once

#include "Base/clock.h"
#include "Protocol/jobmessages.h"

#include <string>

namespace Oleander::Jobs {

/**
 * \class MinionHealth
 * \brief Suspends a minion when too many runs on it fail.
 *
 * A minion that reports itself healthy but fails every run would use up the attempts of each job
 * that is placed there. Runs on healthy minions fail too, and a job that cannot succeed fails on
 * every minion, so consecutive failures of the same job count once.
 */
class MinionHealth
{
public:
    void recordRunEnd(TimePoint now, const std::string &job, RunEndKind kind);
    /** True while the minion must not receive tasks with a limited number of attempts. */
    bool isSuspended(TimePoint now) const { return now < suspendedUntil_; }
    /** True while the minion must not receive long-running tasks either. Their attempts are not
     * limited, and the platform does not let them wait for 3 s beside free resources. */
    bool isSuspendedForLongRunning(TimePoint now) const
    {
        return now < suspendedUntil_ - ExemptBeforeEnd;
    }
    /** True for some time after failures. A task on its last attempt is placed elsewhere. */
    bool isDoubtful(TimePoint now) const
    {
        return failureShare_ > DoubtfulShare && now < doubtfulUntil_;
    }

private:
    static constexpr double DoubtfulShare = 0.2;
    /** Last part of a suspension, in which long-running tasks are placed again; the first second
     * remains, so that a failed task does not restart there at once. */
    static constexpr Duration ExemptBeforeEnd = std::chrono::seconds(2);

    void recordOutcome(TimePoint now, double failure);

    /** Exponentially decayed share of failed runs. */
    double failureShare_ = 0;
    unsigned failuresInRow_ = 0;
    /** Job of the latest failure; empty after a successful run. */
    std::string failedJob_;
    TimePoint suspendedUntil_{};
    TimePoint doubtfulUntil_{};
};

} // namespace Oleander::Jobs
