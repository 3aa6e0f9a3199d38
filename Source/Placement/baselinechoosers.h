#pragma once

#include "Placement/clusterview.h"

#include <optional>
#include <random>
#include <set>
#include <string>

namespace Oleander::Placement {

/** A task that looks for a worker. */
struct PlacementRequest
{
    TaskTraits traits;
    /** Workers to keep away from: the task failed there. */
    std::set<std::string> avoidedWorkers;
};

/** Chooses the first worker that has room. */
struct FirstFit
{
    std::optional<ViewId> choose(const PlacementRequest &request, const ClusterView &view);
};

/** Chooses the worker with the lowest load that has room. */
struct LeastLoaded
{
    std::optional<ViewId> choose(const PlacementRequest &request, const ClusterView &view);
};

/** Chooses any worker that has room. */
struct RandomChoice
{
    std::minstd_rand random;

    std::optional<ViewId> choose(const PlacementRequest &request, const ClusterView &view);
};

} // namespace Oleander::Placement
