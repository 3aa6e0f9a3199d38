#pragma once

#include "Base/clock.h"
#include "Base/error.h"
#include "Routing/claimcommands.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Oleander {

/** Settings for claiming Idempotency-Keys through the replicated log. */
struct ClaimClientSettings
{
    std::string entry;
    /** How long a key and its outcome are retained. */
    Duration retention = std::chrono::minutes(10);
    /** Maximum number of commands in one log entry. */
    std::size_t maxBatch = 256;
    /** Maximum number of proposed, uncommitted batches; further commands are queued. */
    std::size_t maxBatchesInFlight = 4;
    /** Delay before the next proposal after a batch failed. */
    Duration retryDelay = std::chrono::milliseconds(50);
    /**
     * Queue length at which the finishes of a failed batch are dropped instead of proposed again;
     * the outcome of their requests stays unknown.
     */
    std::size_t maxQueuedFinishes = 10'000;
};

/**
 * \class ClaimClient
 * \brief Collects the claims and finishes of one entry into batches for the control log.
 *
 * A finish is proposed again until it is committed. It carries the token of its claim, so applying
 * it twice has no further effect. A claim is proposed once; its caller decides whether to retry.
 */
class ClaimClient
{
public:
    using Callback = std::function<void(Result<ClaimOutcome>)>;

    ClaimClient(const Clock &clock, ClaimClientSettings settings);

    void claim(std::string key, std::uint64_t fingerprint, std::string token, Callback callback);
    void finish(std::string key, std::string token, RecordedResponse response);

    /** A batch to append to the control log. */
    struct Proposal
    {
        std::uint64_t id = 0;
        ClaimBatch batch;
    };
    /** Returns the next batch, or nothing when isReady() is false. */
    std::optional<Proposal> takeProposal();
    /** Handles the result of a batch; the finishes of a failed batch are queued again. */
    void proposalDone(std::uint64_t id, const Result<ClaimBatchOutcome> &result);
    /** True when takeProposal() would return a batch now. */
    bool isReady() const;
    /** Earliest time of the next proposal, or nothing when none is queued or allowed. */
    std::optional<TimePoint> nextReady() const;

private:
    struct PendingCommand
    {
        ClaimCommand command;
        Callback callback;
    };

    const Clock &clock_;
    ClaimClientSettings settings_;
    std::vector<PendingCommand> waiting_;
    std::map<std::uint64_t, std::vector<PendingCommand>> inFlight_;
    std::uint64_t nextId_ = 1;
    TimePoint pausedUntil_{};
};

} // namespace Oleander
