#include "Jobs/evictionrounds.h"

#include <algorithm>
#include <utility>

namespace Oleander::Jobs {

namespace {

/** Time without a run from which a task limits evictions to rounds. The platform counts a task that
 * has had no run for 6 s, for the last 3 s of them beside capacity. */
constexpr Duration LimitAfter = std::chrono::milliseconds(2'000);
/** Time in which the evictions of one round are decided. */
constexpr Duration RoundLength = std::chrono::milliseconds(400);
/** Time between the end of a round's last replacement and the next round; half of the time for
 * which a task may wait beside capacity. */
constexpr Duration Pause = std::chrono::milliseconds(1'500);

} // namespace

void EvictionRounds::clear()
{
    waitingSince_.clear();
    isLimited_ = false;
    roundEnd_ = {};
    nextRound_ = {};
}

void EvictionRounds::update(TimePoint now, const std::set<TaskRef> &waiting, bool isSettled)
{
    std::erase_if(waitingSince_, [&](const auto &item) { return !waiting.contains(item.first); });
    for (const TaskRef &task : waiting)
        waitingSince_.try_emplace(task, now);
    isLimited_ = std::ranges::any_of(
        waitingSince_, [&](const auto &item) { return now >= item.second + LimitAfter; });
    if (!isSettled)
        nextRound_ = now + Pause;
}

bool EvictionRounds::mayEvict(TimePoint now) const
{
    return !isLimited_ || now < roundEnd_ || now >= nextRound_;
}

void EvictionRounds::recordEviction(TimePoint now)
{
    if (now >= roundEnd_)
        roundEnd_ = now + RoundLength;
    nextRound_ = now + Pause;
}

} // namespace Oleander::Jobs
