#pragma once

#include "Placement/task.h"

#include <map>
#include <string>

namespace Oleander::Placement {

/** Number of different tasks that have to fail in a row on a worker to suspend it. */
constexpr std::size_t FailuresToSuspend = 3;
/** At most one in this many workers is suspended at a time; at least one may be, but never all. */
constexpr std::size_t WorkersPerSuspension = 3;
/** Total failed attempts after which a batch job is held, regardless of the cause. */
constexpr std::uint32_t MaxFailures = 12;
/** Upper bound for the delays that a command carries. */
constexpr Duration MaxRetryDelay = std::chrono::minutes(10);

/**
 * Records that an attempt of \a task failed on \a worker before it had settled.
 *
 * Only a task's first failure counts against the worker: a task that fails on several workers is
 * more likely to be faulty itself.
 */
void noteFailure(Task &task, Worker &worker, WallTime at);
/** Returns why \a worker is to be suspended, or an empty string. */
std::string suspensionReason(const Worker &worker, const std::map<std::string, Worker> &workers);
/** Returns why the job is to be held as faulty, or an empty string. Services are never held. */
std::string holdReason(const Task &task);
/** Discards the failures that tasks had on a suspended worker, so that they don't count against
 * the tasks. */
void dropFailuresOnWorker(const Worker &worker, std::map<std::string, Task> &tasks);
/** Discards the failures of a held job, so that they don't count against the workers. */
void dropFailuresOfTask(const Task &task, std::map<std::string, Worker> &workers);
/** Returns true when the success of an attempt placed at \a placedAt shows that the worker is
 * healthy. */
bool provesWorkerHealthy(WallTime placedAt, const Worker &worker);

} // namespace Oleander::Placement
