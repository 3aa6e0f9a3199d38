#pragma once

#include "Base/location.h"
#include "Base/nametable.h"
#include "Records/record.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace Oleander::Placement {

/** Place of a task in its life cycle. */
enum class TaskState {
    Queued,
    Placed,
    Running,
    Checkpointing,
    Stopping,
    Evicted,
    Done,
    Failed,
    Impossible,
    Cancelled,
};

inline constexpr NameTable<TaskState, 10> TaskStateNames = {{
    {TaskState::Queued, "queued"},
    {TaskState::Placed, "placed"},
    {TaskState::Running, "running"},
    {TaskState::Checkpointing, "checkpointing"},
    {TaskState::Stopping, "stopping"},
    {TaskState::Evicted, "evicted"},
    {TaskState::Done, "done"},
    {TaskState::Failed, "failed"},
    {TaskState::Impossible, "impossible"},
    {TaskState::Cancelled, "cancelled"},
}};

/** Returns true for a state that a task never leaves by itself. */
constexpr bool isFinal(TaskState state)
{
    return state == TaskState::Done || state == TaskState::Failed || state == TaskState::Cancelled;
}

/** Why an attempt is being stopped. */
enum class StopCause { None, Cancel, Relief, Drain, Overcommitted, Unconfirmed, Replaced };

inline constexpr NameTable<StopCause, 7> StopCauseNames = {{
    {StopCause::None, "none"},
    {StopCause::Cancel, "cancel"},
    {StopCause::Relief, "relief"},
    {StopCause::Drain, "drain"},
    {StopCause::Overcommitted, "overcommitted"},
    {StopCause::Unconfirmed, "unconfirmed"},
    {StopCause::Replaced, "replaced"},
}};

/** The attempt that holds a commitment on a worker. */
struct Attempt
{
    std::string worker;
    /** Session of the worker to which the attempt belongs. */
    std::uint64_t session = 0;
    /** What the ledger holds for the attempt. */
    Resources committed;
    WallTime placedAt{};
    /** Checkpoint from which the attempt started; 0 means the beginning. */
    std::uint64_t resumedFrom = 0;
    std::uint32_t throttlePercent = 100;
    /** True once the attempt was reported to run. */
    bool confirmed = false;
    /** True once the attempt has run long enough to count as healthy. */
    bool settled = false;
    StopCause stopCause = StopCause::None;
    /** Revision of the record that the attempt carries out. */
    std::uint64_t revision = 0;
};

template<typename F>
void visitFields(F &&f, Fields<Attempt> auto &&v)
{
    f(v.worker);
    f(v.session);
    f(v.committed);
    f(v.placedAt);
    f(v.resumedFrom);
    f(v.throttlePercent);
    f(v.confirmed);
    f(v.settled);
    f(v.stopCause);
    f(v.revision);
}

/**
 * \struct Task
 * \brief One batch job, or one replica of a service, with its life so far.
 */
struct Task
{
    std::string id;
    Records::RecordKey record;
    std::uint64_t revision = 0;
    std::string team;
    bool urgent = false;
    /** False when an attempt without checkpoint must never start again. */
    bool idempotent = true;
    std::uint32_t maxAttempts = 0;
    Resources declared;
    std::string payload;
    Records::Spread spread = Records::Spread::Anywhere;
    Duration latencyTarget{};
    Duration expectedDuration{};

    TaskState state = TaskState::Queued;
    /** Why the task is in this state; a full sentence, or empty. */
    std::string reason;
    /** Number of the last attempt; never goes back for this id. */
    std::uint32_t attempt = 0;
    std::optional<Attempt> live;
    /** Last whole checkpoint of any attempt; 0 means none. */
    std::uint64_t checkpoint = 0;
    std::uint32_t failures = 0;
    /** Workers on which the task failed while nothing spoke against the worker. */
    std::set<std::string> failedOn;
    std::uint32_t evictions = 0;
    std::uint32_t interruptions = 0;
    WallTime lastEvictedAt{};
    /** The next attempt is not placed before this time. */
    WallTime notBefore{};
    WallTime queuedAt{};
    /** Position among all tasks by submission. */
    std::uint64_t order = 0;
    /** Position among the finished tasks while the state is final. */
    std::uint64_t finishOrder = 0;

    bool isService() const { return record.kind == Records::RecordKind::Service; }
    bool isWaiting() const { return state == TaskState::Queued || state == TaskState::Evicted; }
    /** True when a new attempt repeats nothing that must not be repeated. */
    bool mayRestart() const { return isService() || idempotent || checkpoint > 0; }
};

template<typename F>
void visitFields(F &&f, Fields<Task> auto &&v)
{
    f(v.id);
    f(v.record);
    f(v.revision);
    f(v.team);
    f(v.urgent);
    f(v.idempotent);
    f(v.maxAttempts);
    f(v.declared);
    f(v.payload);
    f(v.spread);
    f(v.latencyTarget);
    f(v.expectedDuration);
    f(v.state);
    f(v.reason);
    f(v.attempt);
    f(v.live);
    f(v.checkpoint);
    f(v.failures);
    f(v.failedOn);
    f(v.evictions);
    f(v.interruptions);
    f(v.lastEvictedAt);
    f(v.notBefore);
    f(v.queuedAt);
    f(v.order);
    f(v.finishOrder);
}

/** Whether a worker gets work. */
enum class WorkerHealth { Healthy, Suspended, Probing };

inline constexpr NameTable<WorkerHealth, 3> WorkerHealthNames = {{
    {WorkerHealth::Healthy, "healthy"},
    {WorkerHealth::Suspended, "suspended"},
    {WorkerHealth::Probing, "probing"},
}};

/**
 * \struct Worker
 * \brief One worker as the replicated state knows it.
 */
struct Worker
{
    std::string name;
    Location location;
    Resources capacity;
    /** Longest lease that any leader grants this worker. */
    Duration lease{};
    /** Goes up each time the worker is declared lost; attempts of lower sessions have ended. */
    std::uint64_t session = 1;
    bool lost = false;
    WorkerHealth health = WorkerHealth::Healthy;
    /** Why the worker is suspended; a full sentence, or empty. */
    std::string reason;
    /** Tasks that failed here since one last ran well. */
    std::set<std::string> failedTasks;
    WallTime failingSince{};
    std::uint32_t suspensions = 0;
    /** A suspended worker is probed from this time on. */
    WallTime probeAt{};
    /** Drain record in force for the worker; empty when there is none. */
    std::string drain;
    bool drained = false;
    /** Why the drain cannot finish now; a full sentence, or empty. */
    std::string drainBlocked;
};

template<typename F>
void visitFields(F &&f, Fields<Worker> auto &&v)
{
    f(v.name);
    f(v.location);
    f(v.capacity);
    f(v.lease);
    f(v.session);
    f(v.lost);
    f(v.health);
    f(v.reason);
    f(v.failedTasks);
    f(v.suspensions);
    f(v.probeAt);
    f(v.drain);
    f(v.drained);
    f(v.drainBlocked);
    f(v.failingSince);
}

} // namespace Oleander::Placement
