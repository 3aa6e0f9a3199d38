#include "Routing/retrybudget.h"

#include <algorithm>

namespace Oleander {

RetryBudget::RetryBudget(RetryBudgetSettings settings, TimePoint now)
    : settings_(settings), saved_(settings.minimumPerSecond), refilledAt_(now)
{}

void RetryBudget::deposit()
{
    saved_ = std::min(saved_ + settings_.share, settings_.maximumSaved);
}

bool RetryBudget::withdraw(TimePoint now)
{
    refill(now);
    if (saved_ < 1.0)
        return false;
    saved_ -= 1.0;
    return true;
}

void RetryBudget::refill(TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - refilledAt_;
    refilledAt_ = now;
    const double earned = settings_.minimumPerSecond * elapsed.count();
    // The floor never fills the budget past one second's worth: only live traffic saves up more.
    if (saved_ < settings_.minimumPerSecond)
        saved_ = std::min(saved_ + earned, settings_.minimumPerSecond);
}

} // namespace Oleander
