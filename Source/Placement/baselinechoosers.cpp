#include "Placement/baselinechoosers.h"

#include "Placement/workerledger.h"

namespace Oleander::Placement {

namespace {

constexpr int RandomAttempts = 8;

bool isAvoided(const Demand &demand, const WorkerView &worker)
{
    return demand.avoid.contains(worker.name);
}

} // namespace

std::optional<Number> FirstFit::choose(const Demand &demand, const ClusterView &view)
{
    auto found = view.capacities().first(demand.traits.declared);
    while (found && isAvoided(demand, view.workers()[*found]))
        found = view.capacities().first(demand.traits.declared, *found + 1);
    if (!found)
        return std::nullopt;
    return static_cast<Number>(*found);
}

std::optional<Number> LeastLoaded::choose(const Demand &demand, const ClusterView &view)
{
    for (const auto &[load, number] : view.byLoad()) {
        const WorkerView &worker = view.worker(number);
        if (fitsInto(demand.traits.declared, worker.available) && !isAvoided(demand, worker))
            return number;
    }
    return std::nullopt;
}

std::optional<Number> RandomChoice::choose(const Demand &demand, const ClusterView &view)
{
    for (int attempt = 0; attempt < RandomAttempts; ++attempt) {
        const auto found = view.capacities().any(demand.traits.declared, random);
        if (!found)
            return std::nullopt;
        if (!isAvoided(demand, view.workers()[*found]))
            return static_cast<Number>(*found);
    }
    return FirstFit{}.choose(demand, view);
}

} // namespace Oleander::Placement
