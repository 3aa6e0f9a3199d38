#pragma once

#include "Routing/attempttracker.h"
#include "Routing/callerrequest.h"
#include "Routing/claimclient.h"
#include "Routing/routedrequest.h"
#include "Routing/routersettings.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace Oleander {

/**
 * \class Router
 * \brief Routes each caller's request to a minion and returns exactly one response; does no I/O.
 *
 * A request that certainly did not run is retried at another minion within the retry budget and its
 * deadline. A request that may have run is retried only when it is idempotent; otherwise it ends
 * with Outcome::Unknown. A non-idempotent request with an Idempotency-Key is dispatched only after
 * the claim of its key has been committed.
 */
class Router
{
public:
    using Callback = std::function<void(CallerResponse)>;

    Router(const Clock &clock, RouterSettings settings, RouterPort &port);

    /**
     * Starts a request. \a callback is called exactly once, unless callerDisconnected() is called
     * first. A request that is refused immediately calls it before submit() returns.
     */
    RequestId submit(CallerRequest caller, Callback callback);
    /** Cancels request \a id unless its key is claimed; its callback is not called any more. */
    void callerDisconnected(RequestId id);

    /** Applies a heartbeat; returns false when it is stale. */
    bool heartbeat(const std::string &agent, std::uint64_t incarnation, const Heartbeat &heartbeat);
    /** Handles the answer of \a agent to an attempt. */
    void answered(const std::string &agent, std::uint64_t incarnation, RequestAnswer answer);
    /** Handles expired timers; to be called at nextWakeup(). */
    void tick();
    TimePoint nextWakeup() const;

    /** Source of the claim commands for the control log and receiver of their outcomes. */
    ClaimClient &claims() { return claims_; }
    const MinionTable &table() const { return attempts_.table(); }
    const RouterCounters &counters() const { return counters_; }
    std::size_t inFlight() const { return requests_.size(); }

private:
    std::optional<RequestProblem> refusal(const CallerRequest &caller) const;
    void start(RoutedRequest &request);
    void claimKey(RoutedRequest &request);
    void handleClaimResult(RequestId id, Result<ClaimOutcome> result);
    void applyClaimOutcome(RoutedRequest &request, const ClaimOutcome &outcome);
    void scheduleClaimRetry(RoutedRequest &request);
    void attemptFailed(RoutedRequest &request, std::uint64_t sequence, const RequestAnswer &answer);
    void retryOrEnd(RoutedRequest &request);
    void expire(RoutedRequest &request);
    void expireUnclaimed(RoutedRequest &request);
    void hedge(RoutedRequest &request);
    void retrySuspectRequests();
    void failLostAttempts(const std::string &agent, std::uint64_t incarnation);
    void end(RoutedRequest &request, CallerResponse answer);
    void endWithProblem(RoutedRequest &request, unsigned unknownStatus);
    void recordOutcome(const RoutedRequest &request, const CallerResponse &answer);
    void count(const CallerResponse &answer);
    void schedule(RoutedRequest &request);
    RequestProblem notRunProblem(unsigned status, Step step, std::string peer,
                                 std::string detail) const;

    const Clock &clock_;
    RouterSettings settings_;
    AttemptTracker attempts_;
    ClaimClient claims_;
    RouterCounters counters_;
    std::unordered_map<RequestId, std::unique_ptr<RoutedRequest>> requests_;
    std::set<std::pair<TimePoint, RequestId>> wakeups_;
    TimePoint nextSuspectCheck_{};
    RequestId nextRequest_ = 1;
};

} // namespace Oleander
