#include "Jobs/coldstartlimit.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <string>

namespace Oleander::Jobs {

namespace {

/** Period in which starts are counted. */
constexpr Duration Window = std::chrono::seconds(1);
/** Time in milliseconds after the withdrawal of an evacuation for which minions count as cold; a
 * minion may report its cold time only with its next announcements. */
constexpr std::int64_t ColdAfterWithdrawalMs = 5'000;

} // namespace

void ColdStartLimit::startTerm()
{
    starts_.clear();
    startsLeft_.clear();
}

bool ColdStartLimit::isCold(const Machine &machine, std::int64_t nowMs) const
{
    if (machine.minion.coldRemainingMs > 0)
        return true;
    const auto evacuation = book_.evacuations().find(machine.minion.zone);
    // The change may have the clock of an earlier leader, which may be ahead.
    return evacuation != book_.evacuations().end() && !evacuation->second.requested
           && std::abs(nowMs - evacuation->second.changedAtMs) < ColdAfterWithdrawalMs;
}

void ColdStartLimit::update(TimePoint now, std::int64_t nowMs)
{
    if (!options_)
        return;
    for (auto it = starts_.begin(); it != starts_.end();) {
        while (!it->second.empty() && now >= it->second.front() + Window)
            it->second.pop_front();
        it = it->second.empty() ? starts_.erase(it) : std::next(it);
    }
    struct Warm
    {
        std::uint64_t minions = 0;
        std::uint64_t starts = 0;
    };
    std::map<std::string, Warm> warm;
    std::vector<const MinionLife *> cold;
    const auto startsOn = [&](const MinionLife &life) -> std::uint64_t {
        const auto found = starts_.find(life);
        return found == starts_.end() ? 0 : found->second.size();
    };
    for (const auto &[life, machine] : machines_.machines()) {
        if (!machines_.acceptsLongRunningTasks(now, machine))
            continue;
        if (isCold(machine, nowMs)) {
            cold.push_back(&life);
            continue;
        }
        Warm &service = warm[machine.minion.service];
        ++service.minions;
        service.starts += startsOn(life);
    }
    startsLeft_.clear();
    for (const MinionLife *life : cold) {
        const auto service = warm.find(machines_.machines().at(*life).minion.service);
        if (service == warm.end())
            continue;
        const double average = static_cast<double>(service->second.starts)
                               / static_cast<double>(service->second.minions);
        const auto limit =
            static_cast<std::uint64_t>(std::floor(options_->overage * average)) + options_->slack;
        startsLeft_[*life] = limit - std::min(limit, startsOn(*life));
    }
}

std::optional<std::uint64_t> ColdStartLimit::startsLeft(const MinionLife &life) const
{
    const auto found = startsLeft_.find(life);
    return found == startsLeft_.end() ? std::nullopt : std::optional(found->second);
}

void ColdStartLimit::record(TimePoint now, const std::vector<RunStart> &starts)
{
    if (!options_)
        return;
    for (const RunStart &start : starts)
        starts_[start.minion].push_back(now);
}

} // namespace Oleander::Jobs
