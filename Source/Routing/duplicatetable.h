#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Oleander {

/** Identifies an attempt by entry, incarnation of the entry, and sequence number within it. */
struct AttemptId
{
    std::string entry;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    std::string text() const;
    static std::optional<AttemptId> parse(std::string_view text);
};

/**
 * \class DuplicateTable
 * \brief Detects duplicate attempts in bounded memory, so that each attempt starts at most once.
 *
 * A cancel that arrives before its attempt leaves a tombstone, so that the attempt is rejected when
 * it arrives later. A full table evicts its oldest rows and remembers the highest evicted sequence
 * of each sender. An attempt at or below that sequence which is not in the table may be a duplicate
 * and is rejected as TooOld.
 */
class DuplicateTable
{
public:
    enum class Verdict { Fresh, Duplicate, Cancelled, TooOld };

    explicit DuplicateTable(std::size_t capacity) : capacity_(capacity) {}

    /** Records the arrival of an attempt. The attempt may run only if the result is Fresh. */
    Verdict recordAttempt(const AttemptId &id);
    /** Records a cancel; returns true when the attempt has already started. */
    bool recordCancel(const AttemptId &id);
    std::size_t size() const { return order_.size(); }

private:
    enum class State { Started, Tombstone };
    struct Sender
    {
        std::uint64_t highestEvicted = 0;
        std::unordered_map<std::uint64_t, State> attempts;
    };
    using SenderKey = std::pair<std::string, std::uint64_t>;

    void insert(const AttemptId &id, Sender &sender, State state);
    void evictOldest();

    std::size_t capacity_;
    std::map<SenderKey, Sender> senders_;
    std::deque<std::pair<SenderKey, std::uint64_t>> order_;
};

} // namespace Oleander
