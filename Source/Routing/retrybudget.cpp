#include "Routing/retrybudget.h"

#include <algorithm>

namespace Oleander {

RetryBudget::RetryBudget(RetryBudgetSettings settings, TimePoint now)
    : settings_(settings), balance_(settings.minimumPerSecond), refilledAt_(now)
{}

void RetryBudget::deposit()
{
    balance_ = std::min(balance_ + settings_.share, settings_.maximumBalance);
}

bool RetryBudget::withdraw(TimePoint now)
{
    refill(now);
    if (balance_ < 1.0)
        return false;
    balance_ -= 1.0;
    return true;
}

void RetryBudget::refill(TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - refilledAt_;
    refilledAt_ = now;
    const double earned = settings_.minimumPerSecond * elapsed.count();
    // The minimum rate fills the bucket to at most one second's worth; only traffic adds more.
    if (balance_ < settings_.minimumPerSecond)
        balance_ = std::min(balance_ + earned, settings_.minimumPerSecond);
}

} // namespace Oleander
