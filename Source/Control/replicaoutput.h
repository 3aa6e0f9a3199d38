#pragma once

#include "Control/logentry.h"
#include "Control/replicamessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Oleander {

/** Log position of a proposal, which is committed if the entry committed at \a index has \a term.
 */
struct LogPosition
{
    std::uint64_t term = 0;
    std::uint64_t index = 0;
};

/** Contents of a data folder when it was opened. */
struct StoredReplica
{
    HardState hardState;
    /** Index 0 if there is none. */
    Snapshot snapshot;
    /** Entries after the snapshot. */
    std::vector<LogEntry> entries;
};

/** One write; all of it must be synced before \a sequence is passed to Replica::writesSynced(). */
struct WriteBatch
{
    std::uint64_t sequence = 0;
    std::optional<HardState> hardState;
    /** Index of the first of \a entries, which replace the log from there on. */
    std::uint64_t firstIndex = 0;
    std::vector<LogEntry> entries;
    /** Replaces the whole log and all earlier snapshots. */
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

/** Outcome of a read. If \a current is true, the read may be served once the committed entries of
 * the same output are applied; otherwise it failed. */
struct ReadOutcome
{
    std::uint64_t id = 0;
    bool current = false;
};

/**
 * \struct ReplicaOutput
 * \brief Actions that a Replica requests, in this order: send, write, restore, apply, serve reads.
 */
struct ReplicaOutput
{
    std::vector<OutgoingReplicaMessage> messages;
    std::optional<WriteBatch> write;
    /** Snapshot that replaces the state of the state machine. */
    std::optional<Snapshot> restore;
    std::vector<CommittedEntry> committed;
    std::vector<ReadOutcome> reads;
};

} // namespace Oleander
