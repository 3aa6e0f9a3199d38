#pragma once

#include "Base/clock.h"
#include "Placement/backoff.h"
#include "Placement/clusterview.h"
#include "Placement/fairqueue.h"
#include "Placement/orderdispatcher.h"
#include "Placement/placementpolicy.h"
#include "Placement/taskbook.h"
#include "Placement/workerleases.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Oleander::Placement {

/** Intervals, timeouts and limits of the TaskScheduler. */
struct SchedulerSettings
{
    WorkerLeaseSettings lease;
    PolicyKind policy = PolicyKind::Pairwise;
    PolicyWeights weights;
    /** Shares and limits by team; a team that is not listed has share 1 and no limit. */
    std::map<std::string, TeamQuota> quotas;
    Duration resendInterval = std::chrono::seconds(1);
    /** A running attempt counts as healthy after this time. */
    Duration settleAfter = std::chrono::seconds(10);
    /** A placed attempt that no report confirms is stopped after this time. */
    Duration startTimeout = std::chrono::seconds(30);
    /** An attempt that its worker no longer reports is stopped after this time. */
    Duration absenceTimeout = std::chrono::seconds(5);
    Duration checkpointTimeout = std::chrono::seconds(30);
    Duration retryBase = std::chrono::seconds(1);
    Duration retryMax = std::chrono::minutes(5);
    Duration probeBase = std::chrono::seconds(30);
    /** An evicted task is not evicted again before this time. */
    Duration evictionCoolDown = std::chrono::minutes(5);
    /** Interval at which services are checked for relief. */
    Duration reliefInterval = std::chrono::seconds(1);
    /** Maximum number of placements or wait reasons in one command. */
    std::size_t maxCommandSize = 256;
    /** Maximum number of waiting tasks that are considered in one tick. */
    std::size_t lookAhead = 4096;
    std::uint32_t seed = 1;
    /** Name of this process. */
    std::string leader;
};

/**
 * \class SchedulerPort
 * \brief Services that a TaskScheduler requires from its process.
 */
class SchedulerPort
{
public:
    virtual ~SchedulerPort() = default;
    /**
     * Proposes \a command. \a done is called once, asynchronously, with the outcome, or with null
     * when it is unknown whether the command commits.
     */
    virtual void propose(TaskCommand command, std::function<void(const TaskOutcome *)> done) = 0;
    virtual void send(const std::string &worker, TaskOrder order) = 0;
};

/**
 * \class TaskScheduler
 * \brief Leader side of task scheduling: turns the state of the task book and the reports of agents
 * into commands and orders.
 *
 * Does no I/O: the caller passes in heartbeats and the time. The task book validates each command,
 * so a scheduler that acts on an outdated view does no harm.
 */
class TaskScheduler
{
public:
    TaskScheduler(const TaskBook &book, SchedulerPort &port, const SchedulerSettings &settings);

    /**
     * Resets the state and starts to lead, after an election at \a now or before. No lease is
     * granted and no task is placed until the StartTerm command is committed.
     */
    void lead(TimePoint now);
    /** Stops proposing commands and sending orders. */
    void stepDown();
    bool isLeading() const { return isLeading_; }
    /** True once the StartTerm command is committed. */
    bool isActive() const { return isLeading_ && term_ > 0; }

    /**
     * Processes a heartbeat and returns the reply. Must only be called after a quorum confirmed the
     * leadership at a time after the heartbeat arrived, because the lease counts from the
     * heartbeat.
     */
    HeartbeatReply heartbeat(const std::string &worker, const Heartbeat &heartbeat, TimePoint now,
                             WallTime wall);
    /** Processes attempt reports that arrive between heartbeats. */
    void handleReports(const std::string &worker, const std::vector<AttemptReport> &attempts,
                       TimePoint now, WallTime wall);
    /** Processes expired leases, timeouts, drains, relief, placements and pending orders. */
    void tick(TimePoint now, WallTime wall);

