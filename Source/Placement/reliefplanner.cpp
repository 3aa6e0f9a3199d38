#include "Placement/reliefplanner.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace Oleander::Placement {

namespace {

/** Time to wait after a step. Reports arrive up to 30 s late, and only those measured after the
 * step show its effect. */
constexpr Duration SettleTime = std::chrono::seconds(35);
/** Latency target, as a multiple of the undisturbed latency, of services without a configured
 * target. */
constexpr double DefaultTargetRatio = 2.0;
/** Share of the latency target below which throttles are relaxed. */
constexpr double UnthrottleRatio = 0.7;
/** Minimum effect, as a logarithm, for which a neighbour is throttled or evicted. */
constexpr double MinEffect = 0.1;
constexpr std::uint32_t FirstThrottlePercent = 50;
constexpr std::uint32_t LastThrottlePercent = 25;

/** Returns the logarithm of the service's latency divided by its target, or -1 without a report. */
double logLatencyOverTarget(const Resident &service, const InterferenceModel &model)
{
    if (service.reportedAt == TimePoint())
        return -1.0;
    const double target =
        service.traits.latencyTarget > Duration::zero()
            ? std::log(static_cast<double>(service.traits.latencyTarget.count()))
            : model.baseLogLatency(service.traits.kind).mean + std::log(DefaultTargetRatio);
    return service.logLatency - target;
}

/** Returns the batch neighbour with the largest estimated effect on \a service, and the effect. */
std::pair<const Resident *, double>
worstNeighbour(const Resident &service, const WorkerView &worker, const InterferenceModel &model)
{
    constexpr double MilliCoresPerCore = 1000.0;
    const double total = std::max(1.0, worker.capacity.milliCores / MilliCoresPerCore);
    std::pair<const Resident *, double> worst = {nullptr, 0.0};
    for (const Resident *other : worker.residents) {
        if (other->traits.isService || other->isLeaving)
            continue;
        const double effect =
            model.effect(service.traits.kind, other->traits.kind).mean * other->cores / total;
        if (effect > worst.second)
            worst = {other, effect};
    }
    return worst;
}

} // namespace

std::vector<ReliefStep> ReliefPlanner::plan(const ClusterView &view, const InterferenceModel &model,
                                            TimePoint now)
{
    std::vector<ReliefStep> steps;
    for (const ViewId worker : reportedWorkers_)
        planForWorker(worker, view, model, now, steps);
    reportedWorkers_.clear();
    return steps;
}

void ReliefPlanner::planForWorker(ViewId viewId, const ClusterView &view,
                                  const InterferenceModel &model, TimePoint now,
                                  std::vector<ReliefStep> &steps)
{
    const WorkerView &worker = view.worker(viewId);
    TimePoint &lastStep = lastSteps_[viewId];
    if (lastStep != TimePoint() && now < lastStep + SettleTime)
        return;
    const Resident *slowestService = nullptr;
    double maxExcess = -1.0;
    for (const Resident *resident : worker.residents) {
        const double excess =
            resident->traits.isService ? logLatencyOverTarget(*resident, model) : -1.0;
        if (excess > maxExcess) {
            maxExcess = excess;
            slowestService = resident;
        }
    }
    if (!slowestService || maxExcess < std::log(UnthrottleRatio)) {
        relaxThrottle(worker, lastStep, now, steps);
        return;
    }
    if (maxExcess <= 0)
        return;
    const auto [offender, effect] = worstNeighbour(*slowestService, worker, model);
    if (!offender || effect < MinEffect)
        return;
    const std::string reason =
        fmt::format("The latency of service task {} is {:.1f} times its target.",
                    slowestService->traits.id, std::exp(maxExcess));
    if (offender->throttlePercent > LastThrottlePercent) {
        const std::uint32_t next = offender->throttlePercent > FirstThrottlePercent
                                       ? FirstThrottlePercent
                                       : LastThrottlePercent;
        steps.push_back({ReliefStep::Kind::Throttle, offender->traits.id, next, reason});
        lastStep = now;
        return;
    }
    // Throttling was not enough; evict only if the benefit exceeds the cost of an eviction.
    if (offender->traits.mayRestart && weights_.latency * effect > weights_.eviction) {
        steps.push_back({ReliefStep::Kind::Evict, offender->traits.id, 100, reason});
        lastStep = now;
    }
}

void ReliefPlanner::relaxThrottle(const WorkerView &worker, TimePoint &lastStep, TimePoint now,
                                  std::vector<ReliefStep> &steps) const
{
    const auto throttled =
        std::find_if(worker.residents.begin(), worker.residents.end(),
                     [](const Resident *resident) { return resident->throttlePercent < 100; });
    if (throttled == worker.residents.end())
        return;
    const std::uint32_t next =
        (*throttled)->throttlePercent < FirstThrottlePercent ? FirstThrottlePercent : 100;
    steps.push_back({ReliefStep::Kind::Throttle, (*throttled)->traits.id, next,
                     "The services on the worker are well within their latency targets."});
    lastStep = now;
}

} // namespace Oleander::Placement
