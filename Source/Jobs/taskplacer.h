#pragma once

#include "Jobs/interferencetable.h"
#include "Jobs/joborder.h"
#include "Jobs/machinetable.h"
#include "Jobs/minionuse.h"
#include "Jobs/reservationplanner.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Oleander::Jobs {

/** The decision to stop a filling run that stands still, so that it goes on elsewhere. */
struct RunMove
{
    RunKey run;
    MinionLife from;
    /** Minion that has room for it now. */
    MinionLife to;
    Duration stalledFor{};
    std::uint32_t percent = 0;
};

/**
 * \class TaskPlacer
 * \brief Decides which ready tasks start now, and where.
 *
 * Load it answers: wide steps beside lasting tasks on minions that start whatever they are told,
 * so that this ledger alone keeps them within their capacity. Lasting tasks that lost their
 * run, for which room is kept, or that wait beside room for several of them come first: small tasks
 * would take it in pieces, which do not come together again. Filling tasks, which claim no room,
 * start by the weight of their job.
 */
class TaskPlacer
{
public:
    TaskPlacer(const JobBook &book, const MachineTable &machines,
               const InterferenceTable &interference, const WorkEstimates &estimates,
               const ReservationPlanner &planner)
        : book_(book)
        , machines_(machines)
        , interference_(interference)
        , estimates_(estimates)
        , planner_(planner)
    {}

    /** Returns the starts for the calendar time \a nowMs, which is \a now on the loop's clock. */
    std::vector<RunStart> place(TimePoint now, std::int64_t nowMs);
    /** Returns filling runs that stand still and would find room elsewhere, those of the jobs with
     * the highest weight first; after place(). */
    std::vector<RunMove> planMoves();

private:
    struct Candidate
    {
        const MinionLife *life = nullptr;
        const Machine *machine = nullptr;
        MinionUse use;
        /** Pressure of each serving task without the filling ones, as last reported; found when a
         * filling task first asks for it. */
        std::optional<std::vector<ServingSample>> serving;
        /** Room for filling tasks of each image that asked since the last change. */
        std::map<std::string, std::int64_t> fillingCapacity;
        /** Steps of the tasks for which room is kept here. */
        std::vector<const StepSpec *> reserved;
    };

    /** Passes over the jobs, in this order. */
    enum class Pass { Prioritized, Other, Filling };

    std::vector<ServingSample> servingSamples(const MinionLife &life, const Machine &machine) const;
    void applyReservations();
    void applyReservation(const TaskRef &ref, const StepSpec &step);
    /** Ends the reservation of \a ref on its minion for this pass; returns false without one. */
    bool releaseReservation(const TaskRef &ref, const StepSpec &step);
    /** Places what \a pass takes of the steps of \a ranked whose turn has come. */
    void placeJob(const RankedJob &ranked, Pass pass);
    void placeStep(const RankedJob &ranked, std::uint32_t step, Pass pass);
    Candidate *chooseMinion(const StepSpec &step, const std::string &service, const Task &task,
                            std::uint32_t maxAttempts, bool urgent,
                            const std::map<MinionLife, std::uint32_t> &spread);
    /** True when \a tasks tasks of \a step would find room on \a service. */
    bool hasCapacityFor(std::uint64_t tasks, const StepSpec &step,
                        const std::string &service) const;
    /** True while so little of \a service is claimed that no job should stand still. */
    bool isMostlyIdle(const std::string &service) const;
    bool fits(const Candidate &candidate, const StepSpec &step) const;
    /** Milli-cores that more tasks of \a image can expect on \a candidate. */
    std::int64_t availableForFilling(Candidate &candidate, const std::string &image) const;
    /** Counts a task of \a step as being on \a candidate. */
    void addTask(Candidate &candidate, const StepSpec &step) const;

    const JobBook &book_;
    const MachineTable &machines_;
    const InterferenceTable &interference_;
    const WorkEstimates &estimates_;
    const ReservationPlanner &planner_;
    /** True when \a run of \a step stands still and loses little when it is stopped. */
    bool isStalled(const RunView &run, const StepSpec &step) const;

    std::vector<Candidate> candidates_;
    std::map<std::string, double> weights_;
    std::vector<RunStart> starts_;
    std::set<TaskRef> started_;
    TimePoint now_{};
    std::int64_t nowMs_ = 0;
};

} // namespace Oleander::Jobs