    const ClusterView &view() const { return view_; }

private:
    void syncWithTaskBook(TimePoint now);
    void syncTask(const std::string &id, TimePoint now);
    void enqueue(const Task &task);
    void dequeue(const std::string &id);
    void syncWorker(const Worker &worker, TimePoint now);
    TaskTraits traitsOf(const Task &task);
    void registerWorker(const std::string &worker, const Heartbeat &heartbeat, WallTime wall);
    void evictMissingAttempts(const std::string &worker, const std::vector<AttemptReport> &attempts,
                              TimePoint now, WallTime wall);
    bool changesTaskBook(const Worker &worker, const AttemptReport &report, TimePoint now);
    void placeWaiting(TimePoint now, WallTime wall);
    std::optional<TaskPlacement> placementFor(const Task &task);
    std::vector<TaskPlacement> probes(std::vector<std::string> &candidates, WallTime wall);
    void addResident(const Task &task, const Resources &size, ViewId worker, TimePoint now);
    void removeResident(const std::string &id, TimePoint now);
    void reportUsage(const std::vector<UsageReport> &usage, TimePoint now);
    void relieveServices(TimePoint now, WallTime wall);
    void startTerm();
    void startLeaseHold(TimePoint now);
    Duration longestGrantedLease() const;
    void loseWorkers(TimePoint now, WallTime wall);
    void checkLiveAttempts(TimePoint now, WallTime wall);
    void drainWorkers(WallTime wall);
    void evict(const Task &task, StopCause cause, bool withCheckpoint, const std::string &reason,
               WallTime wall);
    void proposeWaitReasons(WallTime wall);
    /** Proposes \a command unless one with the same key is in flight; \a after is called when it
     * completes. */
    void proposeOnce(const std::string &key, TaskCommand command, std::function<void()> after = {});

    const TaskBook &book_;
    SchedulerPort &port_;
    SchedulerSettings settings_;
    PlacementPolicy policy_;
    ClusterView view_;
    WorkerLeases leases_;
    OrderDispatcher orders_;
    Backoff retryDelay_;
    Backoff probeDelay_;
    bool isLeading_ = false;
    /** Incremented by lead() and stepDown(), so that outcomes of earlier proposals are ignored. */
    std::uint64_t period_ = 0;
    /** Term assigned by the task book; 0 until the StartTerm command is committed. */
    std::uint64_t term_ = 0;
    bool mustStartLeaseHold_ = false;
    /** Last known session of each worker that was not lost. */
    std::map<std::string, std::uint64_t> sessions_;
    /**
     * Sessions that this leader proposed to declare lost, by worker. No lease is granted for them,
     * even when the outcome of the proposal is unknown.
     */
    std::map<std::string, std::uint64_t> proposedLosses_;
    std::uint64_t journalPosition_ = 0;
    std::set<std::string> proposalsInFlight_;
    /** Stamp of the last heartbeat by worker; included in orders. */
    std::map<std::string, std::uint64_t> stamps_;
    FairQueue queue_;
    /** Tasks in backoff, ordered by the end of the backoff. */
    std::set<std::pair<WallTime, std::string>> delayedTasks_;
    std::map<std::string, WallTime> delayEnds_;
    /** Wall-clock time of the last tick. */
    WallTime wall_{};
    /** Team of each resident. */
    std::map<std::string, std::string> teams_;
    TimePoint lastReliefAt_{};
    /** Suspended workers, which have to be probed. */
    std::set<std::string> suspendedWorkers_;
    /** Live attempt with the time since this leader has observed its current state. */
    struct Watch
    {
        std::uint32_t attempt = 0;
        TaskState state = TaskState::Queued;
        TimePoint since{};
        std::optional<TimePoint> absentSince;
    };
    std::map<std::string, Watch> watches_;
    std::map<std::string, std::string> waitReasons_;
    std::set<std::string> drainingWorkers_;
};

} // namespace Oleander::Placement
