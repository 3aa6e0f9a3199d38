#pragma once

#include "Placement/baselinechoosers.h"
#include "Placement/clusterview.h"
#include "Placement/interferencemodel.h"
#include "Placement/policyweights.h"

#include <optional>
#include <random>
#include <unordered_map>

namespace Oleander::Placement {

/** Resource usage and performance of one task, measured at \a at. */
struct UsageSample
{
    std::string task;
    TimePoint at{};
    double cores = 0;
    double memoryMiB = 0;
    Duration latencyP99{};
    /** Speed as a share of the undisturbed speed, or 0 when unknown. */
    double progress = 0;
};

/**
 * \class PairwiseChooser
 * \brief Chooses the worker with the lowest expected cost of interference for a task and its
 * neighbours.
 *
 * It compares a few random workers that have room, so the time of a decision does not grow with the
 * number of workers. The cost includes the learned effect of each pair of kinds, the expected usage
 * instead of declared sizes, and the spread of services. Only the ledger decides whether a task
 * fits, by declared sizes.
 */
class PairwiseChooser
{
public:
    PairwiseChooser(const PolicyWeights &weights, std::uint32_t seed)
        : weights_(weights), random_(seed)
    {}

    std::optional<ViewId> choose(const PlacementRequest &request, const ClusterView &view);
    /** Learns from a report; must be called before the view is updated with its usage. */
    void learn(const UsageSample &sample, const Resident &resident, const ClusterView &view);
    /** Expected usage of a task of this kind in cores and MiB. */
    std::pair<double, double> expectedUse(const TaskTraits &traits) const;
    /** Expected cost of placing the task on a worker; lower is better. */
    double cost(const TaskTraits &traits, const WorkerView &worker, const ClusterView &view) const;
    const InterferenceModel &model() const { return model_; }

private:
    struct Correction
    {
        double cores = 1;
        double memory = 1;
        double weight = 1;
    };

    double effectOn(const Resident &victim, const TaskTraits &traits, double intensity,
                    const WorkerView &worker) const;
    double upperEstimate(const Estimate &estimate) const;
    double spreadCost(const TaskTraits &traits, const WorkerView &worker,
                      const ClusterView &view) const;

    PolicyWeights weights_;
    std::minstd_rand random_;
    InterferenceModel model_;
    /** Ratio of observed usage to declared size by kind. */
    std::unordered_map<ViewId, Correction> corrections_;
};

/** Returns the share of the worker's processors that is used above the comfortable limit. */
double cpuPressure(double coresUsed, const WorkerView &worker);

} // namespace Oleander::Placement
