#pragma once

#include "Routing/callerrequest.h"
#include "Routing/deadline.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Oleander {

/** An outstanding attempt of a request. */
struct Attempt
{
    std::string agent;
    std::uint64_t incarnation = 0;
    std::string minion;
    TimePoint startedAt{};
};

/**
 * \struct RoutedRequest
 * \brief State of a caller's request that is in flight in a router.
 */
struct RoutedRequest
{
    RequestId id = 0;
    CallerRequest caller;
    std::function<void(CallerResponse)> callback;
    Deadline deadline;

    /** Token of the claim; empty for a request that needs no claim. */
    std::string token;
    bool claimGranted = false;
    std::optional<TimePoint> claimRetryAt;
    /** Entry of another submission that holds or held the claim; empty when none is known. */
    std::string claimHolder;

    /** Outstanding attempts by sequence. */
    std::map<std::uint64_t, Attempt> outstanding;
    /** Agent and minion of all attempts so far. */
    std::vector<std::pair<std::string, std::string>> tried;
    std::optional<TimePoint> hedgeAt;
    /** Sequence of the attempt whose response is returned to the caller. */
    std::uint64_t winningAttempt = 0;
    /** True once an attempt timed out or ended with an outcome other than NotRun. */
    bool mayHaveRun = false;
    /** Step, peer and detail of the last failed attempt or claim, for the error response. */
    Step lastStep = Step::Choose;
    std::string lastPeer;
    std::string lastDetail;
    TimePoint wakeup{};

    void recordFailure(Step step, std::string peer, std::string detail)
    {
        lastStep = step;
        lastPeer = std::move(peer);
        lastDetail = std::move(detail);
    }
    std::string claimKey() const { return caller.service + '/' + caller.idempotencyKey; }
    bool isAwaitingClaim() const { return !token.empty() && !claimGranted; }
};

} // namespace Oleander
