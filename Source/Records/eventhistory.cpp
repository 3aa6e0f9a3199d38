#include "Records/eventhistory.h"

namespace Oleander::Records {

void EventHistory::add(std::uint64_t index, WallTime time, EventDraft draft)
{
    const auto number = nextNumber_++;
    events_.emplace_hint(events_.end(), number, Event{number, index, time, std::move(draft)});
    evictOldest();
}

EventPage EventHistory::after(std::uint64_t number, std::size_t limit) const
{
    EventPage page;
    page.newest = nextNumber_ - 1;
    page.oldest = events_.empty() ? 0 : events_.begin()->first;
    for (auto it = events_.upper_bound(number); it != events_.end(); ++it) {
        if (page.events.size() == limit)
            break;
        page.events.push_back(it->second);
    }
    return page;
}

void EventHistory::setMaxEvents(std::size_t maxEvents)
{
    maxEvents_ = maxEvents;
    evictOldest();
}

void EventHistory::evictOldest()
{
    while (events_.size() > maxEvents_)
        events_.erase(events_.begin());
}

} // namespace Oleander::Records
