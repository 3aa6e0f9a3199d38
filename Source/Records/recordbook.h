#pragma once

#include "Records/change.h"
#include "Records/event.h"
#include "Records/idempotencytable.h"
#include "Records/record.h"
#include "Records/systemvalues.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace Oleander::Records {

/**
 * \class RecordBook
 * \brief State machine of the operators' records, changed only by commands of the replicated log.
 *
 * Every apply() is deterministic. Of two changes that name the same revision, the first in the log
 * is accepted and the second is a conflict, answered with the current record. A command with a
 * known idempotency key changes nothing and is answered with the stored first answer.
 */
class RecordBook
{
public:
    ChangeOutcome apply(std::uint64_t index, const Submit &command,
                        std::vector<EventDraft> &events);
    ChangeOutcome apply(std::uint64_t index, const Withdraw &command,
                        std::vector<EventDraft> &events);

    /** Returns the record, also if it is withdrawn, or nullptr. */
    const Record *find(const RecordKey &key) const;
    /** All records, ordered by kind and name. */
    const std::map<RecordKey, Record> &records() const { return records_; }
    IdempotencyTable &idempotencyTable() { return idempotencyTable_; }
    /** Limits the number of stored withdrawn records and evicts the oldest ones above it. */
    void setMaxWithdrawn(std::size_t maxWithdrawn);

    template<typename F>
    friend void visitFields(F &&f, Fields<RecordBook> auto &&v)
    {
        f(v.records_);
        f(v.withdrawn_);
        f(v.maxWithdrawn_);
        f(v.revisionFloor_);
        f(v.idempotencyTable_);
    }

private:
    Change submit(std::uint64_t index, const Submit &command, std::vector<EventDraft> &events);
    Change withdraw(std::uint64_t index, const Withdraw &command, const RecordKey &key,
                    std::vector<EventDraft> &events);
    Change store(std::uint64_t index, const Submit &command, std::vector<EventDraft> &events);
    void evictWithdrawn();

    std::map<RecordKey, Record> records_;
    /** Withdrawn records, ordered by the log index of their withdrawal. */
    std::set<std::pair<std::uint64_t, RecordKey>> withdrawn_;
    std::uint64_t maxWithdrawn_ = WithdrawnKept.fallback;
    /** Highest revision of any evicted record; revisions of new records start above it. */
    std::uint64_t revisionFloor_ = 0;
    IdempotencyTable idempotencyTable_;
};

} // namespace Oleander::Records
