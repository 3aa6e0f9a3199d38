#pragma once

#include "Base/clock.h"
#include "Routing/deadline.h"
#include "Routing/decayedlatency.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace Oleander {

/** What one minion can take at once. */
struct MinionCapacity
{
    /** Requests that the minion works on at once. */
    std::uint32_t slots = 1;
    /** Requests that may be at the minion's agent at once, running and queued. */
    std::uint32_t connections = 1;
};

/**
 * \class AdmissionQueue
 * \brief Decides, for one minion, which request runs now, which waits, and which is refused.
 *
 * A request is refused at once when the queue is full or when it could not be answered before its
 * deadline: time spent on an answer that nobody waits for is taken from those who still wait.
 */
class AdmissionQueue
{
public:
    enum class Verdict { Run, Queued, Full, TooLate };

    explicit AdmissionQueue(MinionCapacity capacity);

    void setCapacity(MinionCapacity capacity) { capacity_ = capacity; }
    /** Offers a request; Run means that its slot is taken. */
    Verdict offer(const std::string &request, Deadline deadline, TimePoint now);
    /** Frees the slot of a running request that took \a runTime. */
    void finished(Duration runTime, TimePoint now);
    /** Frees the slot of a running request whose run time tells nothing. */
    void abandoned();
    /** Takes a queued request out; false when it is not queued. */
    bool remove(const std::string &request);

    /** What to do next: requests to start, each with its slot taken, and those that are too late.
     */
    struct DequeueResult
    {
        std::vector<std::string> ready;
        std::vector<std::string> expired;
    };
    DequeueResult dequeue(TimePoint now);
    /** Empties the queue; returns what was in it. */
    std::vector<std::string> clear();

    /**
     * Counts \a busy slots of which the minion's announcement told. Slots that this agent does not
     * occupy itself are held by work from before its start, or by requests it has given up.
     */
    void reportBusySlots(std::uint32_t busy);
    /** Counts a slot that a request keeps busy at the minion although nobody waits for it. */
    void addOrphanedSlot() { ++orphanedSlots_; }

    std::uint32_t running() const { return running_; }
    std::uint32_t orphanedSlots() const { return orphanedSlots_; }
    std::uint32_t queued() const { return static_cast<std::uint32_t>(queue_.size()); }
    /** Expected wait of a request that would be queued now. */
    Duration expectedWait(TimePoint now) const;

private:
    struct QueuedRequest
    {
        std::string request;
        Deadline deadline;
    };

    bool hasFreeSlot() const { return running_ + orphanedSlots_ < capacity_.slots; }
    bool canMeet(const Deadline &deadline, Duration wait, TimePoint now) const;

    MinionCapacity capacity_;
    DecayedLatency runTime_;
    std::deque<QueuedRequest> queue_;
    std::uint32_t running_ = 0;
    std::uint32_t orphanedSlots_ = 0;
    bool hasBusyReport_ = false;
};

} // namespace Oleander
