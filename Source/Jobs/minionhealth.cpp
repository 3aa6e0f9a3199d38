#include "Jobs/minionhealth.h"

namespace Oleander::Jobs {

namespace {

/** Weight of the latest run in the decayed share. */
constexpr double LatestWeight = 0.2;
/** Share of failures at which the minion is suspended; three failures in a row reach it, and
 * healthy queues, which fail one run in twenty, stay far below. */
constexpr double SuspendShare = 0.48;
/** Failures without a success between them that suspend the minion. */
constexpr unsigned SuspendFailures = 3;
/** Length of a suspension; disturbances of a minion last some seconds. */
constexpr Duration SuspendFor = std::chrono::seconds(3);
/** Time after a failure for which last attempts go elsewhere; longer than a suspension. */
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
