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

/** How an entry claims Idempotency-Keys. */
struct ClaimClientSettings
{
    std::string entry;
    /** How long a key and its outcome are kept. */
    Duration retention = std::chrono::minutes(10);
    /** Commands that go through the control log as one. */
    std::size_t maxBatch = 256;
    /** Batches on their way at once; further commands wait and share a batch. */
    std::size_t maxBatchesInFlight = 4;
    /** Pause after a batch that failed. */
    Duration retryDelay = std::chrono::milliseconds(50);
    /** Finishes that wait to be recorded; beyond these the outcome of the oldest stays unknown. */
    std::size_t maxQueuedFinishes = 10'000;
};

/**
 * \class ClaimClient
 * \brief Collects the claims and finishes of one entry into batches for the control log.
 *
 * A finish is proposed until it is recorded: it names the token of its claim, so that recording it
 * twice changes nothing. A claim is proposed once; its caller decides whether to try again.
 */
class ClaimClient
{
public:
    using Callback = std::function<void(Result<ClaimOutcome>)>;

    ClaimClient(const Clock &clock, ClaimClientSettings settings);

    void claim(std::string key, std::uint64_t fingerprint, std::string token, Callback callback);
    void finish(std::string key, std::string token, RecordedResponse response);

    /** One batch to propose. */
    struct Proposal
    {
        std::uint64_t id = 0;
        ClaimBatch batch;
    };
    /** Next batch, or nothing when none waits or enough are on their way. */
    std::optional<Proposal> takeProposal();
    /** Takes the outcome of a batch; its finishes wait again when it failed. */
    void proposalDone(std::uint64_t id, const Result<ClaimBatchOutcome> &result);
    /** True when a proposal may be taken now. */
    bool isReady() const;
    /** When a proposal may be taken after a failure, or nothing when none waits. */
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
