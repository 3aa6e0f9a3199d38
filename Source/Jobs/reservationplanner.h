#pragma once

#include "Jobs/jobbook.h"
#include "Jobs/machinetable.h"
#include "Jobs/minionuse.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Oleander::Jobs {

/** Room on one minion that is kept for a waiting task. */
struct Reservation
{
    MinionLife minion;
    TimePoint until{};
    /** True when no run is stopped for it: pieces come together as short tasks end. */
    bool isAccumulating = false;
};

/** Reservations by the task that they are for. */
using Reservations = std::map<TaskRef, Reservation>;

/** The decision to keep room for a task. */
struct ReservationDecision
{
    TaskRef task;
    MinionLife minion;
    /** Runs of jobs with a larger share that are stopped for it. */
    std::vector<RunKey> evicted;
};

/**
 * \class ReservationPlanner
 * \brief Makes room on a full service for waiting tasks of lasting jobs.
 *
 * Load it answers: lasting jobs claim all of a service for minutes, and another comes. Without it
 * the jobs that came first keep all of their tasks and the last one has none; and where room for a
 * large task is free in pieces, small tasks take each piece before they come together.
 *
 * A job takes over the room of another only as long as the other keeps the larger share of its
 * tasks, so shares approach each other and no two jobs take from each other by turns. Belongs to
 * one term of a leader.
 */
class ReservationPlanner
{
public:
    /** Time after its acceptance for which a lasting job waits for room as it comes, in
     * milliseconds; a third of what the platform allows. */
    static constexpr std::int64_t ReservationDelayMs = 1'000;

    ReservationPlanner(const JobBook &book, const MachineTable &machines)
        : book_(book), machines_(machines)
    {}

    void startTerm();
    /** Drops what is not needed any more and plans for the tasks that wait. */
    void update(TimePoint now, std::int64_t nowMs);
    const Reservations &reservations() const { return reservations_; }
    /** True when \a run has to leave its minion for another. */
    bool evicts(const RunKey &run) const { return evictions_.contains(run); }
    /** True for a task that comes before those with an end: it has a reservation, or lost its run
     * other than to a job with a smaller share. */
    bool isPrioritized(const TaskRef &ref, const StepSpec &step, const Task &task) const;
    /** Returns the decisions since the last call. */
    std::vector<ReservationDecision> takeDecisions();

private:
    /** What a lasting job holds of the tasks that it asked for. */
    struct Share
    {
        const Job *job = nullptr;
        std::string service;
        std::uint32_t priority = 0;
        std::uint32_t tasks = 0;
        /** Tasks with a run that stays, or with a reservation. */
        std::uint32_t held = 0;
        std::vector<TaskRef> waiting;
        /** True when the job has waited long enough for room to be made for it. */
        bool isEligible = false;

        double ratio() const { return static_cast<double>(held) / tasks; }
    };
    struct Minion
    {
        const MinionLife *life = nullptr;
        const Machine *machine = nullptr;
        Claim claim;
        /** Part of the claim that is left when the tasks that end by themselves have ended. */
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
    /** Drops reservations of pieces that have become room for a waiting task of another job. */
    void dropUsableByOthers(Shares &shares, std::vector<Minion> &minions);
    Shares findShares(std::int64_t nowMs) const;
    std::vector<Minion> findMinions(TimePoint now) const;
    /** Free processor time of each service in milli-cores beyond as much as tasks with an end
     * claim and ask for at present: it is left to them, since they come and go at any moment. */
    std::map<std::string, std::int64_t>
    findSpareMilliCores(const std::vector<Minion> &minions) const;
    bool planTask(TimePoint now, const TaskRef &task, Shares &shares, std::vector<Minion> &minions,
                  std::int64_t &spareMilliCores);
    /** True when \a minion may run \a task once it has room. */
    bool accepts(const Minion &minion, const TaskRef &task, const StepSpec &step) const;
    /** The minion on which pieces come together soonest, or null. */
    Minion *chooseAccumulating(const TaskRef &task, const Share &recipient, const Shares &shares,
                               std::vector<Minion> &minions) const;
    /** True when a waiting task of another lasting job fits on \a minion as it is. */
    bool fitsOtherJob(const Minion &minion, const Share &recipient, const Shares &shares) const;
    /** Number of \a minions on which pieces come together. */
    std::size_t countAccumulating(const std::vector<Minion> &minions) const;
    /** The runs that give their room to \a task of \a taker; without a minion for none. */
    Eviction chooseEviction(const TaskRef &task, const Share &recipient, const Shares &shares,
                            std::vector<Minion> &minions, std::int64_t spareMilliCores) const;
    /** The runs on \a minion whose end makes room for a task of \a step, or none. */
    std::vector<RunKey> findEvictableRuns(const Minion &minion, const StepSpec &step,
                                          const Share &recipient, const Shares &shares,
                                          std::int64_t spareMilliCores) const;
    /** True when the job of \a run may lose it, and \a already more of the same step, and still
     * have the larger share. */
    bool canEvict(const RunKey &run, const Share &recipient, const Shares &shares,
                  std::uint32_t already) const;
    /** Tasks of the step of \a task that are not at work, or about to be stopped. */
    std::uint32_t unavailable(const TaskRef &task) const;

    const JobBook &book_;
    const MachineTable &machines_;
    Reservations reservations_;
    /** Runs that are stopped for a reservation, and until when the order is repeated. */
    std::map<RunKey, TimePoint> evictions_;
    /** Tasks that wait since they were stopped for another. */
    std::set<TaskRef> evictedTasks_;
    std::vector<ReservationDecision> decisions_;
    TimePoint nextPlan_{};
};

} // namespace Oleander::Jobs
