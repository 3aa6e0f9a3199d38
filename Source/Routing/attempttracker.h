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
 * \brief Starts attempts at minions and keeps score of how they end.
 *
 * It owns what attempts share: the minion table, the choice, and the budgets for extra attempts.
 * Whether another attempt is allowed to run at all is the router's question.
 */
class AttemptTracker
{
public:
    AttemptTracker(const Clock &clock, const RouterSettings &settings, RouterPort &port);

    MinionTable &table() { return table_; }
    const MinionTable &table() const { return table_; }

    /** Counts a request that starts, from which the budgets are filled. */
    void countRequest();
    bool acquireRetry(const RoutedRequest &request);
    bool acquireHedge(const RoutedRequest &request);
    /** Sends one attempt; false when there is no minion for it or no time. */
    bool start(RoutedRequest &request);
    /** Request of an outstanding attempt at \a agent's \a incarnation, or 0. */
    RequestId requestOf(std::uint64_t sequence) const;

    /** A whole answer came. */
    void succeeded(RoutedRequest &request, std::uint64_t sequence, const RequestAnswer &answer);
    /** No whole answer came; \a minionFailed tells whether that speaks against the minion. */
    void ended(RoutedRequest &request, std::uint64_t sequence, bool minionFailed);
    /**
     * Cancels every outstanding attempt. Those started before the attempt \a failedBefore count as
     * failures of their minions: they were overtaken by a later one.
     */
    void cancelAll(RoutedRequest &request, std::uint64_t failedBefore);
    /** True when the answer of \a attempt is not likely to come any more. */
    bool isSuspect(const Attempt &attempt);
    /** When a hedge of a request that starts now is due. */
    std::optional<TimePoint> hedgeTime(const RoutedRequest &request) const;
    /** Takes over the load that an answer of an agent reports. */
    void updateLoad(const Attempt &attempt, const RequestAnswer &answer);

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
