#pragma once

#include "Jobs/coldstartlimit.h"
#include "Jobs/jobbook.h"
#include "Jobs/machinetable.h"
#include "Jobs/minionuse.h"
#include "Jobs/reservationplanner.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Oleander::Jobs {

/** The decision to stop a run of a long-running task in an evacuated failure domain, so that the
 * task continues on a minion elsewhere. */
struct EvacuationMove
{
    RunKey run;
    std::string failureDomain;
    MinionLife from;
    /** Minion on which resources are reserved for the task. */
    MinionLife to;
};

/** Number of active runs on the minions of each evacuated failure domain; only minions that have
 * reported count. */
std::map<std::string, std::uint32_t> countEvacuatedRuns(const JobBook &book,
                                                        const MachineTable &machines);

/**
 * \class EvacuationPlanner
 * \brief Moves the long-running tasks away from the minions of evacuated failure domains.
 *
 * A task is stopped only when resources for its successor are free on a minion elsewhere; they are
 * reserved until the successor starts. The tasks of a step move one at a time, and only while fewer
 * of its other tasks than the step permits are unavailable. Valid for one term of a leader.
 */
class EvacuationPlanner
{
public:
    EvacuationPlanner(const JobBook &book, const MachineTable &machines,
                      ReservationPlanner &reservations, const ColdStartLimit &coldStarts)
        : book_(book), machines_(machines), reservations_(reservations), coldStarts_(coldStarts)
    {}

    void startTerm(TimePoint now);
    /** Plans the moves after a placement. \a claimed are the tasks that the placement starts or
     * moves, with their new minions. */
    void plan(TimePoint now, const std::vector<std::pair<MinionLife, TaskRef>> &claimed);
    /** Returns the moves decided since the last call. */
    std::vector<EvacuationMove> takeMoves();

private:
    using StepKey = std::pair<std::string, std::uint32_t>;
    /** Number of tasks of a step that are not at work. */
    struct NotAtWork
    {
        /** Tasks without a run. */
        std::uint32_t waiting = 0;
        /** Tasks whose run has not completed its startup, ends, or cannot be observed. */
        std::uint32_t starting = 0;
    };

    /** True if the successor of \a run is at work, or none is needed. */
    bool isComplete(TimePoint now, const RunKey &run) const;
    /** Reserves resources for the successors of stopped runs whose reservation was dropped. */
    void replaceReservations(TimePoint now);
    /** True if reports from \a machine arrive and its runs go on. */
    bool isConnected(TimePoint now, const Machine &machine) const;
    /** True if \a run is at work on \a life and is not being stopped. */
    bool isAtWork(TimePoint now, const MinionLife &life, const RunKey &run) const;
    /** True if a stop of \a run on \a life leaves enough tasks of its step at work. */
    bool mayStop(TimePoint now, const MinionLife &life, const RunKey &run);
    /** Returns a minion with resources for \a ref, or null. */
    const MinionLife *chooseMinion(TimePoint now, const TaskRef &ref);
    std::size_t countTasksOf(const TaskRef &ref, const MinionLife &life) const;
    /** Computes the claims of all minions, including reservations. */
    void computeClaims(TimePoint now);

    const JobBook &book_;
    const MachineTable &machines_;
    ReservationPlanner &reservations_;
    const ColdStartLimit &coldStarts_;
    /** The stopped run of the latest move of each step, until its successor is at work. */
    std::map<StepKey, RunKey> moves_;
    std::vector<EvacuationMove> decided_;
    TimePoint firstMoveAt_{};
    /** Tasks that the placement has just started, and their minions. */
    std::vector<std::pair<MinionLife, TaskRef>> claimed_;
    std::map<MinionLife, Claim> claims_;
    /** Counts of the steps that the current plan has examined. */
    std::map<StepKey, NotAtWork> notAtWork_;
};

} // namespace Oleander::Jobs
