#pragma once

#include "Base/clock.h"

namespace Oleander {

/** How many extra attempts live traffic may cause. */
struct RetryBudgetSettings
{
    /** Extra attempts allowed for each first attempt. */
    double share = 0.1;
    /** Extra attempts a second that are allowed whatever the traffic. */
    double minimumPerSecond = 5.0;
    /** Extra attempts that may be saved up. */
    double maximumBalance = 100.0;
};

/**
 * \class RetryBudget
 * \brief Limits retries, or hedges, to a share of the live traffic.
 *
 * Without it an overload multiplies itself: each refusal would add requests to those that were
 * already too many.
 */
class RetryBudget
{
public:
    RetryBudget(RetryBudgetSettings settings, TimePoint now);

    /** Counts one first attempt. */
    void deposit();
    /** Takes one extra attempt from the budget; false when none is left. */
    bool withdraw(TimePoint now);

private:
    void refill(TimePoint now);

    RetryBudgetSettings settings_;
    double balance_;
    TimePoint refilledAt_;
};

} // namespace Oleander
