#pragma once

#include "Routing/callerrequest.h"
#include "Routing/deadline.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Oleander {

/** One attempt that has no answer yet. */
struct Attempt
{
    std::string agent;
    std::uint64_t incarnation = 0;
    std::string minion;
    TimePoint startedAt{};
};

/**
 * \struct RoutedRequest
 * \brief A caller's request on its way through a router.
 */
struct RoutedRequest
{
    RequestId id = 0;
    CallerRequest caller;
    std::function<void(CallerResponse)> callback;
    Deadline deadline;

    /** Token of the claim; empty for a request that needs none. */
    std::string token;
    bool claimGranted = false;
    std::optional<TimePoint> claimRetryAt;
    /** Entry of the other try that holds the claim. */
    std::string claimHolder;

    /** Attempts without an answer, by sequence. */
    std::map<std::uint64_t, Attempt> outstanding;
    /** Agent and minion of every attempt so far. */
    std::vector<std::pair<std::string, std::string>> tried;
    std::optional<TimePoint> hedgeAt;
    /** Sequence of the attempt whose answer the caller gets. */
    std::uint64_t winningAttempt = 0;
    /** True once an attempt ended without telling whether it ran. */
    bool mayHaveRun = false;
    /** Where and why the last attempt, or claim, ended. */
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
