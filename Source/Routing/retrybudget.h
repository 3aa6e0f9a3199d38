#pragma once

#include "Base/clock.h"

namespace Oleander {

/** Settings of a token bucket for retries or hedges. */
struct RetryBudgetSettings
{
    /** Tokens earned per first attempt. */
    double share = 0.1;
    /** Tokens earned per second regardless of traffic. */
    double minimumPerSecond = 5.0;
    /** Maximum number of tokens in the bucket. */
    double maximumBalance = 100.0;
};

/**
 * \class RetryBudget
 * \brief Token bucket that limits retries or hedges to a share of the first attempts.
 *
 * Unlimited retries amplify an overload, because each refused request adds another attempt.
 */
class RetryBudget
{
public:
    RetryBudget(RetryBudgetSettings settings, TimePoint now);

    /** Adds the tokens earned by one first attempt. */
    void deposit();
    /** Takes one token for an extra attempt; returns false when none is left. */
    bool withdraw(TimePoint now);

private:
    void refill(TimePoint now);

    RetryBudgetSettings settings_;
    double balance_;
    TimePoint refilledAt_;
};

} // namespace Oleander
