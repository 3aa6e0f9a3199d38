#pragma once

#include "Base/clock.h"
#include "Protocol/messages.h"

#include <string>
#include <variant>
#include <vector>

namespace Oleander {

/**
 * \struct ClaimRequest
 * \brief Command that claims \a key for \a token, so that \a entry may execute the request.
 *
 * Applying it again with the same token gives the same outcome, so it may be proposed again when
 * it is unknown whether it was committed.
 */
struct ClaimRequest
{
    /** Service and Idempotency-Key. */
    std::string key;
    /** Hash of method, path and body; detects a key that is reused for a different request. */
    std::uint64_t fingerprint = 0;
    /** Identifies one submission of the request. */
    std::string token;
    /** Entry that submitted the claim. */
    std::string entry;
    /** Wall-clock time of the proposer. */
    WallTime now{};
    /** How long the claim and its outcome are retained after \a now. */
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

/** Outcome and response of a finished request, stored for resends. */
struct RecordedResponse
{
    Outcome outcome = Outcome::Unknown;
    std::uint32_t status = 0;
    std::vector<HeaderField> headers;
    std::string body;
    /** False when the response was too large to be stored; headers and body are missing then. */
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
 * \brief Command that records how the request of the claim with \a key and \a token ended.
 *
 * Outcome::NotRun releases the claim, so that a resend may be executed.
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

/** Commands of one entry that form a single command in the control log. */
struct ClaimBatch
{
    std::vector<ClaimCommand> commands;
};

template<typename F>
void visitFields(F &&f, Fields<ClaimBatch> auto &&v)
{
    f(v.commands);
}

/** Result of applying a ClaimRequest or FinishRequest. */
enum class ClaimVerdict {
    /** The proposer holds the claim and may execute the request once. */
    Granted,
    /** Another submission holds the claim and has not recorded its outcome. */
    Held,
    /** The request has already finished; the outcome includes the recorded response. */
    Finished,
    /** The key was already used for a different request. */
    Mismatch,
    /** The table is full; nothing was claimed. */
    Full,
    /** The finish was recorded, or there is no unfinished claim that matches it. */
    Recorded,
};

struct ClaimOutcome
{
    ClaimVerdict verdict = ClaimVerdict::Full;
    /** Entry that claimed the key. */
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

/** Outcomes of a ClaimBatch, one per command in the same order. */
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
