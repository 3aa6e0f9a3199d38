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
    command.retention = settings_.retention;
    waiting_.push_back({std::move(command), std::move(callback)});
}

void ClaimClient::finish(std::string key, std::string token, RecordedResponse response)
{
    FinishRequest command;
    command.key = std::move(key);
    command.token = std::move(token);
    command.response = boundedResponse(std::move(response));
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
    std::vector<PendingCommand> pendingCommands(std::make_move_iterator(waiting_.begin()),
                                                std::make_move_iterator(waiting_.begin() + count));
    waiting_.erase(waiting_.begin(), waiting_.begin() + count);

    Proposal proposal;
    proposal.id = nextId_++;
    for (const auto &pending : pendingCommands)
        proposal.batch.commands.push_back(pending.command);
    inFlight_.emplace(proposal.id, std::move(pendingCommands));
    return proposal;
}

void ClaimClient::proposalDone(std::uint64_t id, const Result<ClaimBatchOutcome> &result)
{
    const auto found = inFlight_.find(id);
    if (found == inFlight_.end())
        return;
    std::vector<PendingCommand> pendingCommands = std::move(found->second);
    inFlight_.erase(found);
    if (!result)
        pausedUntil_ = clock_.now() + settings_.retryDelay;
    const bool isComplete = result && result->outcomes.size() == pendingCommands.size();
    for (std::size_t i = 0; i < pendingCommands.size(); ++i) {
        auto &pending = pendingCommands[i];
        if (pending.callback && isComplete) {
            pending.callback(result->outcomes[i]);
        } else if (pending.callback) {
            pending.callback(tl::make_unexpected(
                result ? makeError(
                    Failure::Protocol, Step::Claim, {},
                    "The number of outcomes differs from the number of commands in the batch.")
                       : result.error()));
        } else if (!isComplete && waiting_.size() < settings_.maxQueuedFinishes) {
            waiting_.push_back(std::move(pending));
        }
    }
}

} // namespace Oleander
