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
    /** Resources that the ledger has committed to the attempt. */
    Resources committed;
    WallTime placedAt{};
    /** Checkpoint from which the attempt started; 0 means the beginning. */
    std::uint64_t resumedFrom = 0;
    std::uint32_t throttlePercent = 100;
    /** True once the worker reported the attempt as running. */
    bool confirmed = false;
    /** True once the attempt has run long enough to count as healthy. */
    bool settled = false;
    StopCause stopCause = StopCause::None;
    /** Revision of the record from which the attempt was placed. */
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
 * \brief A batch job or one replica of a service, with its state and history.
 */
struct Task
{
    std::string id;
    Records::RecordKey record;
    std::uint64_t revision = 0;
    std::string team;
    bool urgent = false;
    /** False when the task must not be restarted without a checkpoint. */
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
    /** Number of the last attempt; never decreases for a given id. */
    std::uint32_t attempt = 0;
    std::optional<Attempt> live;
    /** Last complete checkpoint of any attempt; 0 means none. */
    std::uint64_t checkpoint = 0;
    std::uint32_t failures = 0;
    /** Workers on which the task failed while they were healthy. */
    std::set<std::string> failedOn;
    std::uint32_t evictions = 0;
    std::uint32_t interruptions = 0;
    WallTime lastEvictedAt{};
    /** The next attempt is not placed before this time. */
    WallTime notBefore{};
    WallTime queuedAt{};
    /** Sequence number of the submission among all tasks. */
    std::uint64_t order = 0;
    /** Sequence number among finished tasks; valid while the state is final. */
    std::uint64_t finishOrder = 0;

    bool isService() const { return record.kind == Records::RecordKind::Service; }
    bool isWaiting() const { return state == TaskState::Queued || state == TaskState::Evicted; }
    /** Returns true when the task may be started again: always, unless a job is neither idempotent
     * nor has a checkpoint. */
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

/** Whether a worker is assigned tasks. */
enum class WorkerHealth { Healthy, Suspended, Probing };

inline constexpr NameTable<WorkerHealth, 3> WorkerHealthNames = {{
    {WorkerHealth::Healthy, "healthy"},
    {WorkerHealth::Suspended, "suspended"},
    {WorkerHealth::Probing, "probing"},
}};

/**
 * \struct Worker
 * \brief Replicated state of one worker.
 */
struct Worker
{
    std::string name;
    Location location;
    Resources capacity;
    /** Longest lease that any leader grants this worker. */
    Duration lease{};
    /** Incremented each time the worker is declared lost; attempts of lower sessions have ended. */
    std::uint64_t session = 1;
    bool lost = false;
    WorkerHealth health = WorkerHealth::Healthy;
    /** Why the worker is suspended; a full sentence, or empty. */
    std::string reason;
    /** Tasks that failed on the worker since an attempt last succeeded or settled there. */
    std::set<std::string> failedTasks;
    WallTime failingSince{};
    std::uint32_t suspensions = 0;
    /** Earliest time at which a suspended worker is probed. */
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
