#include "Routing/claimclient.h"

#include "Routing/claimtable.h"

#include <algorithm>
#include <iterator>

namespace Oleander {

ClaimClient::ClaimClient(const Clock &clock, ClaimClientSettings settings)
    : clock_(clock), settings_(std::move(settings))
{}

void ClaimClient::claim(std::string key, std::uint64_t fingerprint, std::string token,
                        Callback callback)
{
    ClaimRequest command;
    command.key = std::move(key);
    command.fingerprint = fingerprint;
    command.token = std::move(token);
    command.entry = settings_.entry;
    command.now = clock_.wallNow();
    command.keepFor = settings_.keepFor;
    waiting_.push_back({std::move(command), std::move(callback)});
}

void ClaimClient::finish(std::string key, std::string token, ClaimAnswer answer)
{
    FinishRequest command;
    command.key = std::move(key);
    command.token = std::move(token);
    command.answer = boundedAnswer(std::move(answer));
    command.now = clock_.wallNow();
    waiting_.push_back({std::move(command), {}});
}

bool ClaimClient::isReady() const
{
    return !waiting_.empty() && inFlight_.size() < settings_.maxBatchesInFlight
           && clock_.now() >= pausedUntil_;
}

std::optional<TimePoint> ClaimClient::nextReady() const
{
    if (waiting_.empty() || inFlight_.size() >= settings_.maxBatchesInFlight)
        return std::nullopt;
    return pausedUntil_;
}

std::optional<ClaimClient::Proposal> ClaimClient::takeProposal()
{
    if (!isReady())
        return std::nullopt;
    const auto count = static_cast<std::ptrdiff_t>(std::min(waiting_.size(), settings_.maxBatch));
    std::vector<Entry> entries(std::make_move_iterator(waiting_.begin()),
                               std::make_move_iterator(waiting_.begin() + count));
    waiting_.erase(waiting_.begin(), waiting_.begin() + count);

    Proposal proposal;
    proposal.id = nextId_++;
    for (const auto &entry : entries)
        proposal.batch.commands.push_back(entry.command);
    inFlight_.emplace(proposal.id, std::move(entries));
    return proposal;
}

void ClaimClient::proposalDone(std::uint64_t id, const Result<ClaimBatchOutcome> &result)
{
    const auto found = inFlight_.find(id);
    if (found == inFlight_.end())
        return;
    std::vector<Entry> entries = std::move(found->second);
    inFlight_.erase(found);
    if (!result)
        pausedUntil_ = clock_.now() + settings_.retryDelay;
    const bool whole = result && result->outcomes.size() == entries.size();
    for (std::size_t i = 0; i < entries.size(); ++i) {
        auto &entry = entries[i];
        if (entry.callback && whole) {
            entry.callback(result->outcomes[i]);
        } else if (entry.callback) {
            entry.callback(tl::make_unexpected(
                result ? makeError(Failure::Protocol, Step::Claim, {},
                                   "The control log answered a batch of another size.")
                       : result.error()));
        } else if (!whole && waiting_.size() < settings_.maxUnrecorded) {
            waiting_.push_back(std::move(entry));
        }
    }
}

} // namespace Oleander
