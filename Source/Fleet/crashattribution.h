#pragma once

#include "Base/clock.h"
#include "Jobs/jobbook.h"
#include "Protocol/jobmessages.h"

#include <functional>
#include <map>
#include <optional>

namespace Oleander::Fleet {

/**
 * \class CrashAttribution
 * \brief Tells which runs of one instance of a minion may have crashed it.
 *
 * A run is a suspect if the minion started it, or may have started it, shortly before its polls
 * began to fail.
 */
class CrashAttribution
{
public:
    /** The minion may receive the start of \a key from now on. */
    void startSent(TimePoint now, const Jobs::RunKey &key) { startedAt_.try_emplace(key, now); }
    void startConfirmed(TimePoint now, const Jobs::RunKey &key)
    {
        startedAt_.insert_or_assign(key, now);
    }
    /** The run \a key has ended, or the minion certainly did not receive its start. */
    void forget(const Jobs::RunKey &key) { startedAt_.erase(key); }
    void pollFailed(TimePoint now) { failingSince_ = failingSince_.value_or(now); }
    void pollAnswered(TimePoint now);
    /** Returns the crash of \a life; \a hasStarted tells whether the minion has confirmed a run. */
    MinionCrash describe(TimePoint now, const MinionLife &life,
                         const std::function<bool(const Jobs::RunKey &)> &hasStarted) const;

private:
    /** Time at which the minion received each start, or may have received it. */
    std::map<Jobs::RunKey, TimePoint> startedAt_;
    /** Time of the first of the latest consecutive failed polls. */
    std::optional<TimePoint> failingSince_;
};

} // namespace Oleander::Fleet
