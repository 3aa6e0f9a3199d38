#include "Placement/baselinechoosers.h"

#include "Placement/workerledger.h"

namespace Oleander::Placement {

namespace {

constexpr int RandomAttempts = 8;

bool isAvoided(const PlacementRequest &request, const WorkerView &worker)
{
    return request.avoidedWorkers.contains(worker.name);
}

} // namespace

std::optional<ViewId> FirstFit::choose(const PlacementRequest &request, const ClusterView &view)
{
    auto found = view.capacities().findFirst(request.traits.declared);
    while (found && isAvoided(request, view.workers()[*found]))
        found = view.capacities().findFirst(request.traits.declared, *found + 1);
    if (!found)
        return std::nullopt;
    return static_cast<ViewId>(*found);
}

std::optional<ViewId> LeastLoaded::choose(const PlacementRequest &request, const ClusterView &view)
{
    for (const auto &[load, viewId] : view.byLoad()) {
        const WorkerView &worker = view.worker(viewId);
        if (fitsInto(request.traits.declared, worker.available) && !isAvoided(request, worker))
            return viewId;
    }
    return std::nullopt;
}

std::optional<ViewId> RandomChoice::choose(const PlacementRequest &request, const ClusterView &view)
{
    for (int attempt = 0; attempt < RandomAttempts; ++attempt) {
        const auto found = view.capacities().findAny(request.traits.declared, random);
        if (!found)
            return std::nullopt;
        if (!isAvoided(request, view.workers()[*found]))
            return static_cast<ViewId>(*found);
    }
    return FirstFit{}.choose(request, view);
}

} // namespace Oleander::Placement
