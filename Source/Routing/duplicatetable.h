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

/** Name of one attempt: who made it, in which of its incarnations, and its number there. */
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
 * \brief Lets each attempt start at most once, in bounded memory.
 *
 * A cancel that arrives before its attempt leaves a tombstone, so that a late copy is refused. When
 * the table is full its oldest rows go, and each entry's highest forgotten sequence stays: an
 * attempt at or below it that is not in the table may be a copy and is refused as well.
 */
class DuplicateTable
{
public:
    enum class Verdict { Fresh, Duplicate, Cancelled, TooOld };

    explicit DuplicateTable(std::size_t capacity) : capacity_(capacity) {}

    /** Records the arrival of an attempt. Only a Fresh one may run. */
    Verdict recordAttempt(const AttemptId &id);
    /** Records a cancel; returns true when the attempt had already arrived. */
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
