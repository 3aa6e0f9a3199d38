#pragma once

#include "Base/location.h"
#include "Placement/task.h"
#include "Protocol/messages.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Oleander::Placement {

/** Registers a worker that is new, was lost, or changed its capacity, location or lease. */
struct RegisterWorker
{
    std::string worker;
    Location location;
    Resources capacity;
    /** Lease that the proposing leader grants. */
    Duration lease{};
    WallTime at{};
};

template<typename F>
void visitFields(F &&f, Fields<RegisterWorker> auto &&v)
{
    f(v.worker);
    f(v.location);
    f(v.capacity);
    f(v.lease);
    f(v.at);
}

/** Placement of one task on one worker. */
struct TaskPlacement
{
    std::string task;
    /** Number of the new attempt: one more than the last. */
    std::uint32_t attempt = 0;
    std::string worker;
    std::uint64_t session = 0;
};

template<typename F>
void visitFields(F &&f, Fields<TaskPlacement> auto &&v)
{
    f(v.task);
    f(v.attempt);
    f(v.worker);
    f(v.session);
}

/** Places tasks; each placement is accepted or refused independently. */
struct PlaceTasks
{
    std::vector<TaskPlacement> placements;
    WallTime at{};
};

template<typename F>
void visitFields(F &&f, Fields<PlaceTasks> auto &&v)
{
    f(v.placements);
    f(v.at);
}

/** Report of one attempt, with the delay before the next attempt if the task is retried. */
struct ReportedAttempt
{
    AttemptReport report;
    /** Backoff with jitter; drawn by the leader so that all replicas apply the same delay. */
    Duration retryAfter{};
};

template<typename F>
void visitFields(F &&f, Fields<ReportedAttempt> auto &&v)
{
    f(v.report);
    f(v.retryAfter);
}

/** Reports of a worker's agent about its attempts. */
struct ReportTasks
{
    std::string worker;
    std::vector<ReportedAttempt> attempts;
    /** Delay before the worker is probed if these reports suspend it. */
    Duration probeAfter{};
    WallTime at{};
};

template<typename F>
void visitFields(F &&f, Fields<ReportTasks> auto &&v)
{
    f(v.worker);
    f(v.attempts);
    f(v.probeAfter);
    f(v.at);
}

/** Marks attempts that have run long enough to count as healthy. */
struct SettleTasks
{
    /** Task ids and attempt numbers. */
    std::vector<std::pair<std::string, std::uint32_t>> attempts;
    WallTime at{};
};

template<typename F>
void visitFields(F &&f, Fields<SettleTasks> auto &&v)
{
    f(v.attempts);
    f(v.at);
}

/** Stops an attempt so that the task can run elsewhere. */
struct EvictTask
{
    std::string task;
    std::uint32_t attempt = 0;
    StopCause cause = StopCause::Relief;
    /** True to take a checkpoint before the attempt is stopped. */
    bool withCheckpoint = true;
    std::string reason;
    /** Delay before the next attempt. */
    Duration coolDown{};
    WallTime at{};
};

template<typename F>
void visitFields(F &&f, Fields<EvictTask> auto &&v)
{
    f(v.task);
    f(v.attempt);
    f(v.cause);
    f(v.withCheckpoint);
    f(v.reason);
    f(v.coolDown);
    f(v.at);
}

/** Ends an eviction's wait for a checkpoint that failed or timed out. */
struct AbandonCheckpoint
{
    std::string task;
    std::uint32_t attempt = 0;
    std::string reason;
    WallTime at{};
};

template<typename F>
void visitFields(F &&f, Fields<AbandonCheckpoint> auto &&v)
{
    f(v.task);
    f(v.attempt);
    f(v.reason);
    f(v.at);
}

/** Limits an attempt to a percentage of its processors; 100 removes the limit. */
struct ThrottleTask
{
    std::string task;
    std::uint32_t attempt = 0;
    std::uint32_t percent = 100;
    std::string reason;
    WallTime at{};
};

template<typename F>
void visitFields(F &&f, Fields<ThrottleTask> auto &&v)
{
    f(v.task);
    f(v.attempt);
    f(v.percent);
    f(v.reason);
    f(v.at);
}

/** Declares a worker lost: its lease for this session expired, so all its attempts have ended. */
struct LoseWorker
{
    std::string worker;
    std::uint64_t session = 0;
    std::string reason;
    WallTime at{};
    /** Term of the scheduler that determined the expiry. */
    std::uint64_t term = 0;
};

template<typename F>
void visitFields(F &&f, Fields<LoseWorker> auto &&v)
{
    f(v.worker);
    f(v.session);
    f(v.reason);
    f(v.at);
    f(v.term);
}

/** Cancels tasks. */
struct CancelTasks
{
    std::vector<std::string> tasks;
    std::string reason;
    WallTime at{};
};

template<typename F>
void visitFields(F &&f, Fields<CancelTasks> auto &&v)
{
    f(v.tasks);
    f(v.reason);
    f(v.at);
}

/** Reason why one task is waiting; shown to operators. */
struct WaitReason
{
    std::string task;
    std::string reason;
};

template<typename F>
void visitFields(F &&f, Fields<WaitReason> auto &&v)
{
    f(v.task);
    f(v.reason);
}

/** Records why tasks are waiting. */
struct ExplainWaits
{
    std::vector<WaitReason> waits;
};

template<typename F>
void visitFields(F &&f, Fields<ExplainWaits> auto &&v)
{
    f(v.waits);
}

/** Records why a drain cannot finish; an empty reason means that nothing blocks it. */
struct ExplainDrain
{
    std::string worker;
    std::string reason;
};

template<typename F>
void visitFields(F &&f, Fields<ExplainDrain> auto &&v)
{
    f(v.worker);
    f(v.reason);
}

/**
 * Starts the term of a new leader. From then on a LoseWorker of an earlier leader is refused,
 * because that leader doesn't know the leases granted by the new one.
 */
struct StartTerm
{
    std::string leader;
};

template<typename F>
void visitFields(F &&f, Fields<StartTerm> auto &&v)
{
    f(v.leader);
}

/** Every command of the task book; new alternatives are added at the end. */
using TaskCommand =
    std::variant<RegisterWorker, PlaceTasks, ReportTasks, SettleTasks, EvictTask, AbandonCheckpoint,
                 ThrottleTask, LoseWorker, CancelTasks, ExplainWaits, ExplainDrain, StartTerm>;

/** Result of a command. */
struct TaskOutcome
{
    /** One full sentence for each refused part of the command; refused parts change nothing. */
    std::vector<std::string> refusals;
    /** Term of the scheduler after a StartTerm. */
    std::uint64_t term = 0;

    bool accepted() const { return refusals.empty(); }
};

template<typename F>
void visitFields(F &&f, Fields<TaskOutcome> auto &&v)
{
    f(v.refusals);
    f(v.term);
}

} // namespace Oleander::Placement
