#pragma once

#include "Base/clock.h"
#include "Protocol/jobmessages.h"

#include <string>

namespace Oleander::Jobs {

/**
 * \class MinionHealth
 * \brief Judges a minion by how the runs on it end.
 *
 * Load it answers: a minion that reports good health and fails whatever it starts takes the
 * attempts of every job that is placed there. Runs of healthy queues fail too, and a job that can
 * never be done fails everywhere, so failures of one job in a row count once.
 */
class MinionHealth
{
public:
    void recordRunEnd(TimePoint now, const std::string &job, RunEndKind kind);
    /** True while the minion should get no task. */
    bool isSuspended(TimePoint now) const { return now < suspendedUntil_; }
    /** True for some time after failures: only a task with attempts to spare should go there. */
    bool isDoubtful(TimePoint now) const
    {
        return failureShare_ > DoubtfulShare && now < doubtfulUntil_;
    }

private:
    static constexpr double DoubtfulShare = 0.2;

    void recordOutcome(TimePoint now, double failure);

    /** Decayed share of failed runs. */
    double failureShare_ = 0;
    unsigned failuresInRow_ = 0;
    /** Job of the latest failure, while no run has been done since. */
    std::string failedJob_;
    TimePoint suspendedUntil_{};
    TimePoint doubtfulUntil_{};
};

} // namespace Oleander::Jobs
