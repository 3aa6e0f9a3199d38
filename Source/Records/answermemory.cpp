#include "Records/answermemory.h"

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
                         origin.idempotencyKey, origin.author, changeName(change.result)),
             std::nullopt});
    }
    return outcome;
}

} // namespace

std::optional<ChangeOutcome> AnswerMemory::find(const Origin &origin,
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

void AnswerMemory::remember(const Origin &origin, std::string_view command,
                            const ChangeOutcome &outcome)
{
    if (origin.idempotencyKey.empty())
        return;
    const Key key{origin.author, origin.idempotencyKey};
    const auto sequence = next_++;
    const auto [place, added] =
        answers_.try_emplace(key, Answer{hashOf(command), sequence, outcome});
    if (!added)
        return;
    order_.emplace(sequence, key);
    held_ += place->second.outcome.changes.size();
    forget();
}

void AnswerMemory::setKept(std::size_t kept)
{
    kept_ = kept;
    forget();
}

void AnswerMemory::forget()
{
    // The newest answer stays whatever its size, so that a resend of it is always known.
    while (held_ > kept_ && order_.size() > 1) {
        const auto oldest = answers_.find(order_.begin()->second);
        held_ -= oldest->second.outcome.changes.size();
        answers_.erase(oldest);
        order_.erase(order_.begin());
    }
}

} // namespace Oleander::Records
