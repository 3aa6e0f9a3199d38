#include "Jobs/minionhealth.h"

namespace Oleander::Jobs {

namespace {

/** Weight of the latest run in the decayed share of failures. */
constexpr double LatestWeight = 0.2;
/** Share of failures above which the minion is suspended. Three failures in a row exceed it;
 * healthy queues, in which one run in twenty fails, stay far below it. */
constexpr double SuspendShare = 0.48;
/** Consecutive failures that suspend the minion. */
constexpr unsigned SuspendFailures = 3;
/** Duration of a suspension. Disturbances of a minion last a few seconds. */
constexpr Duration SuspendFor = std::chrono::seconds(3);
/** Time after a failure during which tasks on their last attempt are placed elsewhere; longer than
 * a suspension. */
constexpr Duration DoubtfulFor = std::chrono::seconds(4);

} // namespace

void MinionHealth::recordRunEnd(TimePoint now, const std::string &job, RunEndKind kind)
{
    if (kind == RunEndKind::Done) {
        failedJob_.clear();
        recordOutcome(now, 0);
    } else if (kind == RunEndKind::Failed && job != failedJob_) {
        failedJob_ = job;
        recordOutcome(now, 1);
    }
}

void MinionHealth::recordOutcome(TimePoint now, double failure)
{
    failureShare_ += LatestWeight * (failure - failureShare_);
    failuresInRow_ = failure > 0 ? failuresInRow_ + 1 : 0;
    if (failure > 0)
        doubtfulUntil_ = now + DoubtfulFor;
    if (failuresInRow_ >= SuspendFailures || (failure > 0 && failureShare_ > SuspendShare))
        suspendedUntil_ = now + SuspendFor;
}

} // namespace Oleander::Jobs
