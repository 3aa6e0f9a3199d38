#pragma once

#include "Placement/clusterview.h"

#include <optional>
#include <random>
#include <set>
#include <string>

namespace Oleander::Placement {

/** A request to choose a worker for a task. */
struct PlacementRequest
{
    TaskTraits traits;
    /** Workers that are not chosen because the task failed on them. */
    std::set<std::string> avoidedWorkers;
};

/** Chooses the worker with the lowest id that has room. */
struct FirstFit
{
    std::optional<ViewId> choose(const PlacementRequest &request, const ClusterView &view);
};

/** Chooses the worker with the lowest load that has room. */
struct LeastLoaded
{
    std::optional<ViewId> choose(const PlacementRequest &request, const ClusterView &view);
};

/** Chooses a random worker that has room. */
struct RandomChoice
{
    std::minstd_rand random;

    std::optional<ViewId> choose(const PlacementRequest &request, const ClusterView &view);
};

} // namespace Oleander::Placement
