#include "Routing/minionselector.h"

#include <algorithm>

namespace Oleander {

namespace {

/** Latency assumed for a minion without samples; smaller latencies are treated as equal. */
constexpr Duration LatencyFloor = std::chrono::microseconds(200);

/** Cost of sending a request to \a minion: its latency times its utilization after that. */
double cost(const Minion &minion, TimePoint now)
{
    const double fill = (minion.load() + 1.0) / std::max(minion.status.slots, 1U);
    const auto latency = std::max(minion.latency.value(now), LatencyFloor);
    return fill * static_cast<double>(latency.count());
}

} // namespace

bool MinionSelector::isLocal(const Minion &minion) const
{
    return minion.location.region == ownLocation_.region
           && minion.location.failureDomain == ownLocation_.failureDomain;
}

Minion *MinionSelector::select(const std::vector<Minion *> &eligible,
                               const std::vector<const Minion *> &tried, TimePoint now)
{
    std::vector<Minion *> localFree;
    std::vector<Minion *> free;
    std::vector<Minion *> room;
    for (Minion *minion : eligible) {
        if (std::find(tried.begin(), tried.end(), minion) != tried.end())
            continue;
        if (minion->hasFreeSlot() && isLocal(*minion))
            localFree.push_back(minion);
        if (minion->hasFreeSlot())
            free.push_back(minion);
        if (minion->hasCapacity())
            room.push_back(minion);
    }
    if (!localFree.empty())
        return betterOfTwo(localFree, now);
    if (!free.empty())
        return betterOfTwo(free, now);
    return betterOfTwo(room, now);
}

Minion *MinionSelector::betterOfTwo(const std::vector<Minion *> &candidates, TimePoint now)
{
    if (candidates.empty())
        return nullptr;
    if (candidates.size() == 1)
        return candidates.front();
    std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
    std::uniform_int_distribution<std::size_t> other(1, candidates.size() - 1);
    const std::size_t first = any(random_);
    const std::size_t second = (first + other(random_)) % candidates.size();
    Minion *a = candidates[first];
    Minion *b = candidates[second];
    return cost(*b, now) < cost(*a, now) ? b : a;
}

} // namespace Oleander
