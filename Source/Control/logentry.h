#pragma once

#include "Control/membership.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Oleander {

/** What a log entry holds. */
enum class EntryKind {
    /** Nothing: the first entry of a leader's term, which commits those of the terms before. */
    Noop,
    /** A command of the state machine. */
    Command,
    /** An encoded Membership, in force from the moment the entry is in the log. */
    Membership,
};

/** One entry of the replicated log; its index is its place. */
struct LogEntry
{
    std::uint64_t term = 0;
    EntryKind kind = EntryKind::Noop;
    std::string bytes;

    bool operator==(const LogEntry &) const = default;
};

template<typename F>
void visitFields(F &&f, Fields<LogEntry> auto &&v)
{
    f(v.term);
    f(v.kind);
    f(v.bytes);
}

/** What a replica must remember besides its log. */
struct HardState
{
    std::uint64_t term = 0;
    /** Candidate that got this replica's vote in \a term, or empty. */
    std::string votedFor;
    /** Incarnation of the data folder. */
    std::uint64_t incarnation = 0;

    bool operator==(const HardState &) const = default;
};

template<typename F>
void visitFields(F &&f, Fields<HardState> auto &&v)
{
    f(v.term);
    f(v.votedFor);
    f(v.incarnation);
}

/** State of the state machine after the entry at \a index; \a data is shared, never changed. */
struct Snapshot
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    Membership membership;
    std::shared_ptr<const std::string> data;
};

} // namespace Oleander
