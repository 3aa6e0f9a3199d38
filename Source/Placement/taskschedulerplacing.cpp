#include "Placement/fitting.h"
#include "Placement/taskscheduler.h"

#include <fmt/format.h>

#include <algorithm>

namespace Oleander::Placement {

std::optional<TaskPlacement> TaskScheduler::placementFor(const Task &task)
{
    PlacementRequest request{traitsOf(task), task.failedOn};
    auto chosen = policy_.choose(request, view_);
    if (!chosen && !request.avoidedWorkers.empty()) {
        request.avoidedWorkers.clear();
        chosen = policy_.choose(request, view_);
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
    for (const std::string &name : suspendedWorkers_) {
        const Worker *worker = book_.worker(name);
        if (!worker || worker->health != WorkerHealth::Suspended || worker->lost
            || !worker->drain.empty() || wall < worker->probeAt)
            continue;
        // A task that failed before would show little about the worker.
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
    if (proposalsInFlight_.contains("place"))
        return;
    while (!delayedTasks_.empty() && delayedTasks_.begin()->first <= wall) {
        const std::string id = delayedTasks_.begin()->second;
        delayedTasks_.erase(delayedTasks_.begin());
        delayEnds_.erase(id);
        enqueue(*book_.task(id));
    }
    std::vector<std::string> candidates = queue_.next(settings_.lookAhead);
    PlaceTasks command;
    command.at = wall;
    command.placements = probes(candidates, wall);
    std::vector<Resources> sizesWithoutRoom;
    for (const std::string &id : candidates) {
        if (command.placements.size() >= settings_.maxCommandSize)
            break;
        const Task &task = *book_.task(id);
        const bool exceedsKnownRoom =
            std::any_of(sizesWithoutRoom.begin(), sizesWithoutRoom.end(),
                        [&](const Resources &size) { return fitsInto(size, task.declared); });
        const auto placement = exceedsKnownRoom ? std::nullopt : placementFor(task);
        if (!placement) {
            if (!exceedsKnownRoom)
                sizesWithoutRoom.push_back(task.declared);
            waitReasons_.try_emplace(
                id, fmt::format("No worker has {} free now.", describe(task.declared)));
            continue;
        }
        command.placements.push_back(*placement);
        addResident(task, task.declared, view_.workerId(placement->worker), now);
    }
    if (command.placements.empty())
        return;
    std::vector<std::string> ids;
    for (const TaskPlacement &placement : command.placements)
        ids.push_back(placement.task);
    proposeOnce("place", std::move(command), [this, ids, now] {
        // Removes refused placements from the view.
        for (const std::string &id : ids)
            syncTask(id, now);
    });
}

} // namespace Oleander::Placement
