#pragma once

#include "Records/event.h"
#include "Records/systemvalues.h"

#include <map>
#include <vector>

namespace Oleander::Records {

/** Consecutive events of the history and the range of available numbers. */
struct EventPage
{
    std::vector<Event> events;
    /** Number of the oldest stored event; 0 if there is none. */
    std::uint64_t oldest = 0;
    /** Number of the newest event; 0 if there was none yet. */
    std::uint64_t newest = 0;
};

/**
 * \class EventHistory
 * \brief Assigns numbers to events and stores a limited number of the newest ones.
 */
class EventHistory
{
public:
    void add(std::uint64_t index, WallTime time, EventDraft draft);
    /** Returns up to \a limit events with a number above \a number, oldest first. */
    EventPage after(std::uint64_t number, std::size_t limit) const;
    /** Limits the history to \a maxEvents events and evicts the oldest ones above it. */
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
