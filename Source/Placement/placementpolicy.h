#pragma once

#include "Base/nametable.h"
#include "Placement/baselinechoosers.h"
#include "Placement/clusterview.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace Oleander::Placement {

/** Ways to choose a worker. */
enum class PolicyKind { FirstFit, LeastLoaded, Random };

inline constexpr NameTable<PolicyKind, 3> PolicyKindNames = {{
    {PolicyKind::FirstFit, "first-fit"},
    {PolicyKind::LeastLoaded, "least-loaded"},
    {PolicyKind::Random, "random"},
}};

/**
 * \class PlacementPolicy
 * \brief Decides where tasks go; one interface over all ways to choose.
 */
class PlacementPolicy
{
public:
    explicit PlacementPolicy(PolicyKind kind, std::uint32_t seed = 1);

    /** Returns a worker with room for the task, or nothing when there is none. */
    std::optional<Number> choose(const Demand &demand, const ClusterView &view, TimePoint now);

private:
    std::variant<FirstFit, LeastLoaded, RandomChoice> chooser_;
};

} // namespace Oleander::Placement
