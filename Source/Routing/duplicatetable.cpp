#include "Routing/duplicatetable.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace Oleander {

namespace {

/** Maximum number of entry incarnations with a watermark; more than any host restarts in a day. */
constexpr std::size_t MaxSenders = 4096;

bool parseNumber(std::string_view text, std::uint64_t &number)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size();
}

} // namespace

std::string AttemptId::text() const
{
    return fmt::format("{}/{}/{}", entry, incarnation, sequence);
}

std::optional<AttemptId> AttemptId::parse(std::string_view text)
{
    const auto last = text.rfind('/');
    if (last == std::string_view::npos || last == 0)
        return std::nullopt;
    const auto middle = text.rfind('/', last - 1);
    if (middle == std::string_view::npos || middle == 0)
        return std::nullopt;
    AttemptId id;
    id.entry = text.substr(0, middle);
    if (!parseNumber(text.substr(middle + 1, last - middle - 1), id.incarnation)
        || !parseNumber(text.substr(last + 1), id.sequence))
        return std::nullopt;
    return id;
}

DuplicateTable::Verdict DuplicateTable::recordAttempt(const AttemptId &id)
{
    Sender &sender = senders_[{id.entry, id.incarnation}];
    const auto known = sender.attempts.find(id.sequence);
    if (known != sender.attempts.end())
        return known->second == State::Started ? Verdict::Duplicate : Verdict::Cancelled;
    if (id.sequence <= sender.highestEvicted)
        return Verdict::TooOld;
    insert(id, sender, State::Started);
    return Verdict::Fresh;
}

bool DuplicateTable::recordCancel(const AttemptId &id)
{
    Sender &sender = senders_[{id.entry, id.incarnation}];
    const auto known = sender.attempts.find(id.sequence);
    if (known != sender.attempts.end())
        return known->second == State::Started;
    if (id.sequence > sender.highestEvicted)
        insert(id, sender, State::Tombstone);
    return false;
}

void DuplicateTable::insert(const AttemptId &id, Sender &sender, State state)
{
    sender.attempts.emplace(id.sequence, state);
    order_.emplace_back(SenderKey{id.entry, id.incarnation}, id.sequence);
    if (order_.size() > capacity_)
        evictOldest();
}

void DuplicateTable::evictOldest()
{
    const auto [key, sequence] = order_.front();
    order_.pop_front();
    Sender &sender = senders_[key];
    sender.attempts.erase(sequence);
    sender.highestEvicted = std::max(sender.highestEvicted, sequence);
    if (senders_.size() <= MaxSenders)
        return;
    // Remove the watermark only of an incarnation that has no attempts left in the table.
    const auto idle = std::find_if(senders_.begin(), senders_.end(),
                                   [](const auto &entry) { return entry.second.attempts.empty(); });
    if (idle != senders_.end())
        senders_.erase(idle);
}

} // namespace Oleander
