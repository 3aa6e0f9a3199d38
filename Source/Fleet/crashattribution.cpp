#include "Fleet/crashattribution.h"

namespace Oleander::Fleet {

namespace {

/** Time from the start of a run to the crash of the minion within which the run is a likely cause.
 * It covers the interval of the polls, which notice the crash. */
constexpr Duration CrashWindow = std::chrono::milliseconds(100);
/** The same for a crash without any start in CrashWindow. */
constexpr Duration SlowCrashWindow = std::chrono::seconds(2);

} // namespace

void CrashAttribution::pollAnswered(TimePoint now)
{
    failingSince_.reset();
    std::erase_if(startedAt_,
                  [&](const auto &item) { return now > item.second + SlowCrashWindow; });
}

MinionCrash
CrashAttribution::describe(TimePoint now, const MinionLife &life,
                           const std::function<bool(const Jobs::RunKey &)> &hasStarted) const
{
    MinionCrash crash;
    crash.life = life;
    const TimePoint crashedAt = failingSince_.value_or(now);
    for (const Duration window : {CrashWindow, SlowCrashWindow}) {
        for (const auto &[key, startedAt] : startedAt_) {
            if (startedAt + window >= crashedAt)
                crash.suspects.push_back({key.first, key.second, hasStarted(key)});
        }
        crash.isImmediate = window == CrashWindow;
        if (!crash.suspects.empty())
            break;
    }
    return crash;
}

} // namespace Oleander::Fleet
