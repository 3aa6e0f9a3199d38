#pragma once

#include "Base/clock.h"
#include "Jobs/jobbook.h"

#include <cstdint>
#include <map>
#include <string>

namespace Oleander::Jobs {

/**
 * \class StartWithdrawal
 * \brief Decides when a start that was ordered before the evacuation of its failure domain, and
 * that its minion does not list, is withdrawn.
 *
 * The minion may have started the run without listing it yet, so the withdrawal waits for a few
 * reports. Valid for one term of a leader.
 */
class StartWithdrawal
{
public:
    /** Time after the request of an evacuation at which unlisted runs are withdrawn; three report
     * intervals. The rest of the 5 s within which starts must end remains for the stop. */
    static constexpr Duration WithdrawAfter = std::chrono::milliseconds(1'500);

    explicit StartWithdrawal(const JobBook &book) : book_(book) {}

    void startTerm() { changes_.clear(); }
    /** Records the evacuations that changed since the last call. */
    void update(TimePoint now);
    /** True if unlisted runs in \a failureDomain, which is evacuated, must be withdrawn. */
    bool isDue(TimePoint now, std::int64_t nowMs, const std::string &failureDomain) const;

private:
    struct Change
    {
        std::uint64_t revision = 0;
        TimePoint seenAt{};
    };

    const JobBook &book_;
    /** Latest change by failure domain, with the time at which this leader first saw it. */
    std::map<std::string, Change> changes_;
};

} // namespace Oleander::Jobs
