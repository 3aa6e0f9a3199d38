#pragma once

#include "Jobs/evictionrounds.h"
#include "Jobs/jobbook.h"
#include "Jobs/machinetable.h"
#include "Jobs/minionuse.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Oleander::Jobs {

/** Resources on one minion that are reserved for a waiting task. */
struct Reservation
{
    MinionLife minion;
    TimePoint until{};
    /** True if no run is evicted for the reservation: free resources accumulate as short tasks end.
     */
    bool isAccumulating = false;
    /** Number of the task's run that is stopped so that the task continues here; 0 for a waiting
     * task. Such a reservation has no expiry. */
    std::uint32_t movedRun = 0;
};

/** Reservations by the task that they are made for. */
using Reservations = std::map<TaskRef, Reservation>;

/** The decision to reserve resources for a task. */
struct ReservationDecision
{
    TaskRef task;
    MinionLife minion;
    /** Runs that are evicted for it; their jobs have a larger share. */
    std::vector<RunKey> evicted;
};

/**
 * \class ReservationPlanner
 * \brief Reserves resources on a full service for waiting tasks of long-running jobs.
 *
 * When long-running jobs claim a whole service for minutes and another one is submitted, the
 * earlier jobs would keep all of their tasks and the last would have none. Where only scattered
 * resources are free, small tasks would claim each part before enough is free for a large task.
 *
 * A job takes over resources of another job only while the other keeps the larger share of its
 * tasks. The shares therefore converge, and no two jobs evict each other in turns. Valid for one
 * term of a leader.
 */
class ReservationPlanner
{
public:
    /** Time after its acceptance before reservations are made for a long-running job, in
     * milliseconds; a third of the delay that the platform allows. */
    static constexpr std::int64_t ReservationDelayMs = 1'000;

    ReservationPlanner(const JobBook &book, const MachineTable &machines)
        : book_(book), machines_(machines)
    {}

    void startTerm();
    /** Drops obsolete reservations and plans new ones for the waiting tasks. */
    void update(TimePoint now, std::int64_t nowMs);
    const Reservations &reservations() const { return reservations_; }
    /** Stops \a run and reserves resources for its task on \a to, which must have them. */
    void moveRun(const RunKey &run, const MinionLife &to);
    /** True if \a run is stopped for a reservation. */
    bool evicts(const RunKey &run) const { return evictions_.contains(run); }
    /** True if the task is placed before tasks that end by themselves: it has a reservation, or it
     * lost its run for a reason other than an eviction. */
    bool isPrioritized(const TaskRef &ref, const StepSpec &step, const Task &task) const;
    /** Returns the decisions since the last call. */
    std::vector<ReservationDecision> takeDecisions();

private:
    /** The requested tasks of a long-running job and how many of them it holds. */
    struct Share
    {
        const Job *job = nullptr;
        std::string service;
        std::uint32_t priority = 0;
        std::uint32_t tasks = 0;
        /** Tasks with a run that is not being evicted, or with a reservation. */
        std::uint32_t held = 0;
        std::vector<TaskRef> waiting;
        /** True if the job has waited long enough for reservations. */
        bool isEligible = false;

        double ratio() const { return static_cast<double>(held) / tasks; }
    };
    struct Minion
    {
        const MinionLife *life = nullptr;
        const Machine *machine = nullptr;
        Claim claim;
        /** Part of the claim that remains when the tasks that end by themselves have ended. */
        Claim longRunningClaim;
        bool reserved = false;

        std::uint64_t freeMilliCores() const;
    };
    struct Eviction
    {
        Minion *minion = nullptr;
        std::vector<RunKey> runs;
    };
    using Shares = std::map<std::string, Share>;

    void dropExpired(TimePoint now);
    /** True if the minion \a machine of \a reservation cannot execute \a task any more. */
    bool isObsolete(TimePoint now, const TaskRef &task, const Reservation &reservation,
                    const Machine &machine) const;
    /** Drops the successors of evicted runs that have started. */
    void dropStarted(TimePoint now);
    /** True if no eviction is in progress and every successor of an evicted run has started. */
    bool isSettled() const;
    /** Drops accumulating reservations where a waiting task of another job fits by now. */
    void dropUsableByOthers(Shares &shares, std::vector<Minion> &minions);
    Shares findShares(std::int64_t nowMs) const;
    std::vector<Minion> findMinions(TimePoint now) const;
    /** Returns the free processor time of each service in milli-cores, minus the amount that tasks
     * which end by themselves claim and request at present. Such tasks are submitted and end at
     * any moment and need that reserve. */
    std::map<std::string, std::int64_t>
    findSpareMilliCores(const std::vector<Minion> &minions) const;
    bool planTask(TimePoint now, const TaskRef &task, Shares &shares, std::vector<Minion> &minions,
                  std::int64_t &spareMilliCores);
    /** True if \a minion may run \a task once it has the resources. */
    bool accepts(const Minion &minion, const TaskRef &task, const StepSpec &step) const;
    /** Returns the minion on which enough resources for \a task become free soonest, or null. */
    Minion *chooseAccumulating(const TaskRef &task, const Share &recipient, const Shares &shares,
                               std::vector<Minion> &minions) const;
    /** True if a waiting task of another long-running job fits on \a minion without a reservation.
     */
    bool fitsOtherJob(const Minion &minion, const Share &recipient, const Shares &shares) const;
    /** Number of \a minions that have an accumulating reservation. */
    std::size_t countAccumulating(const std::vector<Minion> &minions) const;
    /** Returns the runs to evict for \a task of \a recipient; without a minion if there are none.
     */
    Eviction chooseEviction(const TaskRef &task, const Share &recipient, const Shares &shares,
                            std::vector<Minion> &minions, std::int64_t spareMilliCores) const;
    /** Returns the runs on \a minion to evict so that a task of \a step fits; empty if impossible.
     */
    std::vector<RunKey> findEvictableRuns(const Minion &minion, const StepSpec &step,
                                          const Share &recipient, const Shares &shares,
                                          std::int64_t spareMilliCores) const;
    /** True if the job of \a run keeps the larger share after losing this run and \a already others
     * of the same step. */
    bool canEvict(const RunKey &run, const Share &recipient, const Shares &shares,
                  std::uint32_t already) const;
    /** Number of tasks of the step of \a task that are not at work or are being evicted. */
    std::uint32_t unavailable(const TaskRef &task) const;

    const JobBook &book_;
    const MachineTable &machines_;
    Reservations reservations_;
    /** Runs that are evicted, and the time until which the stop order is repeated. */
    std::map<RunKey, TimePoint> evictions_;
    /** Tasks that were started with the resources of evicted runs, and the time until which their
     * minions are expected to list them. */
    std::map<TaskRef, TimePoint> successors_;
    EvictionRounds rounds_;
    /** Tasks that were evicted and have no new run yet. */
    std::set<TaskRef> evictedTasks_;
    std::vector<ReservationDecision> decisions_;
    TimePoint nextPlan_{};
};

} // namespace Oleander::Jobs
