#pragma once

#include "Jobs/backfillplanner.h"
#include "Jobs/coldstartlimit.h"
#include "Jobs/evacuationplanner.h"
#include "Jobs/interferencetable.h"
#include "Jobs/jobbook.h"
#include "Jobs/machinetable.h"
#include "Jobs/reservationplanner.h"
#include "Jobs/startwithdrawal.h"
#include "Jobs/taskplacer.h"
#include "Jobs/workestimates.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Oleander::Jobs {

/** A directive and the agent that receives it. */
struct AddressedDirective
{
    std::string agent;
    MachineDirective directive;
};

/** Optional behaviour of a JobScheduler. */
struct SchedulerOptions
{
    /** Reserves resources for large tasks; see BackfillPlanner. */
    bool backfill = false;
    /** Limit of the starts on cold minions; none if empty. */
    std::optional<ColdStartOptions> coldStarts;
};

/**
 * \class JobScheduler
 * \brief The leader's decisions about jobs: what to commit and which orders to send to the agents.
 *
 * Performs no I/O. The owner passes in reports, commits the batches of takeEnds() and takeStarts(),
 * reports when they have been applied, and sends the directives of takeDirectives(). Ends are facts
 * and are committed as they arrive. Only one batch of starts is in flight at a time, so that every
 * decision is based on committed state.
 */
class JobScheduler
{
public:
    JobScheduler(const JobBook &book, LeaseOptions lease, SchedulerOptions options = {});

    /** Resets the state for a leader in \a term. */
    void startTerm(TimePoint now, std::uint64_t term);
    void report(TimePoint now, std::int64_t nowMs, const std::string &agent,
                const MachineReport &report);
    /** Numbers to acknowledge to an agent once the corresponding ends are committed. */
    struct Acknowledgement
    {
        std::uint64_t end = 0;
        std::uint64_t report = 0;
    };
    /** An agent and the life of its minion; the life is empty while no minion is announced. */
    using Reporter = std::pair<std::string, MinionLife>;
    /** Ends to commit, and the acknowledgements to send after the commit. */
    struct EndBatch
    {
        JobBatch batch;
        /** The ends of the batch that no earlier batch of this term contained. Agents repeat an end
         * until it is acknowledged, so several batches in flight may contain it. */
        std::vector<MinionRunEnd> firstEnds;
        std::map<Reporter, Acknowledgement> acknowledgements;
    };

    /** Returns the ends to commit now, or an empty batch. */
    EndBatch takeEnds(TimePoint now, std::int64_t nowMs);
    /** Records that the ends for \a acknowledgements are committed. */
    void endsCommitted(const std::map<Reporter, Acknowledgement> &acknowledgements);
    /** Queues \a runEnds again after their commit failed. */
    void endsFailed(const std::vector<MinionRunEnd> &runEnds);
    /** Returns the starts to commit now; empty while another batch of starts is in flight. */
    JobBatch takeStarts(TimePoint now, std::int64_t nowMs);
    /** Records that the batch of the latest takeStarts() has been applied or certainly will not be.
     */
    void startsResolved() { startsInFlight_ = false; }
    /** Returns the directives to send to the agents now. */
    std::vector<AddressedDirective> takeDirectives(TimePoint now, std::int64_t nowMs);

    /** Returns the reservations made since the last call. */
    std::vector<ReservationDecision> takeReservationDecisions() { return planner_.takeDecisions(); }

    /** Returns the moves of long-running tasks out of evacuated failure domains that were decided
     * since the last call. */
    std::vector<EvacuationMove> takeEvacuationMoves() { return evacuations_.takeMoves(); }
    /** Reservations for large tasks. */
    BackfillPlanner &backfill() { return backfill_; }

    /** Returns the runs to move that were chosen since the last call. */
    std::vector<RunMove> takeMoves() { return std::exchange(moves_, {}); }

