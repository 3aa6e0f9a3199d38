#include "Placement/pairwisechooser.h"

#include "Placement/fitting.h"
#include "Placement/workerledger.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Oleander::Placement {

namespace {

/** Share of the processors up to which their use causes no slowdown. */
constexpr double ComfortableShare = 0.75;
/** Maximum weight of the past reports relative to a new one. */
constexpr double MaxCorrectionWeight = 50;
/** Exponent of the cost of tail latency, which grows faster the slower the service already is. */
constexpr double TailExponent = 2.0;
constexpr double MaxLogSlowdown = 4.0;
constexpr unsigned ProbesPerCandidate = 2;

double wholeCores(const WorkerView &worker)
{
    return std::max(1.0, coresOf(worker.capacity));
}

/** Returns the square of the part of \a share above \a limit. */
double squaredExcess(double share, double limit)
{
    const double over = std::max(0.0, share - limit);
    return over * over;
}

} // namespace

double cpuPressure(double coresUsed, const WorkerView &worker)
{
    return std::max(0.0, coresUsed / wholeCores(worker) - ComfortableShare);
}

std::pair<double, double> PairwiseChooser::expectedUse(const TaskTraits &traits) const
{
    const auto found = corrections_.find(traits.kind);
    const Correction correction = found == corrections_.end() ? Correction{} : found->second;
    return {coresOf(traits.declared) * correction.cores,
            static_cast<double>(traits.declared.memoryMiB) * correction.memory};
}

double PairwiseChooser::upperEstimate(const Estimate &estimate) const
{
    return std::max(0.0, estimate.mean) + weights_.caution * std::sqrt(estimate.variance);
}

double PairwiseChooser::effectOn(const Resident &victim, const TaskTraits &traits, double intensity,
                                 const WorkerView &worker) const
{
    const double added = upperEstimate(model_.effect(victim.traits.kind, traits.kind)) * intensity;
    if (!victim.traits.isService) {
        return weights_.throughput * (1.0 - std::exp(-added)) * victim.cores / wholeCores(worker);
    }
    const Estimate base = model_.baseLogLatency(victim.traits.kind);
    const bool hasReport = victim.reportedAt != TimePoint();
    const double now =
        hasReport ? std::clamp(victim.logLatency - base.mean, 0.0, MaxLogSlowdown) : 0.0;
    return weights_.latency
           * (std::exp(TailExponent * (now + added)) - std::exp(TailExponent * now)) / TailExponent;
}

double PairwiseChooser::spreadCost(const TaskTraits &traits, const WorkerView &worker,
                                   const ClusterView &view) const
{
    if (traits.group == NoViewId || traits.spread == Records::Spread::Anywhere)
        return 0;
    double cost = weights_.sameRack * view.groupInRack(traits.group, worker.rack);
    if (traits.spread == Records::Spread::FailureDomain)
        cost += weights_.sameDomain * view.groupInDomain(traits.group, worker.failureDomain);
    for (const Resident *resident : worker.residents) {
        if (resident->traits.group == traits.group)
            cost += weights_.sameWorker;
    }
    return cost;
}

