#pragma once

#include "Base/nametable.h"
#include "Placement/baselinechoosers.h"
#include "Placement/clusterview.h"
#include "Placement/pairwisechooser.h"
#include "Placement/policyweights.h"
#include "Placement/reliefplanner.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace Oleander::Placement {

/** Algorithm that chooses a worker. */
enum class PolicyKind { FirstFit, LeastLoaded, Random, Pairwise };

inline constexpr NameTable<PolicyKind, 4> PolicyKindNames = {{
    {PolicyKind::FirstFit, "first-fit"},
    {PolicyKind::LeastLoaded, "least-loaded"},
    {PolicyKind::Random, "random"},
    {PolicyKind::Pairwise, "pairwise"},
}};

/**
 * \class PlacementPolicy
 * \brief Common interface of all placement algorithms and of the relief of services.
 *
 * The baseline algorithms ignore reports and plan no relief.
 */
class PlacementPolicy
{
public:
    explicit PlacementPolicy(PolicyKind kind, std::uint32_t seed = 1,
                             const PolicyWeights &weights = {});

    /** Returns a worker with room for the task, or nothing when there is none. */
    std::optional<ViewId> choose(const PlacementRequest &request, const ClusterView &view);
    /** Sets in \a view the expected usage of a task that was just placed. */
    void applyExpectedUsage(Resident &resident, ClusterView &view);
    /** Updates \a view from a report and learns from it. */
    void report(const UsageSample &sample, ClusterView &view);
    /** Returns the relief steps to take now. */
    std::vector<ReliefStep> planRelief(const ClusterView &view, TimePoint now);

private:
    std::variant<FirstFit, LeastLoaded, RandomChoice, PairwiseChooser> chooser_;
    ReliefPlanner relief_;
};

} // namespace Oleander::Placement
