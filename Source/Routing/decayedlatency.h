#pragma once

#include "Base/clock.h"

namespace Oleander {

/**
 * \class DecayedLatency
 * \brief Peak-sensitive, exponentially weighted moving average (peak EWMA) of latencies.
 *
 * A latency above the mean replaces it immediately, so that a minion is recognized as slow on its
 * first slow response; the mean then decays with time.
 */
class DecayedLatency
{
public:
    explicit DecayedLatency(Duration halfLife) : halfLife_(halfLife) {}

    void observe(Duration latency, TimePoint now);
    /** Decayed mean, or zero before the first observation. */
    Duration value(TimePoint now) const;

private:
    double decayFactor(TimePoint now) const;

    Duration halfLife_;
    TimePoint lastSampleAt_{};
    double mean_ = 0.0;
    bool hasSample_ = false;
};

/**
 * \class LatencyQuantile
 * \brief Running estimate of one quantile of a stream of latencies in constant memory.
 *
 * Each observation moves the estimate up or down. The two step sizes are weighted so that the
 * estimate converges to the value below which the requested share of the observations lies.
 */
class LatencyQuantile
{
public:
    explicit LatencyQuantile(double quantile) : quantile_(quantile) {}

    void observe(Duration latency);
    /** The estimate, or zero before the first observation. */
    Duration value() const { return Duration(static_cast<Duration::rep>(estimate_)); }

private:
    double quantile_;
    double estimate_ = 0.0;
};

} // namespace Oleander
