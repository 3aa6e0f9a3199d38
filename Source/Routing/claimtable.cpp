#include "Routing/claimtable.h"

#include <algorithm>

namespace Oleander {

namespace {

/** Estimated size of a table row without its strings. */
constexpr std::size_t RowOverhead = 256;

std::size_t bytesOf(const RecordedResponse &response)
{
    std::size_t bytes = response.body.size() + response.peer.size() + response.detail.size();
    for (const auto &header : response.headers)
        bytes += header.name.size() + header.value.size();
    return bytes;
}

std::size_t bytesOf(const std::string &key, const Claim &claim)
{
    return RowOverhead + 2 * key.size() + claim.token.size() + claim.entry.size()
           + bytesOf(claim.response);
}

} // namespace

RecordedResponse boundedResponse(RecordedResponse response)
{
    if (bytesOf(response) <= ClaimTable::MaxResponseBytes)
        return response;
    response.headers.clear();
    response.body.clear();
    response.detail.clear();
    response.complete = false;
    return response;
}

ClaimBatchOutcome ClaimTable::apply(const ClaimBatch &batch)
{
    ClaimBatchOutcome result;
    for (const auto &command : batch.commands) {
        result.outcomes.push_back(
            std::visit([this](const auto &typedCommand) { return apply(typedCommand); }, command));
    }
    return result;
}

ClaimOutcome ClaimTable::apply(const ClaimRequest &command)
{
    advance(command.now);
    const auto found = claims_.find(command.key);
    if (found != claims_.end()) {
        const Claim &claim = found->second;
        if (claim.fingerprint != command.fingerprint)
            return {ClaimVerdict::Mismatch, claim.entry, {}};
        if (claim.finished)
            return {ClaimVerdict::Finished, claim.entry, claim.response};
        const bool own = claim.token == command.token;
        return {own ? ClaimVerdict::Granted : ClaimVerdict::Held, claim.entry, {}};
    }
    if (claims_.size() >= MaxClaims || bytes_ >= MaxTotalBytes)
        return {ClaimVerdict::Full, {}, {}};

    const Duration retention = std::clamp(command.retention, Duration::zero(), MaxRetention);
    Claim claim;
    claim.fingerprint = command.fingerprint;
    claim.token = command.token;
    claim.entry = command.entry;
    claim.expiry = now_ + std::chrono::duration_cast<std::chrono::milliseconds>(retention);
    bytes_ += bytesOf(command.key, claim);
    expiries_.emplace(claim.expiry, command.key);
    claims_.emplace(command.key, std::move(claim));
    return {ClaimVerdict::Granted, command.entry, {}};
}

ClaimOutcome ClaimTable::apply(const FinishRequest &command)
{
    advance(command.now);
    const auto found = claims_.find(command.key);
    if (found == claims_.end() || found->second.token != command.token || found->second.finished)
        return {ClaimVerdict::Recorded, {}, {}};
    Claim &claim = found->second;
    const std::string holder = claim.entry;
    if (command.response.outcome == Outcome::NotRun) {
        remove(command.key);
        return {ClaimVerdict::Recorded, holder, {}};
    }
    bytes_ -= bytesOf(command.key, claim);
    claim.finished = true;
    claim.response = boundedResponse(command.response);
    bytes_ += bytesOf(command.key, claim);
    return {ClaimVerdict::Recorded, holder, {}};
}

const Claim *ClaimTable::find(const std::string &key) const
{
    const auto found = claims_.find(key);
    return found == claims_.end() ? nullptr : &found->second;
}

void ClaimTable::advance(WallTime now)
{
    now_ = std::max(now_, now);
    while (!expiries_.empty() && expiries_.begin()->first <= now_)
        remove(std::string(expiries_.begin()->second));
}

void ClaimTable::remove(const std::string &key)
{
    const auto found = claims_.find(key);
    if (found == claims_.end())
        return;
    bytes_ -= bytesOf(key, found->second);
    expiries_.erase({found->second.expiry, key});
    claims_.erase(found);
}

} // namespace Oleander
