#include "Placement/faultattribution.h"

#include <fmt/format.h>

#include <algorithm>

namespace Oleander::Placement {

void noteFailure(Task &task, Worker &worker, WallTime at)
{
    if (task.failedOn.empty()) {
        if (worker.failedTasks.empty())
            worker.failingSince = at;
        worker.failedTasks.insert(task.id);
    }
    if (worker.health == WorkerHealth::Healthy)
        task.failedOn.insert(worker.name);
}

std::string suspensionReason(const Worker &worker, const std::map<std::string, Worker> &workers)
{
    if (worker.health != WorkerHealth::Healthy)
        return "The probe failed.";
    if (worker.failedTasks.size() < FailuresToSuspend)
        return {};
    const auto suspended = std::count_if(workers.begin(), workers.end(), [](const auto &entry) {
        return entry.second.health != WorkerHealth::Healthy;
    });
    const std::size_t allowed = std::min(
        workers.size() - 1, std::max<std::size_t>(1, workers.size() / WorkersPerSuspension));
    if (static_cast<std::size_t>(suspended) >= allowed)
        return {};
    return fmt::format("{} different tasks in a row failed on it and none ran well.",
                       worker.failedTasks.size());
}

std::string holdReason(const Task &task)
{
    if (task.isService())
        return {};
    if (task.failedOn.size() >= std::max<std::uint32_t>(1, task.maxAttempts))
        return fmt::format("The job failed on {} healthy workers.", task.failedOn.size());
    if (task.failures >= MaxFailures)
        return fmt::format("The job failed {} times.", task.failures);
    return {};
}

void dropFailuresOnWorker(const Worker &worker, std::map<std::string, Task> &tasks)
{
    for (auto &[id, task] : tasks)
        task.failedOn.erase(worker.name);
}

void dropFailuresOfTask(const Task &task, std::map<std::string, Worker> &workers)
{
    for (auto &[name, worker] : workers)
        worker.failedTasks.erase(task.id);
}

bool provesWorkerHealthy(WallTime placedAt, const Worker &worker)
{
    // An attempt that was placed before the first failure or the probe doesn't show that new
    // attempts can start now.
    return placedAt
           >= (worker.health == WorkerHealth::Healthy ? worker.failingSince : worker.probeAt);
}

} // namespace Oleander::Placement
