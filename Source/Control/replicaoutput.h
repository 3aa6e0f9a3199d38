#pragma once

#include "Control/logentry.h"
#include "Control/replicamessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Oleander {

/** Place of a proposal: it took effect if the entry committed at \a index has \a term. */
struct LogPosition
{
    std::uint64_t term = 0;
    std::uint64_t index = 0;
};

/** What a data folder held when it was opened. */
struct StoredReplica
{
    HardState hardState;
    /** Index 0 when there is none. */
    Snapshot snapshot;
    /** Entries after the snapshot. */
    std::vector<LogEntry> entries;
};

/** One write; all of it is synced before the replica hears of \a sequence. */
struct WriteBatch
{
    std::uint64_t sequence = 0;
    std::optional<HardState> hardState;
    /** Index of the first of \a entries; whatever the log held from there on is superseded. */
    std::uint64_t firstIndex = 0;
    std::vector<LogEntry> entries;
    /** Replaces the whole log and every snapshot before it. */
    std::optional<Snapshot> snapshot;
};

struct OutgoingReplicaMessage
{
    std::string to;
    ReplicaMessage message;
};

struct CommittedEntry
{
    std::uint64_t index = 0;
    LogEntry entry;
};

/** Outcome of a read: served once everything in the same output is applied, or failed. */
struct ReadOutcome
{
    std::uint64_t id = 0;
    bool current = false;
};

/**
 * \struct ReplicaOutput
 * \brief What a Replica wants done, in this order: send, write, restore, apply, serve reads.
 */
struct ReplicaOutput
{
    std::vector<OutgoingReplicaMessage> messages;
    std::optional<WriteBatch> write;
    /** Snapshot that replaces the state machine's state. */
    std::optional<Snapshot> restore;
    std::vector<CommittedEntry> committed;
    std::vector<ReadOutcome> reads;
};

} // namespace Oleander
