#pragma once

#include "Records/event.h"
#include "Records/systemvalues.h"

#include <map>
#include <vector>

namespace Oleander::Records {

/** A page of the history. */
struct EventPage
{
    std::vector<Event> events;
    /** Number of the oldest event that is still kept; 0 when there is none. */
    std::uint64_t oldest = 0;
    /** Number of the newest event; 0 when there was none. */
    std::uint64_t newest = 0;
};

/**
 * \class EventHistory
 * \brief Numbers events and keeps the newest ones.
 */
class EventHistory
{
public:
    void add(std::uint64_t index, WallTime time, EventDraft draft);
    /** Events numbered above \a number, oldest first, at most \a limit. */
    EventPage after(std::uint64_t number, std::size_t limit) const;
    /** Keeps at most \a maxEvents events from now on. */
    void setMaxEvents(std::size_t maxEvents);
    std::size_t size() const { return events_.size(); }

    template<typename F>
    friend void visitFields(F &&f, Fields<EventHistory> auto &&v)
    {
        f(v.nextNumber_);
        f(v.maxEvents_);
        f(v.events_);
    }

private:
    void evictOldest();

    std::uint64_t nextNumber_ = 1;
    std::uint64_t maxEvents_ = EventsKept.fallback;
    std::map<std::uint64_t, Event> events_;
};

} // namespace Oleander::Records
