#pragma once

#include "Placement/clusterview.h"
#include "Placement/interferencemodel.h"
#include "Placement/policyweights.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Oleander::Placement {

/** One step that reduces the load beside a slow service. */
struct ReliefStep
{
    enum class Kind { Throttle, Evict };

    Kind kind = Kind::Throttle;
    std::string task;
    std::uint32_t throttlePercent = 100;
    std::string reason;
};

/**
 * \class ReliefPlanner
 * \brief Plans steps for services that their neighbours slow down: first throttles batch
 * neighbours, then evicts them. Services are never throttled or evicted.
 *
 * After a step on a worker it takes no further step there until reports measured after the step
 * can have arrived.
 */
class ReliefPlanner
{
public:
    explicit ReliefPlanner(const PolicyWeights &weights) : weights_(weights) {}

    /** Records that a service on the worker reported its latency. */
    void noteReport(ViewId worker) { reportedWorkers_.insert(worker); }
    /** Returns the steps to take now. */
    std::vector<ReliefStep> plan(const ClusterView &view, const InterferenceModel &model,
                                 TimePoint now);

private:
    void planForWorker(ViewId viewId, const ClusterView &view, const InterferenceModel &model,
                       TimePoint now, std::vector<ReliefStep> &steps);
    void relaxThrottle(const WorkerView &worker, TimePoint &lastStep, TimePoint now,
                       std::vector<ReliefStep> &steps) const;

    PolicyWeights weights_;
    std::set<ViewId> reportedWorkers_;
    std::map<ViewId, TimePoint> lastSteps_;
};

} // namespace Oleander::Placement
