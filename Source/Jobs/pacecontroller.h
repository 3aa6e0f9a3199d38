#pragma once

#include "Base/clock.h"
#include "Jobs/jobbook.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Oleander::Jobs {

/** What an agent knows of one run on its minion that matters for pacing. */
struct PacedRun
{
    RunKey key;
    bool filling = false;
    /** Bound of the tail latency; 0 for a run that does not serve. */
    std::uint32_t targetLatencyMs = 0;
    /** Latest tail latency of a run that serves. */
    std::uint32_t tailLatencyMs = 0;
};

/** The share at which a filling run shall work from now on. */
struct PaceOrder
{
    RunKey key;
    std::uint32_t percent = 0;
};

/**
 * \class PaceController
 * \brief Slows the filling runs of one minion while a serving one beside them is near its bound.
 *
 * Load it answers: filling tasks take all time that is left and stretch the tail latency of the
 * lasting tasks beside them, by amounts that change within seconds. The share falls by a factor
 * and rises by small steps, so that a bound is passed for a few reports at most.
 */
class PaceController
{
public:
    /** Returns the orders that \a runs need after the report of \a now. */
    std::vector<PaceOrder> update(TimePoint now, const std::vector<PacedRun> &runs);
    /** The order for \a key did not arrive and is due again. */
    void orderFailed(const RunKey &key) { ordered_.erase(key); }
    std::uint32_t percent() const { return percent_; }

private:
    std::uint32_t percent_ = 100;
    TimePoint changedAt_{};
    /** Share last ordered for each run; a run works at its full share when it starts. */
    std::map<RunKey, std::uint32_t> ordered_;
};

} // namespace Oleander::Jobs
