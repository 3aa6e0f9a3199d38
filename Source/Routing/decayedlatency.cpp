#include "Routing/decayedlatency.h"

#include <algorithm>
#include <cmath>

namespace Oleander {

namespace {

/** Largest change by one observation, as a share of the estimate. */
constexpr double QuantileStep = 0.05;

} // namespace

double DecayedLatency::decayFactor(TimePoint now) const
{
    const auto age = static_cast<double>(std::max(now - lastSampleAt_, Duration::zero()).count());
    return std::exp2(-age / static_cast<double>(halfLife_.count()));
}

void DecayedLatency::observe(Duration latency, TimePoint now)
{
    const auto sample = static_cast<double>(latency.count());
    if (!hasSample_ || sample > mean_) {
        mean_ = sample;
    } else {
        const double old = decayFactor(now);
        mean_ = mean_ * old + sample * (1.0 - old);
    }
    hasSample_ = true;
    lastSampleAt_ = now;
}

Duration DecayedLatency::value(TimePoint now) const
{
    if (!hasSample_)
        return Duration::zero();
    return Duration(static_cast<Duration::rep>(mean_ * decayFactor(now)));
}

void LatencyQuantile::observe(Duration latency)
{
    const auto sample = static_cast<double>(latency.count());
    if (estimate_ <= 0.0) {
        estimate_ = sample;
        return;
    }
    const double step = std::max(estimate_, 1.0) * QuantileStep;
    estimate_ += sample > estimate_ ? step * quantile_ : -step * (1.0 - quantile_);
}

} // namespace Oleander
