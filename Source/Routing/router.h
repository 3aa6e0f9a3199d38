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
 * \brief Carries each caller's request to a minion and exactly one answer back; does no I/O.
 *
 * A request that surely did not run goes to another minion within the retry budget and its
 * deadline. One that may have run goes on only when it is idempotent; any other ends as unknown.
 * With an Idempotency-Key nothing is dispatched before the claim of the key is committed.
 */
class Router
{
public:
    using Callback = std::function<void(CallerResponse)>;

    Router(const Clock &clock, RouterSettings settings, RouterPort &port);

    /**
     * Takes a request over. \a callback is called exactly once, unless callerDisconnected() comes
     * first; a refusal calls it before this returns.
     */
    RequestId submit(CallerRequest caller, Callback callback);
    /** The caller is gone: its attempts are cancelled, and no answer follows. */
    void callerDisconnected(RequestId id);

    /** Takes a heartbeat over; false when it is older than one before it. */
    bool heartbeat(const std::string &agent, std::uint64_t incarnation, const Heartbeat &heartbeat);
    void answered(const std::string &agent, std::uint64_t incarnation, RequestAnswer answer);
    /** Does what is due; to be called at nextWakeup(). */
    void tick();
    TimePoint nextWakeup() const;

    /** Commands for the control log wait here, and their outcomes come back here. */
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
