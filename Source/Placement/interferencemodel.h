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

/** Constants of the estimator; slowdowns are natural logarithms of ratios. */
struct InterferenceSettings
{
    /** What is expected of a pair that was never seen together, for a whole worker's processors. */
    Estimate prior{0.6, 1.0};
    /** Variance of one report. */
    double noise = 0.02;
    /** Variance that an estimate gains a second, up to that of the prior. */
    double decay = 1.0 / 3600.0;
    /** Variance of the first report of a kind of services, whose undisturbed latency is unknown. */
    double baseVariance = 4.0;
};

/** One neighbour of a task at the time of a report. */
struct Neighbour
{
    std::uint32_t kind = 0;
    /** Share of the worker's processors that it used. */
    double intensity = 0;
};

/**
 * \class InterferenceModel
 * \brief Learns from reports how much each kind of task slows down each other kind.
 *
 * The logarithm of a task's slowdown is taken as a sum over its neighbours: the effect of the pair
 * times the neighbour's intensity, and the effect of busy processors. Each report corrects all
 * terms it rests on, the less certain the more (a Kalman filter with a diagonal covariance);
 * estimates grow uncertain again with time, as load shifts.
 */
class InterferenceModel
{
public:
    explicit InterferenceModel(const InterferenceSettings &settings = {});

    /** Effect of a neighbour of kind \a aggressor on a task of kind \a victim. */
    Estimate effect(std::uint32_t victim, std::uint32_t aggressor) const;
    /** Logarithm of the undisturbed latency of a kind of services; nothing known has variance. */
    Estimate baseLogLatency(std::uint32_t victim) const;
    /** Effect of processors in use beyond the comfortable share, for a kind. */
    Estimate pressureEffect(std::uint32_t victim) const;

    /**
     * Learns from one report that was true at \a at. \a value is the logarithm of the latency of a
     * service, or of the slowdown of batch work.
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
