#include "Placement/placementpolicy.h"

#include <cmath>

namespace Oleander::Placement {

PlacementPolicy::PlacementPolicy(PolicyKind kind, std::uint32_t seed, const PolicyWeights &weights)
    : relief_(weights)
{
    switch (kind) {
    case PolicyKind::FirstFit:
        chooser_ = FirstFit{};
        break;
    case PolicyKind::LeastLoaded:
        chooser_ = LeastLoaded{};
        break;
    case PolicyKind::Random:
        chooser_ = RandomChoice{std::minstd_rand(seed)};
        break;
    case PolicyKind::Pairwise:
        chooser_ = PairwiseChooser(weights, seed);
        break;
    }
}

std::optional<ViewId> PlacementPolicy::choose(const PlacementRequest &request,
                                              const ClusterView &view)
{
    return std::visit([&](auto &chooser) { return chooser.choose(request, view); }, chooser_);
}

void PlacementPolicy::applyExpectedUsage(Resident &resident, ClusterView &view)
{
    if (const auto *pairwise = std::get_if<PairwiseChooser>(&chooser_)) {
        const auto [cores, memory] = pairwise->expectedUse(resident.traits);
        view.setUsage(resident, cores, memory);
    }
}

void PlacementPolicy::report(const UsageSample &sample, ClusterView &view)
{
    Resident *resident = view.find(sample.task);
    auto *pairwise = std::get_if<PairwiseChooser>(&chooser_);
    // A report from before the task was placed here describes another worker.
    if (!resident || !pairwise || sample.at < resident->since || sample.at <= resident->reportedAt)
        return;
    pairwise->learn(sample, *resident, view);
    view.setUsage(*resident, sample.cores, sample.memoryMiB);
    resident->reportedAt = sample.at;
    if (resident->traits.isService && sample.latencyP99 > Duration::zero()) {
        resident->logLatency = std::log(static_cast<double>(sample.latencyP99.count()));
        relief_.noteReport(resident->worker);
    }
}

std::vector<ReliefStep> PlacementPolicy::planRelief(const ClusterView &view, TimePoint now)
{
    const auto *pairwise = std::get_if<PairwiseChooser>(&chooser_);
    if (!pairwise)
        return {};
    return relief_.plan(view, pairwise->model(), now);
}

} // namespace Oleander::Placement
