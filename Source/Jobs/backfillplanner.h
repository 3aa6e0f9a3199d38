#pragma once

#include "Jobs/jobbook.h"
#include "Jobs/joborder.h"
#include "Jobs/machinetable.h"
#include "Jobs/minionuse.h"
#include "Jobs/reservationplanner.h"
#include "Jobs/runforecast.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Oleander::Jobs {

/** Resources on one minion that come together for a waiting large task. */
struct BackfillReservation
{
    MinionLife minion;
    TimePoint madeAt{};
    /** Time at which the task was expected to start when the reservation was made. */
    TimePoint promisedAt{};
    /** Time at which the reservation expires. */
    TimePoint until{};
    /** Time before which other tasks must end: the latest prediction, at most promisedAt. */
    TimePoint expectedAt{};
    /** Resources that are expected to be claimed still at expectedAt. */
    Claim remaining;
};

/** Reason for the end of a reservation. */
enum class BackfillEnd {
    /** The task has started. */
    Started,
    /** The job of the task has ended. */
    Cancelled,
    /** The predicted time has passed by more than the margin, or is expected to. */
    Overdue,
    /** The minion no longer accepts the task. */
    MinionLost,
};

std::string_view backfillEndName(BackfillEnd end);

/** A reservation that was made or has ended. */
struct BackfillDecision
{
    TaskRef task;
    BackfillReservation reservation;
    /** Empty if the reservation was made. */
    std::optional<BackfillEnd> end;
};

/**
 * \class BackfillPlanner
 * \brief Reserves resources for large tasks that end by themselves (EASY backfilling).
 *
 * Applies while the free resources of a service are scattered: a task is large while it fits on no
 * minion although the free resources sum up to its size. Small tasks would claim each piece before
 * enough comes together. The first large tasks in the order of the jobs get the minion where they
 * are expected to fit soonest; BackfillWindows decides what else may start there. Valid for one
 * term of a leader.
 */
class BackfillPlanner
{
public:
    BackfillPlanner(const JobBook &book, const MachineTable &machines,
                    const WorkEstimates &estimates, const ReservationPlanner &longRunning,
                    bool isEnabled)
        : book_(book)
        , machines_(machines)
        , estimates_(estimates)
        , longRunning_(longRunning)
        , forecast_(book, machines, estimates)
        , isEnabled_(isEnabled)
    {}

    void startTerm();
    /** Drops obsolete reservations, repeats the predictions and plans new reservations. */
    void update(TimePoint now, std::int64_t nowMs);
    const std::map<TaskRef, BackfillReservation> &reservations() const { return reservations_; }
    const RunForecast &forecast() const { return forecast_; }
    bool isEnabled() const { return isEnabled_; }
    /** Returns the decisions since the last call. */
    std::vector<BackfillDecision> takeDecisions();
    /** Returns, for each large task that has started since the last call, the time since it was
     * first found to be large. */
    std::vector<Duration> takeWaits();

private:
    struct Minion
    {
        const MinionLife *life = nullptr;
        const Machine *machine = nullptr;
        Claim claim;
        bool reserved = false;

        /** Adds the resources that are not claimed to \a sum. */
        void addFree(MinionReport &sum) const;
    };
    /** Earliest time at which a task fits on a minion. */
    struct Prediction
    {
        TimePoint at{};
        /** Longest duration of the runs that have to end before. */
        Duration longestRun{};
        /** True if the end of the last of them follows from its progress. */
        bool isMeasured = false;
    };
    using Reservations = std::map<TaskRef, BackfillReservation>;

    /** Removes the reservation \a item and records why. */
    void drop(Reservations::iterator item, BackfillEnd end);
    void dropObsolete();
    void recordStarts();
    /** Repeats the prediction of each reservation. */
    void repeatPredictions();
    void plan();
    void planStep(const RankedJob &ranked, std::uint32_t step, std::vector<Minion> &minions,
                  std::map<std::string, std::size_t> &available);
    /** Reserves the minion on which \a task is expected to fit soonest; returns false if there is
     * none. */
    bool reserve(const TaskRef &task, const std::string &service, std::vector<Minion> &minions);
    std::vector<Minion> findMinions() const;
    /** Number of reservations that may still be made, by service. */
    std::map<std::string, std::size_t> countAvailable(const std::vector<Minion> &minions) const;
    /** Sums the resources that tasks claim on \a life and long-running tasks have reserved there.
     */
    Claim claimOf(const MinionLife &life, const Machine &machine) const;
    /** Sums those of \a claim on \a life that are expected to be claimed after \a at. */
    Claim claimAfter(TimePoint at, const MinionLife &life, Claim claim) const;
    std::optional<Prediction> predict(const Minion &minion, const StepSpec &step) const;
    /** True if \a task may run on \a machine, of \a life, once it has the resources. */
    bool accepts(const MinionLife &life, const Machine &machine, const TaskRef &task) const;
    /** True if \a task fits on none of \a minions although their free resources sum up to its size.
     */
    bool isLarge(const TaskRef &task, const std::string &service,
                 const std::vector<Minion> &minions) const;
    /** Returns the waiting tasks of \a step without a reservation, the first \a most of them. */
    std::vector<TaskRef> findWaiting(const RankedJob &ranked, std::uint32_t step,
                                     std::size_t most) const;

    const JobBook &book_;
    const MachineTable &machines_;
    const WorkEstimates &estimates_;
    const ReservationPlanner &longRunning_;
    RunForecast forecast_;
    bool isEnabled_;
    Reservations reservations_;
    /** Minions whose last reservation was overdue, and the time until which they get no other. */
    std::map<MinionLife, TimePoint> pausedUntil_;
    /** Waiting tasks that were found to be large, and the calendar time of the first finding in
     * milliseconds. */
    std::map<TaskRef, std::int64_t> largeSinceMs_;
    /** Tasks with a run that a minion executes although it is not active there. */
    std::set<TaskRef> lingering_;
    std::vector<BackfillDecision> decisions_;
    std::vector<Duration> waits_;
    TimePoint nextPlan_{};
    TimePoint now_{};
    std::int64_t nowMs_ = 0;
};

} // namespace Oleander::Jobs
