#pragma once

#include "Placement/baselinechoosers.h"
#include "Placement/clusterview.h"
#include "Placement/interferencemodel.h"
#include "Placement/policyweights.h"

#include <optional>
#include <random>
#include <unordered_map>

namespace Oleander::Placement {

/** Use of one task that was true at \a at. */
struct UsageSample
{
    std::string task;
    TimePoint at{};
    double cores = 0;
    double memoryMiB = 0;
    Duration latencyP99{};
    /** Share of the undisturbed speed, or 0 when unknown. */
    double progress = 0;
};

/**
 * \class PairwiseChooser
 * \brief Chooses the worker on which a task is expected to cost its neighbours and itself least.
 *
 * It looks at a few random workers that have room, so its cost does not grow with their number,
 * and compares them by the learned effect of each pair of kinds, by expected use in place of
 * declared sizes, and by how services are spread. Whether a task fits is the ledger's matter
 * alone, by declared sizes.
 */
class PairwiseChooser
{
public:
    PairwiseChooser(const PolicyWeights &weights, std::uint32_t seed)
        : weights_(weights), random_(seed)
    {}

    std::optional<ViewId> choose(const PlacementRequest &request, const ClusterView &view);
    /** Learns from a report; call before the use is noted in the view. */
    void learn(const UsageSample &sample, const Resident &resident, const ClusterView &view);
    /** Expected use of a task of this kind in cores and MiB. */
    std::pair<double, double> expectedUse(const TaskTraits &traits) const;
    /** Expected cost of one more task on a worker; lower is better. */
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
    /** Observed over declared size by kind. */
    std::unordered_map<ViewId, Correction> corrections_;
};

/** Share of the worker's processors in use beyond which services are felt to queue. */
double cpuPressure(double coresUsed, const WorkerView &worker);

} // namespace Oleander::Placement
