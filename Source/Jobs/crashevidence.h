#pragma once

#include "Jobs/jobcommand.h"

#include <cstdint>

namespace Oleander::Jobs {

/** Crashes of minions under consecutive runs of one task, by what they say about the task. */
struct CrashCounts
{
    /** Runs that may have crashed their minion. */
    std::uint32_t suspected = 0;
    /** Those of them that the minion certainly started. */
    std::uint32_t started = 0;
    /** Those of the started ones without another run that may have caused the crash. */
    std::uint32_t certain = 0;
    /** Those without another possible cause whose start the minion has not confirmed. */
    std::uint32_t unconfirmed = 0;

    /** True if the task has crashed so many minions that it must not start again. */
    bool isConclusive() const;
};

/** Returns what the crash that ended \a runEnd says about its task; all 0 without such a crash. */
CrashCounts evidenceOf(const MinionRunEnd &runEnd);

} // namespace Oleander::Jobs
