#pragma once

#include "Control/membership.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Oleander {

/** Type of the payload of a log entry. */
enum class EntryKind {
    /** Empty: the first entry of a leader's term, which commits the entries of earlier terms. */
    Noop,
    /** A command for the state machine. */
    Command,
    /** An encoded Membership, in force as soon as the entry is appended to the log. */
    Membership,
};

/** One entry of the replicated log; its index is implied by its position. */
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

/** State that a replica persists besides its log. */
struct HardState
{
    std::uint64_t term = 0;
    /** Candidate that received this replica's vote in \a term; empty if none did. */
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

/** State of the state machine after the entry at \a index; \a data is shared and immutable. */
struct Snapshot
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    Membership membership;
    std::shared_ptr<const std::string> data;
};

} // namespace Oleander
