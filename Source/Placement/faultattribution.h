#pragma once

#include "Placement/task.h"

#include <map>
#include <string>

namespace Oleander::Placement {

/** Different tasks that fail in a row on a worker before it is suspended. */
constexpr std::size_t FailuresToSuspend = 3;
/** One of so many workers may be suspended at a time, and at least one, but never all. */
constexpr std::size_t WorkersPerSuspension = 3;
/** Failed attempts of a batch job in all, wherever the fault lies, before it is held. */
constexpr std::uint32_t MaxFailures = 12;
/** No backoff that a command carries is longer. */
constexpr Duration MaxRetryDelay = std::chrono::minutes(10);

/**
 * Notes that an attempt of \a task failed on \a worker before it had settled.
 *
 * A task speaks against a worker only with its first failure: one that fails on worker after
 * worker is more likely at fault itself.
 */
void noteFailure(Task &task, Worker &worker, WallTime at);
/** Returns why \a worker is to be suspended, or an empty text. */
std::string suspensionReason(const Worker &worker, const std::map<std::string, Worker> &workers);
/** Returns why the job is to be held as faulty itself, or an empty text; services never are. */
std::string holdReason(const Task &task);
/** Takes the failures on a suspended worker off the accounts of the tasks. */
void dropFailuresOnWorker(const Worker &worker, std::map<std::string, Task> &tasks);
/** Takes the failures of a held job off the accounts of the workers. */
void dropFailuresOfTask(const Task &task, std::map<std::string, Worker> &workers);
/** Returns true when an attempt that was placed at \a placedAt and ran well clears the worker. */
bool provesWorkerHealthy(WallTime placedAt, const Worker &worker);

} // namespace Oleander::Placement
