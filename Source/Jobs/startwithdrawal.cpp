#include "Jobs/startwithdrawal.h"

namespace Oleander::Jobs {

void StartWithdrawal::update(TimePoint now)
{
    for (const auto &[failureDomain, evacuation] : book_.evacuations()) {
        Change &change = changes_[failureDomain];
        if (change.revision != evacuation.revision)
            change = {evacuation.revision, now};
    }
}

bool StartWithdrawal::isDue(TimePoint now, std::int64_t nowMs,
                            const std::string &failureDomain) const
{
    const auto evacuation = book_.evacuations().find(failureDomain);
    if (evacuation == book_.evacuations().end())
        return false;
    // The calendar time counts for a new leader. It comes from another host, so the clocks may
    // differ; the time since this leader saw the change limits the delay then.
    const auto afterMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(WithdrawAfter).count();
    const auto change = changes_.find(failureDomain);
    return nowMs >= evacuation->second.changedAtMs + afterMs
           || (change != changes_.end() && now >= change->second.seenAt + WithdrawAfter);
}

} // namespace Oleander::Jobs
