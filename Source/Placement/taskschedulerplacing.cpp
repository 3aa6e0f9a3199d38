#include "Placement/fitting.h"
#include "Placement/taskscheduler.h"

#include <fmt/format.h>

#include <algorithm>

namespace Oleander::Placement {

std::optional<TaskPlacement> TaskScheduler::placementFor(const Task &task)
{
    Demand demand{traitsOf(task), task.failedOn};
    auto chosen = policy_.choose(demand, view_);
    if (!chosen && !demand.avoid.empty()) {
        demand.avoid.clear();
        chosen = policy_.choose(demand, view_);
    }
    if (!chosen)
        return std::nullopt;
    const std::string &name = view_.worker(*chosen).name;
    return TaskPlacement{task.id, task.attempt + 1, name, book_.worker(name)->session};
}

std::vector<TaskPlacement> TaskScheduler::probes(std::vector<std::string> &candidates,
                                                 WallTime wall)
{
    std::vector<TaskPlacement> placements;
    for (const std::string &name : suspended_) {
        const Worker *worker = book_.worker(name);
        if (!worker || worker->health != WorkerHealth::Suspended || worker->lost
            || !worker->drain.empty() || wall < worker->probeAt)
            continue;
        // A task that failed elsewhere would say little about the worker.
        const auto probe = std::find_if(candidates.begin(), candidates.end(), [&](const auto &id) {
            const Task &task = *book_.task(id);
            return task.failures == 0 && !task.isService() && task.mayRestart()
                   && book_.ledger().fits(name, task.declared);
        });
        if (probe == candidates.end())
            continue;
        placements.push_back({*probe, book_.task(*probe)->attempt + 1, name, worker->session});
        candidates.erase(probe);
    }
    return placements;
}

void TaskScheduler::placeWaiting(TimePoint now, WallTime wall)
{
    if (underWay_.contains("place"))
        return;
    while (!delayed_.empty() && delayed_.begin()->first <= wall) {
        const std::string id = delayed_.begin()->second;
        delayed_.erase(delayed_.begin());
        delays_.erase(id);
        enqueue(*book_.task(id));
    }
    std::vector<std::string> candidates = queue_.next(settings_.lookAhead);
    PlaceTasks command;
    command.at = wall;
    command.placements = probes(candidates, wall);
    std::vector<Resources> withoutRoom;
    for (const std::string &id : candidates) {
        if (command.placements.size() >= settings_.batch)
            break;
        const Task &task = *book_.task(id);
        const bool isHopeless =
            std::any_of(withoutRoom.begin(), withoutRoom.end(),
                        [&](const Resources &size) { return fitsInto(size, task.declared); });
        const auto placement = isHopeless ? std::nullopt : placementFor(task);
        if (!placement) {
            if (!isHopeless)
                withoutRoom.push_back(task.declared);
            waitReasons_.try_emplace(
                id, fmt::format("No worker has {} free now.", describe(task.declared)));
            continue;
        }
        command.placements.push_back(*placement);
        addResident(task, task.declared, view_.workerNumber(placement->worker), now);
    }
    if (command.placements.empty())
        return;
    std::vector<std::string> ids;
    for (const TaskPlacement &placement : command.placements)
        ids.push_back(placement.task);
    proposeOnce("place", std::move(command), [this, ids, now] {
        // Whatever was refused must leave the view again.
        for (const std::string &id : ids)
            followTask(id, now);
    });
}

} // namespace Oleander::Placement
