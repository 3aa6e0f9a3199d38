#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <deque>

namespace Oleander {

/** How a leader replicates to one follower. */
enum class ProgressMode {
    /** Searches for the last index that both logs share, one request at a time. */
    Probe,
    /** Streams entries without waiting for replies. */
    Stream,
    /** Sends the snapshot in chunks. */
    Snapshot,
};

/**
 * \struct ReplicaProgress
 * \brief Replication state that a leader keeps for one follower.
 */
struct ReplicaProgress
{
    struct Inflight
    {
        std::uint64_t lastIndex = 0;
        std::size_t bytes = 0;
    };

    std::uint64_t incarnation = 0;
    ProgressMode mode = ProgressMode::Probe;
    std::uint64_t matchIndex = 0;
    std::uint64_t nextIndex = 1;
    /** Sending time of the latest heartbeat that the follower acknowledged. */
    TimePoint lastContactAt;
    std::deque<Inflight> inflight;
    std::size_t inflightBytes = 0;

    std::uint64_t snapshotIndex = 0;
    std::uint64_t snapshotOffset = 0;
    TimePoint chunkSentAt;

    /** Catch-up round of a learner, which is promoted once a round ends within an election
     * timeout. */
    std::uint64_t roundTarget = 0;
    TimePoint roundStartedAt;
};

} // namespace Oleander
