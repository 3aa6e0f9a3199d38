#pragma once

#include "Base/clock.h"

namespace Oleander {

/**
 * \class DecayedLatency
 * \brief Exponentially decayed mean of observed latencies; old observations fade with time.
 *
 * A latency above the mean is taken over at once, so that a minion that turns slow is noticed on
 * its first slow answer, and forgiven only as time passes.
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
 * Each observation moves the estimate up or down by a step that keeps it where the wanted share
 * of the observations lies below it.
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
