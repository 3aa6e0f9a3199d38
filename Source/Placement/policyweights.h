#pragma once

#include "Base/clock.h"

namespace Oleander::Placement {

/** What a decision weighs; the two users differ in the first three. */
struct PolicyWeights
{
    /** Price of slowing down the tail of a service. */
    double latency = 4.0;
    /** Price of slowing down batch work. */
    double throughput = 1.0;
    /** Price of one eviction. */
    double eviction = 1.0;

    /** Standard deviations of caution that are added to uncertain effects. */
    double caution = 0.5;
    /** Price of a second replica of a service in the same failure domain, rack, worker. */
    double sameDomain = 2.0;
    double sameRack = 4.0;
    double sameWorker = 8.0;
    /** Share of processors and memory that is left free beside services and beside batch work. */
    double serviceHeadroom = 0.25;
    double memoryHeadroom = 0.1;
    /** Prices of using up the headroom of processors and, for each eviction's price, of memory. */
    double pressure = 20.0;
    double memoryPressure = 200.0;
    /** Workers that are looked at for one decision. */
    unsigned candidates = 16;
};

/** Weights of the user that weighs tail latency most. */
constexpr PolicyWeights latencyFirst()
{
    return {};
}

/** Weights of the user that weighs batch throughput nearly as much. */
constexpr PolicyWeights throughputFirst()
{
    PolicyWeights weights;
    weights.latency = 3.0;
    weights.throughput = 2.0;
    return weights;
}

} // namespace Oleander::Placement
