#pragma once

#include "Records/event.h"
#include "Records/record.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Oleander::Records {

/** Who asks for a change, when, and how a resend of it is known. */
struct Origin
{
    std::string author;
    /** Key that the operator's client keeps over resends; empty means none. */
    std::string idempotencyKey;
    /** Calendar time at the entry that received the command. */
    WallTime time{};
};

template<typename F>
void visitFields(F &&f, Fields<Origin> auto &&v)
{
    f(v.author);
    f(v.idempotencyKey);
    f(v.time);
}

/** Creates a record, or amends the one in force when \a ifMatch names its revision. */
struct Submit
{
    Origin origin;
    RecordKey key;
    std::uint32_t schema = 2;
    Spec spec;
    std::optional<std::uint64_t> ifMatch;
};

template<typename F>
void visitFields(F &&f, Fields<Submit> auto &&v)
{
    f(v.origin);
    f(v.key);
    f(v.schema);
    f(v.spec);
    f(v.ifMatch);
}

/** Withdraws the records of one wave; \a ifMatch is only for a wave of one. */
struct Withdraw
{
    Origin origin;
    std::vector<RecordKey> keys;
    std::optional<std::uint64_t> ifMatch;
};

template<typename F>
void visitFields(F &&f, Fields<Withdraw> auto &&v)
{
    f(v.origin);
    f(v.keys);
    f(v.ifMatch);
}

/** What became of one record of a command. */
enum class ChangeResult {
    Created,
    Amended,
    /** The record in force already says what was asked; nothing changed. */
    Unchanged,
    Withdrawn,
    /** Another change came first; the answer holds the record in force. */
    Conflict,
    Missing,
    AlreadyWithdrawn,
    /** The idempotency key belongs to another command of the same operator. */
    KeyReused,
    /** The record is valid but the system's state does not allow it. */
    Refused,
};

/** Returns the word that answers use for \a result. */
std::string_view changeResultName(ChangeResult result);

/** True when the command did, or found done, what it asked for. */
bool isAccepted(ChangeResult result);

/** Answer about one record. */
struct Change
{
    RecordKey key;
    ChangeResult result = ChangeResult::Refused;
    /** Revision after the command, or of the record in force; 0 when there is none. */
    std::uint64_t revision = 0;
    /** Full sentence for the operator. */
    std::string detail;
    /** The record as it stands after the command; absent in the answers to waves. */
    std::optional<Record> record;

    bool operator==(const Change &) const = default;
};

template<typename F>
void visitFields(F &&f, Fields<Change> auto &&v)
{
    f(v.key);
    f(v.result);
    f(v.revision);
    f(v.detail);
    f(v.record);
}

/** Answer to one command. */
struct ChangeOutcome
{
    /** True when the answer is the first one, given again to a resend. */
    bool replayed = false;
    /** Log index of the command that was carried out. */
    std::uint64_t index = 0;
    std::vector<Change> changes;

    bool operator==(const ChangeOutcome &) const = default;
};

template<typename F>
void visitFields(F &&f, Fields<ChangeOutcome> auto &&v)
{
    f(v.replayed);
    f(v.index);
    f(v.changes);
}

} // namespace Oleander::Records
