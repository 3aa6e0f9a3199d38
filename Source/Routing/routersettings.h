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

/** Limits and habits of one entry's router. */
struct RouterSettings
{
    std::string entry;
    std::uint64_t incarnation = 1;
    Location location;
    std::uint64_t seed = 1;
    /** Requests that may wait for their answer at once. */
    std::size_t maxInFlight = 4096;
    /** Attempts of one request, hedges among them. */
    std::size_t maxAttempts = 4;
    /** Part of the time remaining that is kept for the way of the answer. */
    Duration answerMargin = std::chrono::milliseconds(15);
    RetryBudgetSettings retryBudget;
    RetryBudgetSettings hedgeBudget{.share = 0.05, .minimumPerSecond = 2.0, .maximumBalance = 50.0};
    /** Share of answers that come before a hedge goes out. */
    double hedgeQuantile = 0.95;
    Duration minHedgeDelay = std::chrono::milliseconds(20);
    /** How often requests at silent agents and lapsed minions are looked for. */
    Duration suspectCheckPeriod = std::chrono::milliseconds(100);
    /** Pause before a claim that is held by another try is asked for again. */
    Duration claimRetryDelay = std::chrono::milliseconds(50);
    /** What a refused caller is told to wait. */
    Duration retryAfter = std::chrono::seconds(1);
    MinionTableSettings table;
    ClaimClientSettings claims;
    /** Fails while the entry may not take work, as without a fresh configuration; may be empty. */
    std::function<Result<void>()> gate;
    /** True for a service of a record, though no minion announced it; may be empty. */
    std::function<bool(const std::string &)> hasServiceRecord;
};

/** Counters of a router, for the dump and the metrics. */
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

/** What a router sends to agents. */
class RouterPort
{
public:
    virtual ~RouterPort() = default;
    /** Sends an attempt; a failure means that not one byte has left. */
    virtual Result<void> dispatch(const std::string &agent, std::uint64_t incarnation,
                                  RequestDispatch message) = 0;
    virtual void cancel(const std::string &agent, std::uint64_t incarnation,
                        RequestCancel message) = 0;
};

} // namespace Oleander
