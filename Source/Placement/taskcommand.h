#pragma once

#include "Base/location.h"
#include "Placement/task.h"
#include "Protocol/messages.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Oleander::Placement {

/** A worker announced itself: for the first time, after it was lost, or changed. */
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

/** One task for one worker. */
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

/** Place each of these tasks; each is accepted or refused by itself. */
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

/** One attempt's report and the delay before the next attempt, should one be needed. */
struct ReportedAttempt
{
    AttemptReport report;
    /** Backoff with jitter that the leader drew. */
    Duration retryAfter{};
};

template<typename F>
void visitFields(F &&f, Fields<ReportedAttempt> auto &&v)
{
    f(v.report);
    f(v.retryAfter);
}

/** What a worker's agent reported. */
struct ReportTasks
{
    std::string worker;
    std::vector<ReportedAttempt> attempts;
    /** Delay before the worker is probed, should it be suspended now. */
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

/** These attempts have run long enough to count as healthy. */
struct SettleTasks
{
    /** Task and attempt. */
    std::vector<std::pair<std::string, std::uint32_t>> attempts;
    WallTime at{};
};

template<typename F>
void visitFields(F &&f, Fields<SettleTasks> auto &&v)
{
    f(v.attempts);
    f(v.at);
}

/** Stop an attempt so that the task can run elsewhere. */
struct EvictTask
{
    std::string task;
    std::uint32_t attempt = 0;
    StopCause cause = StopCause::Relief;
    /** Take a checkpoint first. */
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

/** The checkpoint that an eviction waits for failed or took too long. */
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

/** Let an attempt use only this share of its processors; 100 lifts the limit. */
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

/** The lease of this session of a worker has surely run out, and with it all its attempts. */
struct LoseWorker
{
    std::string worker;
    std::uint64_t session = 0;
    std::string reason;
    WallTime at{};
    /** Term of the scheduler that watched the lease. */
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

/** These tasks are no longer wanted. */
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

/** A waiting task and why it waits; shown to operators. */
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

/** Why these tasks wait. */
struct ExplainWaits
{
    std::vector<WaitReason> waits;
};

template<typename F>
void visitFields(F &&f, Fields<ExplainWaits> auto &&v)
{
    f(v.waits);
}

/** Why a drain cannot finish now; an empty reason says that nothing blocks it any longer. */
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
 * A new leader starts to schedule. What an earlier one still proposes about leases is refused from
 * here on, for it does not know of the leases that the new leader grants.
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

/** Every command of the task book; new alternatives go last. */
using TaskCommand =
    std::variant<RegisterWorker, PlaceTasks, ReportTasks, SettleTasks, EvictTask, AbandonCheckpoint,
                 ThrottleTask, LoseWorker, CancelTasks, ExplainWaits, ExplainDrain, StartTerm>;

/** What a command did. */
struct TaskOutcome
{
    /** One full sentence for each part that was refused; nothing was changed by these parts. */
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
