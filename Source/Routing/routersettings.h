#pragma once

#include "Base/clock.h"
#include "Base/error.h"
#include "Base/location.h"
#include "Routing/claimclient.h"
#include "Routing/miniontable.h"
#include "Routing/retrybudget.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Oleander {

/** Settings of a Router. */
struct RouterSettings
{
    std::string entry;
    std::uint64_t incarnation = 1;
    Location location;
    std::uint64_t seed = 1;
    /** Maximum number of requests in flight. */
    std::size_t maxInFlight = 4096;
    /** Maximum number of attempts per request, including hedges. */
    std::size_t maxAttempts = 4;
    /** Part of the remaining time that is reserved for returning the response. */
    Duration answerMargin = std::chrono::milliseconds(15);
    RetryBudgetSettings retryBudget;
    RetryBudgetSettings hedgeBudget{.share = 0.05, .minimumPerSecond = 2.0, .maximumBalance = 50.0};
    /** Latency quantile from which the hedge delay is derived. */
    double hedgeQuantile = 0.95;
    Duration minHedgeDelay = std::chrono::milliseconds(20);
    /** Interval at which requests at silent agents and lapsed minions are checked for. */
    Duration suspectCheckPeriod = std::chrono::milliseconds(100);
    /** Delay before a claim that failed or is held by another submission is retried. */
    Duration claimRetryDelay = std::chrono::milliseconds(50);
    /** Retry-After returned to callers whose request did not run. */
    Duration retryAfter = std::chrono::seconds(1);
    MinionTableSettings table;
    ClaimClientSettings claims;
    /** Fails while the entry must not accept work, such as with a stale configuration; optional. */
    std::function<Result<void>()> gate;
    /** True for a service that has a record, even if no minion has announced it; optional. */
    std::function<bool(const std::string &)> hasServiceRecord;
};

/** Counters of a Router for the dump and the metrics. */
struct RouterCounters
{
    std::uint64_t submitted = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t ran = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t lateAnswers = 0;
    std::uint64_t callersDisconnected = 0;
};

/** Interface through which a Router sends messages to agents. */
class RouterPort
{
public:
    virtual ~RouterPort() = default;
    /** Sends an attempt; a failure means that no byte of it was sent. */
    virtual Result<void> dispatch(const std::string &agent, std::uint64_t incarnation,
                                  RequestDispatch message) = 0;
    virtual void cancel(const std::string &agent, std::uint64_t incarnation,
                        RequestCancel message) = 0;
};

} // namespace Oleander
