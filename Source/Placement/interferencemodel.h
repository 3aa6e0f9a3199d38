#pragma once

#include "Base/clock.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Oleander::Placement {

/** An estimate and its variance. */
struct Estimate
{
    double mean = 0;
    double variance = 0;
};

/** Parameters of the estimator; slowdowns are natural logarithms of ratios. */
struct InterferenceSettings
{
    /** Prior effect of a pair that was never observed together, for an intensity of 1. */
    Estimate prior{0.6, 1.0};
    /** Measurement variance of one report. */
    double noise = 0.02;
    /** Variance that an estimate gains per second, up to the variance of the prior. */
    double decay = 1.0 / 3600.0;
    /** Variance of a service kind's undisturbed latency before and at the first report. */
    double baseVariance = 4.0;
};

/** One neighbour of a task at the time of a report. */
struct Neighbour
{
    std::uint32_t kind = 0;
    /** Share of the worker's processors that the neighbour used. */
    double intensity = 0;
};

/**
 * \class InterferenceModel
 * \brief Learns from reports how much each kind of task slows down each other kind.
 *
 * The logarithm of a task's slowdown is modelled as a sum: for each neighbour the effect of the
 * pair times the neighbour's intensity, plus the effect of busy processors. Each report updates all
 * terms of this sum in proportion to their variance (a Kalman filter with a diagonal covariance).
 * The variance of estimates grows with time, because load patterns change.
 */
class InterferenceModel
{
public:
    explicit InterferenceModel(const InterferenceSettings &settings = {});

    /** Effect of a neighbour of kind \a aggressor on a task of kind \a victim. */
    Estimate effect(std::uint32_t victim, std::uint32_t aggressor) const;
    /** Logarithm of the undisturbed latency of a service kind; before the first report, an estimate
     * with the initial variance. */
    Estimate baseLogLatency(std::uint32_t victim) const;
    /** Effect on a kind of processor use above the share that causes no slowdown. */
    Estimate pressureEffect(std::uint32_t victim) const;

    /**
     * Updates the estimates from one report measured at \a at. \a value is the logarithm of a
     * service's latency or of the slowdown of batch work.
     */
    void learn(std::uint32_t victim, bool isService, const std::vector<Neighbour> &neighbours,
               double pressure, double value, TimePoint at);

private:
    struct Entry
    {
        Estimate estimate;
        TimePoint updated{};
    };

    static std::uint64_t key(std::uint32_t victim, std::uint32_t aggressor)
    {
        return (static_cast<std::uint64_t>(victim) << 32) | aggressor;
    }
    Entry &entry(std::uint32_t victim, std::uint32_t aggressor, const Estimate &prior,
                 TimePoint at);
    Estimate lookUp(std::uint32_t victim, std::uint32_t aggressor, const Estimate &prior) const;

    InterferenceSettings settings_;
    std::unordered_map<std::uint64_t, Entry> entries_;
};

} // namespace Oleander::Placement