double PairwiseChooser::cost(const TaskTraits &traits, const WorkerView &worker,
                             const ClusterView &view) const
{
    const auto [cores, memory] = expectedUse(traits);
    const double total = wholeCores(worker);
    const double intensity = cores / total;
    double cost = spreadCost(traits, worker, view);
    double ownSlowdown = 0;
    bool hasService = traits.isService;
    for (const Resident *resident : worker.residents) {
        cost += effectOn(*resident, traits, intensity, worker);
        ownSlowdown += upperEstimate(model_.effect(traits.kind, resident->traits.kind))
                       * resident->cores / total;
        hasService = hasService || resident->traits.isService;
    }
    cost += traits.isService
                ? weights_.latency * (std::exp(TailExponent * ownSlowdown) - 1) / TailExponent
                : weights_.throughput * (1.0 - std::exp(-ownSlowdown)) * intensity;
    const double limit = 1.0 - (hasService ? weights_.serviceHeadroom : 0.0);
    const double used = worker.coresUsed / total;
    cost +=
        weights_.pressure * (squaredExcess(used + intensity, limit) - squaredExcess(used, limit));
    const double memoryTotal = std::max(1.0, static_cast<double>(worker.capacity.memoryMiB));
    const double memoryShare = worker.memoryUsed / memoryTotal;
    const double memoryLimit = 1.0 - weights_.memoryHeadroom;
    cost += weights_.eviction * weights_.memoryPressure
            * (squaredExcess(memoryShare + memory / memoryTotal, memoryLimit)
               - squaredExcess(memoryShare, memoryLimit));
    // Keeps workers with free accelerators available for tasks that need them.
    if (traits.declared.accelerators == 0 && worker.available.accelerators > 0)
        cost += weights_.throughput * intensity;
    return cost;
}

std::optional<ViewId> PairwiseChooser::choose(const PlacementRequest &request,
                                              const ClusterView &view)
{
    std::optional<ViewId> best;
    double lowestCost = std::numeric_limits<double>::max();
    unsigned evaluated = 0;
    for (unsigned probe = 0; probe < ProbesPerCandidate * weights_.candidates; ++probe) {
        const auto found = view.capacities().findAny(request.traits.declared, random_);
        if (!found)
            return std::nullopt;
        const auto viewId = static_cast<ViewId>(*found);
        const WorkerView &worker = view.worker(viewId);
        if (viewId == best || request.avoidedWorkers.contains(worker.name))
            continue;
        const double candidateCost = cost(request.traits, worker, view);
        if (candidateCost < lowestCost) {
            lowestCost = candidateCost;
            best = viewId;
        }
        if (++evaluated >= weights_.candidates)
            break;
    }
    return best ? best : FirstFit{}.choose(request, view);
}

void PairwiseChooser::learn(const UsageSample &sample, const Resident &resident,
                            const ClusterView &view)
{
    const TaskTraits &traits = resident.traits;
    const double declaredCores = coresOf(traits.declared);
    if (declaredCores > 0 && traits.declared.memoryMiB > 0 && resident.throttlePercent == 100) {
        Correction &correction = corrections_[traits.kind];
        const double share = 1.0 / (correction.weight + 1.0);
        correction.cores += (sample.cores / declaredCores - correction.cores) * share;
        correction.memory +=
            (sample.memoryMiB / static_cast<double>(traits.declared.memoryMiB) - correction.memory)
            * share;
        correction.weight = std::min(MaxCorrectionWeight, correction.weight + 1.0);
    }
    const bool hasLatency = traits.isService && sample.latencyP99 > Duration::zero();
    const bool hasProgress =
        !traits.isService && sample.progress > 0 && resident.throttlePercent == 100;
    if ((!hasLatency && !hasProgress) || sample.at < resident.since)
        return;
    const WorkerView &worker = view.worker(resident.worker);
    const double total = wholeCores(worker);
    std::vector<Neighbour> neighbours;
    double used = 0;
    for (const Resident *other : worker.residents) {
        if (other->since > sample.at)
            continue;
        used += other->cores;
        if (other != &resident)
            neighbours.push_back({other->traits.kind, other->cores / total});
    }
    for (const FormerResident &former : worker.former) {
        if (former.since <= sample.at && sample.at < former.until) {
            used += former.cores;
            neighbours.push_back({former.kind, former.cores / total});
        }
    }
    const double value = hasLatency ? std::log(static_cast<double>(sample.latencyP99.count()))
                                    : -std::log(std::min(1.0, sample.progress));
    model_.learn(traits.kind, traits.isService, neighbours, cpuPressure(used, worker), value,
                 sample.at);
}

} // namespace Oleander::Placement
