#include "Records/idempotencytable.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace Oleander::Records {

namespace {

std::uint64_t hashOf(std::string_view command)
{
    return XXH3_64bits(command.data(), command.size());
}

ChangeOutcome keyReused(const Origin &origin, const ChangeOutcome &first)
{
    ChangeOutcome outcome;
    outcome.index = first.index;
    for (const auto &change : first.changes) {
        outcome.changes.push_back(
            {change.key, ChangeResult::KeyReused, change.revision,
             fmt::format("The idempotency key '{}' already belongs to another command of {}, "
                         "which was '{}'; nothing was changed. Use a new key for a new command.",
                         origin.idempotencyKey, origin.author, changeResultName(change.result)),
             std::nullopt});
    }
    return outcome;
}

} // namespace

std::optional<ChangeOutcome> IdempotencyTable::find(const Origin &origin,
                                                    std::string_view command) const
{
    if (origin.idempotencyKey.empty())
        return std::nullopt;
    const auto found = answers_.find({origin.author, origin.idempotencyKey});
    if (found == answers_.end())
        return std::nullopt;
    if (found->second.commandHash != hashOf(command))
        return keyReused(origin, found->second.outcome);
    auto outcome = found->second.outcome;
    outcome.replayed = true;
    return outcome;
}

void IdempotencyTable::insert(const Origin &origin, std::string_view command,
                              const ChangeOutcome &outcome)
{
    if (origin.idempotencyKey.empty())
        return;
    const Key key{origin.author, origin.idempotencyKey};
    const auto sequence = nextSequence_++;
    const auto [place, added] =
        answers_.try_emplace(key, Answer{hashOf(command), sequence, outcome});
    if (!added)
        return;
    keysBySequence_.emplace(sequence, key);
    changeCount_ += place->second.outcome.changes.size();
    evictOldest();
}

void IdempotencyTable::setMaxChanges(std::size_t maxChanges)
{
    maxChanges_ = maxChanges;
    evictOldest();
}

void IdempotencyTable::evictOldest()
{
    // The newest answer is never evicted, even above the limit, so that a resend of the last
    // command always finds its answer.
    while (changeCount_ > maxChanges_ && keysBySequence_.size() > 1) {
        const auto oldest = answers_.find(keysBySequence_.begin()->second);
        changeCount_ -= oldest->second.outcome.changes.size();
        answers_.erase(oldest);
        keysBySequence_.erase(keysBySequence_.begin());
    }
}

} // namespace Oleander::Records
