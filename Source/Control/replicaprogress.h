#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <deque>

namespace Oleander {

/** How a leader feeds one follower. */
enum class ProgressMode {
    /** Looks for the last index that both logs share, one request at a time. */
    Probe,
    /** Streams entries without waiting for each reply. */
    Stream,
    /** Sends the snapshot in chunks. */
    Snapshot,
};

/**
 * \struct ReplicaProgress
 * \brief What a leader knows of one follower.
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
    /** Sending time of the latest heartbeat that the follower answered. */
    TimePoint lastContactAt;
    std::deque<Inflight> inflight;
    std::size_t inflightBytes = 0;

    std::uint64_t snapshotIndex = 0;
    std::uint64_t snapshotOffset = 0;
    TimePoint chunkSentAt;

    /** Catch-up round of a learner: it is caught up when a round ends soon enough. */
    std::uint64_t roundTarget = 0;
    TimePoint roundStartedAt;
};

} // namespace Oleander
