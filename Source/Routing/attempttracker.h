#pragma once

#include "Routing/decayedlatency.h"
#include "Routing/minionselector.h"
#include "Routing/miniontable.h"
#include "Routing/retrybudget.h"
#include "Routing/routedrequest.h"
#include "Routing/routersettings.h"

#include <map>
#include <string>
#include <unordered_map>

namespace Oleander {

/**
 * \class AttemptTracker
 * \brief Sends attempts to minions and tracks their outcomes.
 *
 * Owns the state that is shared by all attempts: the minion table, the minion selector, and the
 * retry and hedge budgets. The router decides whether a request may safely be attempted again.
 */
class AttemptTracker
{
public:
    AttemptTracker(const Clock &clock, const RouterSettings &settings, RouterPort &port);

    MinionTable &table() { return table_; }
    const MinionTable &table() const { return table_; }

    /** Credits the retry and hedge budgets for one new request. */
    void countRequest();
    /** Takes a retry from the budget; false when no time, attempts or budget remain. */
    bool acquireRetry(const RoutedRequest &request);
    /** As acquireRetry(), for a hedge; always false for a request that is not idempotent. */
    bool acquireHedge(const RoutedRequest &request);
    /** Sends one attempt; false when no minion is available or too little time remains. */
    bool start(RoutedRequest &request);
    /** Returns the request of the outstanding attempt \a sequence, or 0 when there is none. */
    RequestId requestOf(std::uint64_t sequence) const;

    /** Records that a complete response was received. */
    void succeeded(RoutedRequest &request, std::uint64_t sequence, const RequestAnswer &answer);
    /** Records an attempt without a complete response; \a minionFailed blames the minion. */
    void ended(RoutedRequest &request, std::uint64_t sequence, bool minionFailed);
    /**
     * Cancels every outstanding attempt. Attempts with a sequence below \a failedBefore count as
     * failures of their minions, because a later attempt was answered first.
     */
    void cancelAll(RoutedRequest &request, std::uint64_t failedBefore);
    /** True when \a attempt is unlikely to be answered: its agent is silent or its minion lapsed.
     */
    bool isSuspect(const Attempt &attempt);
    /** Time at which to hedge a request that starts now, if it may be hedged. */
    std::optional<TimePoint> hedgeTime(const RoutedRequest &request) const;
    /** Updates the load of the minion from the figures in \a answer. */
    void recordLoad(const Attempt &attempt, const RequestAnswer &answer);

    /** Text form of the AttemptId of \a sequence. */
    std::string attemptName(std::uint64_t sequence) const;

private:
    Minion *minionOf(const Attempt &attempt);
    bool send(RoutedRequest &request, Minion &minion);
    RequestDispatch dispatchOf(const RoutedRequest &request, const Minion &minion,
                               std::uint64_t sequence) const;
    bool hasTime(const RoutedRequest &request) const;

    const Clock &clock_;
    const RouterSettings &settings_;
    RouterPort &port_;
    MinionTable table_;
    MinionSelector selector_;
    RetryBudget retryBudget_;
    RetryBudget hedgeBudget_;
    std::map<std::string, LatencyQuantile> hedgeDelays_;
    std::unordered_map<std::uint64_t, RequestId> requestIds_;
    std::uint64_t nextSequence_ = 1;
};

} // namespace Oleander
