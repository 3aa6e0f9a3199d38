#include "Placement/placementpolicy.h"

namespace Oleander::Placement {

PlacementPolicy::PlacementPolicy(PolicyKind kind, std::uint32_t seed)
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
    }
}

std::optional<Number> PlacementPolicy::choose(const Demand &demand, const ClusterView &view,
                                              TimePoint)
{
    return std::visit([&](auto &chooser) { return chooser.choose(demand, view); }, chooser_);
}

} // namespace Oleander::Placement
