#pragma once

#include "Jobs/backfillwindows.h"
#include "Jobs/coldstartlimit.h"
#include "Jobs/interferencetable.h"
#include "Jobs/joborder.h"
#include "Jobs/machinetable.h"
#include "Jobs/minionuse.h"
#include "Jobs/reservationplanner.h"
#include "Jobs/unobservedpairs.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Oleander::Jobs {

/** The decision to stop a stalled filling run so that it continues on another minion. */
struct RunMove
{
    RunKey run;
    MinionLife from;
    /** Minion that can take the run now. */
    MinionLife to;
    Duration stalledFor{};
    std::uint32_t percent = 0;
};

/**
 * \class TaskPlacer
 * \brief Decides which ready tasks start now, and where.
 *
 * Minions start every task that they are ordered to start, so this class alone keeps them within
 * their capacity. Long-running tasks are placed first if they lost their run, have a reservation,
 * or wait although the service has capacity for several of them; otherwise small tasks would
 * fragment the free resources, which do not come together again. Filling tasks, which claim no
 * processor time, start in the order of the weight of their jobs.
 */
class TaskPlacer
{
public:
    TaskPlacer(const JobBook &book, const MachineTable &machines,
               const InterferenceTable &interference, const WorkEstimates &estimates,
               const ReservationPlanner &planner, const ColdStartLimit &coldStarts,
               BackfillWindows windows)
        : book_(book)
        , machines_(machines)
        , interference_(interference)
        , estimates_(estimates)
        , planner_(planner)
        , coldStarts_(coldStarts)
        , windows_(std::move(windows))
    {}

    /** Returns the starts for the calendar time \a nowMs, which is \a now on the monotonic clock.
     */
    std::vector<RunStart> place(TimePoint now, std::int64_t nowMs);
    /** Returns stalled filling runs that fit on another minion, those of the jobs with the highest
     * weight first. Call after place(). */
    std::vector<RunMove> planMoves();

private:
    /** Processor time for further filling tasks of one image, in milli-cores. */
    struct FillingCapacity
    {
        std::int64_t available = 0;
        /** Limit for a single task. */
        std::int64_t perTask = 0;
    };
    struct Candidate
    {
        const MinionLife *life = nullptr;
        const Machine *machine = nullptr;
        MinionUse use;
        /** Latency ratio of each serving task without filling tasks, by the last report; computed
         * when first needed. */
        std::optional<std::vector<ServingSample>> serving;
        /** Capacity for filling tasks by image; cleared when a task is added. */
        std::map<std::string, FillingCapacity> fillingCapacity;
        /** Steps of the tasks that have a reservation here. */
        std::vector<const StepSpec *> reserved;
        /** Calendar time of the latest start in milliseconds; computed if there are suspects. */
        std::int64_t lastStartAtMs = 0;
        /** True if that start was one of a crash suspect. */
        bool isLastStartSuspect = false;
        /** True if only long-running tasks may start here. */
        bool isSuspended = false;
        /** True if no other task may start here in this pass, because a suspect starts. */
        bool isIsolated = false;
        /** Number of further tasks that may start here in this pass; empty if it is not limited. */
        std::optional<std::uint64_t> startsLeft;
    };

    /** What limits the placement of a filling task on a minion. */
    enum class FillingLimit {
        /** The available processor time, the interference of the task itself, and one task at a
         * time beside a service whose interference with the image has not been observed. */
        TaskInterference,
        /** The available processor time. */
        Available,
        /** Nothing. */
        None,
    };

    /** Passes over the jobs, in this order. */
    enum class Pass { Prioritized, Other, Filling };

    std::vector<ServingSample> servingSamples(const MinionLife &life, const Machine &machine) const;
    void applyReservations();
    void applyReservation(const TaskRef &ref, const StepSpec &step);
    /** Removes the reservation of \a ref from its minion for this pass; returns false if there is
     * none. */
    bool releaseReservation(const TaskRef &ref, const StepSpec &step);
    /** Starts tasks that may have crashed a minion, each without another start on its minion
     * shortly before or after, so that another crash shows whether it is the cause. */
    void placeCrashSuspects(const std::vector<RankedJob> &ordered);
    void placeCrashSuspect(const RankedJob &ranked, const TaskRef &ref);
    /** True if crash suspects may keep another minion of \a service from other tasks. */
    bool mayIsolateAnother(const std::string &service) const;
    /** Number of active runs of \a step on each minion. */
    std::map<MinionLife, std::uint32_t> spreadOf(const RankedJob &ranked, std::uint32_t step) const;
    /** True if \a candidate may take \a task of \a step, apart from the limits of filling tasks. */
    bool suits(const Candidate &candidate, const StepSpec &step, const std::string &service,
               const Task &task, std::uint32_t maxAttempts,
               const std::map<MinionLife, std::uint32_t> &spread) const;
    /** Places the tasks of the ready steps of \a ranked that belong to \a pass. */
    void placeJob(const RankedJob &ranked, Pass pass);
    void placeStep(const RankedJob &ranked, std::uint32_t step, Pass pass);
    Candidate *chooseMinion(const StepSpec &step, const std::string &service, const Task &task,
                            std::uint32_t maxAttempts, FillingLimit fillingLimit,
                            const std::map<MinionLife, std::uint32_t> &spread);
    /** True if \a tasks tasks of \a step fit on \a service. */
    bool hasCapacityFor(std::uint64_t tasks, const StepSpec &step,
                        const std::string &service) const;
    /** True if so little of \a service is claimed that no job may be left without a running task.
     */
    bool isMostlyIdle(const std::string &service) const;
    bool fits(const Candidate &candidate, const StepSpec &step) const;
    /** True if a task of \a step on \a candidate would delay a large task that has a reservation
     * there. */
    bool delaysReserved(const Candidate &candidate, const StepSpec &step) const;
    /** Capacity of \a candidate for further filling tasks of \a image. */
    const FillingCapacity &fillingCapacity(Candidate &candidate, const std::string &image) const;
    /** Adds a task of \a step to the use of \a candidate. */
    void addTask(Candidate &candidate, const StepSpec &step);

    const JobBook &book_;
    const MachineTable &machines_;
    const InterferenceTable &interference_;
    const WorkEstimates &estimates_;
    const ReservationPlanner &planner_;
    const ColdStartLimit &coldStarts_;
    BackfillWindows windows_;
    /** True if \a run makes no progress and loses little when it is stopped. */
    bool isStalled(const RunView &run, const StepSpec &step) const;

    std::vector<Candidate> candidates_;
    /** Unobserved pairs on all candidates; computed when first needed. */
    std::optional<UnobservedPairs> unobservedPairs_;
    std::map<std::string, double> weights_;
    std::vector<RunStart> starts_;
    std::set<TaskRef> started_;
    /** Tasks with a run that a minion executes although it is not active there. */
    std::set<TaskRef> lingering_;
    TimePoint now_{};
    std::int64_t nowMs_ = 0;
};

} // namespace Oleander::Jobs
