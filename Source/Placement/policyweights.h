#pragma once

#include "Base/clock.h"

namespace Oleander::Placement {

/** Weights of the terms in a placement decision. The two presets differ in the first three. */
struct PolicyWeights
{
    /** Cost of increasing the tail latency of a service. */
    double latency = 4.0;
    /** Cost of slowing down batch work. */
    double throughput = 1.0;
    /** Cost of one eviction. */
    double eviction = 1.0;

    /** Number of standard deviations added to the mean of an estimated effect. */
    double caution = 0.5;
    /** Costs of another replica of a service in the same failure domain, rack and worker. */
    double sameDomain = 2.0;
    double sameRack = 4.0;
    double sameWorker = 8.0;
    /** Target share of free processors on workers with services, and of free memory on all
     * workers. */
    double serviceHeadroom = 0.25;
    double memoryHeadroom = 0.1;
    /** Costs of using the headroom of processors and of memory; the latter is multiplied by the
     * eviction weight. */
    double pressure = 20.0;
    double memoryPressure = 200.0;
    /** Number of workers compared in one decision. */
    unsigned candidates = 16;
};

/** Weights that favour tail latency of services. */
constexpr PolicyWeights latencyFirst()
{
    return {};
}

/** Weights that value batch throughput nearly as much as tail latency. */
constexpr PolicyWeights throughputFirst()
{
    PolicyWeights weights;
    weights.latency = 3.0;
    weights.throughput = 2.0;
    return weights;
}

} // namespace Oleander::Placement