    /** Returns the ends of finished runs that were ignored since the last call although their task
     * is not done. */
    std::vector<MinionRunEnd> takeIgnoredEnds() { return std::exchange(ignoredEnds_, {}); }

    /** Number of open jobs of \a queue of which no minion is known to have started a task. */
    std::uint64_t pendingJobs(const std::string &queue) const;

    InterferenceTable &interference() { return interference_; }
    const MachineTable &machines() const { return machines_; }
    const WorkEstimates &estimates() const { return estimates_; }

private:
    enum class OrderKind {
        Start,
        Stop,
    };

    void addOrders(TimePoint now, std::int64_t nowMs, const MinionLife &life,
                   const Machine &machine, MachineDirective &directive);
    /** Adds the interference between the images on the minion \a life and the weights of the jobs
     * that have filling runs there. */
    void addPacing(const MinionLife &life, std::int64_t nowMs, MachineDirective &directive);
    /** Weight of the job \a id; computed once for each \a nowMs. */
    double weightOf(const std::string &id, std::int64_t nowMs);
    bool mustStop(const RunKey &key) const;
    /** True if the start of \a key, which \a machine in an evacuated failure domain does not list,
     * must be withdrawn now. */
    bool mustWithdraw(TimePoint now, std::int64_t nowMs, const Machine &machine,
                      const RunKey &key) const;
    bool hasBegun(const std::string &id, const Job &job) const;
    /** Returns the step of the active run \a key. */
    const StepSpec &stepOf(const RunKey &key) const;
    /** Sums the resources that the active runs \a runs claim. */
    Claim claimOf(const std::set<RunKey> &runs) const;
    /** True if \a key has to leave the machine because it drains or is disturbed. */
    bool mustEvacuate(TimePoint now, const Machine &machine, const RunKey &key) const;
    /** Returns true and records \a now if an order \a kind for the run \a key may be sent. */
    bool recordOrderIfDue(TimePoint now, const RunKey &key, OrderKind kind);
    /** Records the ends of \a report that takeIgnoredEnds() returns. */
    void findIgnoredEnds(const MachineReport &report);
    void learnInterference(TimePoint now, const MachineReport &report);
    /** Updates the estimated durations with the runs that \a report lists or ends. */
    void learnDurations(std::int64_t nowMs, const MachineReport &report);

    const JobBook &book_;
    MachineTable machines_;
    InterferenceTable interference_;
    WorkEstimates estimates_;
    ReservationPlanner planner_;
    ColdStartLimit coldStarts_;
    EvacuationPlanner evacuations_;
    StartWithdrawal startWithdrawal_;
    BackfillPlanner backfill_;
    std::uint64_t term_ = 0;
    bool startsInFlight_ = false;
    std::vector<MinionRunEnd> pendingEnds_;
    /** Runs whose end is being committed; they receive no further orders. */
    std::set<RunKey> endingRuns_;
    std::map<Reporter, Acknowledgement> uncommittedAcknowledgements_;
    std::map<Reporter, Acknowledgement> committedAcknowledgements_;
    /** Runs that were placed in this term and have not yet been ordered to start. */
    std::set<RunKey> neverOrderedRuns_;
    /** Time at which each run was last ordered to start, or to stop. */
    std::map<std::pair<RunKey, OrderKind>, TimePoint> lastOrderAt_;
    /** Filling runs that are being stopped in order to continue on another minion. */
    std::set<RunKey> movingRuns_;
    std::vector<RunMove> moves_;
    std::vector<MinionRunEnd> ignoredEnds_;
    /** Runs whose end was ignored; agents repeat an end until it is acknowledged. */
    std::set<RunKey> ignoredRuns_;
    /** Weights of jobs at weightsAtMs_. */
    std::map<std::string, double> weights_;
    std::int64_t weightsAtMs_ = 0;
    TimePoint nextSweep_{};
};

} // namespace Oleander::Jobs
