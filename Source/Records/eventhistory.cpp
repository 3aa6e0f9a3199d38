#include "Records/eventhistory.h"

namespace Oleander::Records {

void EventHistory::add(std::uint64_t index, WallTime time, EventDraft draft)
{
    const auto number = next_++;
    events_.emplace_hint(events_.end(), number, Event{number, index, time, std::move(draft)});
    drop();
}

EventPage EventHistory::after(std::uint64_t number, std::size_t limit) const
{
    EventPage page;
    page.newest = next_ - 1;
    page.oldest = events_.empty() ? 0 : events_.begin()->first;
    for (auto it = events_.upper_bound(number); it != events_.end(); ++it) {
        if (page.events.size() == limit)
            break;
        page.events.push_back(it->second);
    }
    return page;
}

void EventHistory::setKept(std::size_t kept)
{
    kept_ = kept;
    drop();
}

void EventHistory::drop()
{
    while (events_.size() > kept_)
        events_.erase(events_.begin());
}

} // namespace Oleander::Records
