#pragma once

#include "Base/clock.h"
#include "Protocol/messages.h"

#include <string>
#include <variant>
#include <vector>

namespace Oleander {

/**
 * \struct ClaimRequest
 * \brief Command: let the entry that holds \a token run the request named by \a key.
 *
 * Applying it again with the same token gives the same outcome, so that it may be proposed again
 * when its fate is not known.
 */
struct ClaimRequest
{
    /** Service and Idempotency-Key. */
    std::string key;
    /** Digest of method, path and body; a key may not name two different requests. */
    std::uint64_t fingerprint = 0;
    /** Names the one try to run the request. */
    std::string token;
    /** Entry that would run it. */
    std::string entry;
    /** Time at the proposer. */
    WallTime now{};
    /** How long the claim and its outcome are kept after \a now. */
    Duration retention{};
};

template<typename F>
void visitFields(F &&f, Fields<ClaimRequest> auto &&v)
{
    f(v.key);
    f(v.fingerprint);
    f(v.token);
    f(v.entry);
    f(v.now);
    f(v.retention);
}

/** Answer of a request that ran, as it is kept for resends. */
struct RecordedResponse
{
    Outcome outcome = Outcome::Unknown;
    std::uint32_t status = 0;
    std::vector<HeaderField> headers;
    std::string body;
    /** False when the answer was too large to be kept: only its status is known. */
    bool complete = true;
    std::string peer;
    std::string detail;
};

template<typename F>
void visitFields(F &&f, Fields<RecordedResponse> auto &&v)
{
    f(v.outcome);
    f(v.status);
    f(v.headers);
    f(v.body);
    f(v.complete);
    f(v.peer);
    f(v.detail);
}

/**
 * \struct FinishRequest
 * \brief Command: the request under \a key ended for the holder of \a token.
 *
 * Outcome::NotRun gives the claim back, so that a resend may run.
 */
struct FinishRequest
{
    std::string key;
    std::string token;
    RecordedResponse response;
    WallTime now{};
};

template<typename F>
void visitFields(F &&f, Fields<FinishRequest> auto &&v)
{
    f(v.key);
    f(v.token);
    f(v.response);
    f(v.now);
}

using ClaimCommand = std::variant<ClaimRequest, FinishRequest>;

/** Commands of one entry that go through the control log as one. */
struct ClaimBatch
{
    std::vector<ClaimCommand> commands;
};

template<typename F>
void visitFields(F &&f, Fields<ClaimBatch> auto &&v)
{
    f(v.commands);
}

/** What a claim, or a finish, came to. */
enum class ClaimVerdict {
    /** The proposer holds the claim and may run the request, once. */
    Granted,
    /** Another try holds the claim and has not told its outcome. */
    Held,
    /** The request ended before; its answer is given. */
    Finished,
    /** The key named a different request before. */
    Mismatch,
    /** The table is full; nothing was claimed. */
    Full,
    /** The finish was recorded, or the claim it names is not there any more. */
    Recorded,
};

struct ClaimOutcome
{
    ClaimVerdict verdict = ClaimVerdict::Full;
    /** Entry that holds or held the claim. */
    std::string holder;
    RecordedResponse response;
};

template<typename F>
void visitFields(F &&f, Fields<ClaimOutcome> auto &&v)
{
    f(v.verdict);
    f(v.holder);
    f(v.response);
}

/** Outcomes of a ClaimBatch, one for each command in its order. */
struct ClaimBatchOutcome
{
    std::vector<ClaimOutcome> outcomes;
};

template<typename F>
void visitFields(F &&f, Fields<ClaimBatchOutcome> auto &&v)
{
    f(v.outcomes);
}

} // namespace Oleander
