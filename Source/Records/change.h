#pragma once

#include "Records/event.h"
#include "Records/record.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Oleander::Records {

/** Author and time of a command, and the key that identifies its resends. */
struct Origin
{
    std::string author;
    /** Key that the operator's client repeats in every resend; empty means none. */
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

/** Creates a record, or amends the existing one if \a ifMatch is its current revision. */
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

/** Withdraws one or more records; \a ifMatch is allowed for a single record only. */
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

/** Result of a command for one record. */
enum class ChangeResult {
    Created,
    Amended,
    /** The record already has the requested content; nothing changed. */
    Unchanged,
    Withdrawn,
    /** The command names no revision or an outdated one; the answer contains the current record. */
    Conflict,
    Missing,
    AlreadyWithdrawn,
    /** The operator already used the idempotency key for a different command. */
    KeyReused,
    /** The record is valid but the state of the system does not allow the change. */
    Refused,
};

/** Returns the name of \a result in answers. */
std::string_view changeResultName(ChangeResult result);

/** True if the requested state was reached, or held already. */
bool isAccepted(ChangeResult result);

/** Answer to a command for one record. */
struct Change
{
    RecordKey key;
    ChangeResult result = ChangeResult::Refused;
    /** Current revision of the record after the command; 0 if there is no record. */
    std::uint64_t revision = 0;
    /** Full sentence for the operator. */
    std::string detail;
    /** The record after the command; not set in answers to bulk withdrawals. */
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
    /** True if this is the stored answer to an earlier command with the same key. */
    bool replayed = false;
    /** Log index of the command that was executed. */
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
