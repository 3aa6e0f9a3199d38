#include "Jobs/pacecontroller.h"

#include <algorithm>

namespace Oleander::Jobs {

namespace {

constexpr std::uint32_t FullPercent = 100;
/** Tail latency in hundredths of its bound above which the share falls. */
constexpr std::uint32_t SlowAbove = 85;
/** Tail latency in hundredths of its bound below which the share rises. */
constexpr std::uint32_t RaiseBelow = 65;
constexpr std::uint32_t RaiseStep = 10;
/** Shares below this do no useful work. */
constexpr std::uint32_t LeastPercent = 10;
/** Time for a change to show in the reports, which cover half a second. */
constexpr Duration SettleTime = std::chrono::milliseconds(600);

} // namespace

std::vector<PaceOrder> PaceController::update(TimePoint now, const std::vector<PacedRun> &runs)
{
    std::uint32_t worst = 0;
    for (const PacedRun &run : runs) {
        if (run.targetLatencyMs > 0)
            worst = std::max(worst, FullPercent * run.tailLatencyMs / run.targetLatencyMs);
    }
    if (now >= changedAt_ + SettleTime) {
        const std::uint32_t before = percent_;
        if (worst > SlowAbove)
            percent_ = percent_ / 2 < LeastPercent ? 0 : percent_ / 2;
        else if (worst < RaiseBelow)
            percent_ = std::min(FullPercent, std::max(percent_ + RaiseStep, LeastPercent));
        if (percent_ != before)
            changedAt_ = now;
    }
    std::map<RunKey, std::uint32_t> ordered;
    std::vector<PaceOrder> orders;
    for (const PacedRun &run : runs) {
        if (!run.filling)
            continue;
        const auto known = ordered_.find(run.key);
        const std::uint32_t current = known == ordered_.end() ? FullPercent : known->second;
        if (current != percent_)
            orders.push_back({run.key, percent_});
        ordered[run.key] = percent_;
    }
    ordered_ = std::move(ordered);
    return orders;
}

} // namespace Oleander::Jobs
