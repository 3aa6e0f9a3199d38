#pragma once

#include "Base/clock.h"
#include "Routing/deadline.h"
#include "Routing/decayedlatency.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace Oleander {

/** Concurrency limits of one minion. */
struct MinionCapacity
{
    /** Requests that the minion processes concurrently. */
    std::uint32_t slots = 1;
    /** Upper bound on running plus queued requests for this minion at its agent. */
    std::uint32_t connections = 1;
};

/**
 * \class AdmissionQueue
 * \brief Bounded FIFO queue that admits, queues or rejects the requests for one minion.
 *
 * A request is rejected immediately when the queue is full or when it cannot be answered before
 * its deadline. Processing a request whose caller has timed out would delay the requests that can
 * still be answered in time.
 */
class AdmissionQueue
{
public:
    enum class Verdict { Run, Queued, Full, TooLate };

    explicit AdmissionQueue(MinionCapacity capacity);

    void setCapacity(MinionCapacity capacity) { capacity_ = capacity; }
    /** Submits a request. Run means that a slot has been allocated to it. */
    Verdict offer(const std::string &request, Deadline deadline, TimePoint now);
    /** Frees the slot of a completed request and records its \a runTime. */
    void finished(Duration runTime, TimePoint now);
    /** Frees the slot of a request that ended without a usable run time. */
    void abandoned();
    /** Removes a queued request; returns false when it is not in the queue. */
    bool remove(const std::string &request);

    /** Requests removed from the queue by dequeue(). */
    struct DequeueResult
    {
        /** Requests to start; a slot has been allocated to each of them. */
        std::vector<std::string> ready;
        /** Requests whose deadline passed while they were queued. */
        std::vector<std::string> expired;
    };
    DequeueResult dequeue(TimePoint now);
    /** Removes all queued requests and returns them. */
    std::vector<std::string> clear();

    /**
     * Updates the number of orphaned slots from the \a busy slots that the minion reported. Busy
     * slots beyond running() belong to requests dispatched before this agent started or to
     * requests that it has aborted.
     */
    void reportBusySlots(std::uint32_t busy);
    /** Counts a slot that an aborted request may still occupy at the minion. */
    void addOrphanedSlot() { ++orphanedSlots_; }

    std::uint32_t running() const { return running_; }
    std::uint32_t orphanedSlots() const { return orphanedSlots_; }
    std::uint32_t queued() const { return static_cast<std::uint32_t>(queue_.size()); }
    /** Estimated queueing delay of a request that is added now. */
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
