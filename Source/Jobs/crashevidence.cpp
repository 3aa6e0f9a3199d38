#include "Jobs/crashevidence.h"

namespace Oleander::Jobs {

namespace {

/** Crashed minions after which a task is given up if one of the crashes is certainly its own. */
constexpr std::uint32_t CrashesUntilGivenUp = 2;
/** The same if the start on one of the minions was not confirmed. The platform counts a violation
 * if a task starts again after three crashes. */
constexpr std::uint32_t CrashesUntilGivenUpUnconfirmed = 3;
/** Crashed minions after which a task is given up in any case. */
constexpr std::uint32_t MaxCrashes = 4;

} // namespace

bool CrashCounts::isConclusive() const
{
    return started >= MaxCrashes || (started >= CrashesUntilGivenUp && certain > 0)
           || (suspected >= CrashesUntilGivenUpUnconfirmed && certain > 0 && unconfirmed > 0);
}

CrashCounts evidenceOf(const MinionRunEnd &runEnd)
{
    if (runEnd.crashSuspects == 0)
        return {};
    const bool isOnlySuspect = runEnd.crashSuspects == 1;
    CrashCounts counts;
    counts.suspected = 1;
    // A start that was only sent may never have reached the minion.
    counts.started = runEnd.hasStarted ? 1 : 0;
    counts.certain = isOnlySuspect && runEnd.hasStarted ? 1 : 0;
    counts.unconfirmed = isOnlySuspect && !runEnd.hasStarted ? 1 : 0;
    return counts;
}

} // namespace Oleander::Jobs
