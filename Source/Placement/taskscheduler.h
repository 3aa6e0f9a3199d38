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

/** Times and bounds of the leader's scheduling. */
struct SchedulerSettings
{
    WorkerLeaseSettings lease;
    PolicyKind policy = PolicyKind::Pairwise;
    PolicyWeights weights;
    /** Shares and bounds by team; a team that is not named has share 1 and no bound. */
    std::map<std::string, TeamQuota> quotas;
    Duration resendInterval = std::chrono::seconds(1);
    /** A running attempt counts as healthy after this time. */
    Duration settleAfter = std::chrono::seconds(10);
    /** A start that no report confirms is given up after this time. */
    Duration startTimeout = std::chrono::seconds(30);
    /** An attempt that its worker no longer lists is stopped after this time. */
    Duration absenceTimeout = std::chrono::seconds(5);
    Duration checkpointTimeout = std::chrono::seconds(30);
    Duration retryBase = std::chrono::seconds(1);
    Duration retryMax = std::chrono::minutes(5);
    Duration probeBase = std::chrono::seconds(30);
    /** An evicted task is not evicted again before this time. */
    Duration evictionCoolDown = std::chrono::minutes(5);
    /** Time between two looks at services that may need relief. */
    Duration reliefInterval = std::chrono::seconds(1);
    /** Placements in one command. */
    std::size_t maxCommandSize = 256;
    /** Waiting tasks that are looked at in one tick. */
    std::size_t lookAhead = 4096;
    std::uint32_t seed = 1;
    /** Name of this process. */
    std::string leader;
};

/**
 * \class SchedulerPort
 * \brief What a TaskScheduler asks of the process around it.
 */
class SchedulerPort
{
public:
    virtual ~SchedulerPort() = default;
    /**
     * Commits \a command; \a done is called once, later, with what it did, or with null when it is
     * not known whether it commits.
     */
    virtual void propose(TaskCommand command, std::function<void(const TaskOutcome *)> done) = 0;
    virtual void send(const std::string &worker, TaskOrder order) = 0;
};

/**
 * \class TaskScheduler
 * \brief The leader's part of running tasks: turns the state of the task book and the reports of
 * agents into commands and orders.
 *
 * Pure: the caller brings heartbeats and the time. Whatever it proposes is checked by the task
 * book, so a scheduler that acts on an outdated view does no harm.
 */
class TaskScheduler
{
public:
    TaskScheduler(const TaskBook &book, SchedulerPort &port, const SchedulerSettings &settings);

    /**
     * Starts over as the leader that was elected at \a now or before. Nothing is granted or placed
     * until the start of the term is committed.
     */
    void lead(TimePoint now);
    /** Stops to propose and to order. */
    void stepDown();
    bool isLeading() const { return isLeading_; }
    /** True once the start of the term is committed. */
    bool isActive() const { return isLeading_ && term_ > 0; }

    /**
     * Takes a heartbeat and returns the answer. Comes only after the leadership was confirmed by
     * a quorum later than the heartbeat came in: the lease counts from the heartbeat.
     */
    HeartbeatReply heartbeat(const std::string &worker, const Heartbeat &heartbeat, TimePoint now,
                             WallTime wall);
    /** Takes news of attempts between heartbeats. */
    void handleReports(const std::string &worker, const std::vector<AttemptReport> &attempts,
                       TimePoint now, WallTime wall);
    /** Does what is due. */
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
    /** Proposes unless a command under the same key is under way. */
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
    /** Counts calls of lead() and stepDown(), so that outcomes of an earlier one are ignored. */
    std::uint64_t period_ = 0;
    /** The term that the task book gave; 0 until it is committed. */
    std::uint64_t term_ = 0;
    bool mustStartLeaseHold_ = false;
    /** Session in which each worker was seen last while it was not lost. */
    std::map<std::string, std::uint64_t> sessions_;
    /**
     * Sessions that this leader asked to declare lost. No lease is granted for them, also when the
     * outcome is not known.
     */
    std::map<std::string, std::uint64_t> proposedLosses_;
    std::uint64_t journalPosition_ = 0;
    std::set<std::string> proposalsInFlight_;
    /** Stamp of the last heartbeat by worker; orders carry it. */
    std::map<std::string, std::uint64_t> stamps_;
    FairQueue queue_;
    /** Tasks that wait for the end of their backoff. */
    std::set<std::pair<WallTime, std::string>> delayedTasks_;
    std::map<std::string, WallTime> delayEnds_;
    /** Calendar time of the last tick. */
    WallTime wall_{};
    /** Team of each resident. */
    std::map<std::string, std::string> teams_;
    TimePoint lastReliefAt_{};
    /** Workers that wait for a probe. */
    std::set<std::string> suspendedWorkers_;
    /** Since when this leader sees a live attempt in its state. */
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
