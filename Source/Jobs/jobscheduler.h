#pragma once

#include "Jobs/interferencetable.h"
#include "Jobs/jobbook.h"
#include "Jobs/machinetable.h"
#include "Jobs/reservationplanner.h"
#include "Jobs/taskplacer.h"
#include "Jobs/workestimates.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Oleander::Jobs {

/** A directive and the agent that shall get it. */
struct AddressedDirective
{
    std::string agent;
    MachineDirective directive;
};

/**
 * \class JobScheduler
 * \brief The leader's decisions about jobs: what to commit and what to order from the agents.
 *
 * Pure: the owner feeds it reports, commits what takeEnds() and takeStarts() return, tells it when
 * that has taken effect, and sends what takeDirectives() returns. Ends are facts and go out as they
 * come; only one batch of starts is on its way at a time, so that every decision is made on the
 * committed ledger.
 */
class JobScheduler
{
public:
    JobScheduler(const JobBook &book, LeaseOptions options);

    /** Starts the work of a leader in \a term. */
    void startTerm(TimePoint now, std::uint64_t term);
    void report(TimePoint now, std::int64_t nowMs, const std::string &agent,
                const MachineReport &report);
    /** Numbers of an agent that are acknowledged once what they tell of is committed. */
    struct Acknowledgement
    {
        std::uint64_t end = 0;
        std::uint64_t report = 0;
    };
    /** An agent and the life of its minion; the life is empty while none is announced. */
    using Reporter = std::pair<std::string, MinionLife>;
    /** Ends to commit, and what their commit acknowledges. */
    struct EndBatch
    {
        JobBatch batch;
        std::map<Reporter, Acknowledgement> acknowledgements;
    };

    /** Returns the ends that shall be committed now, or an empty batch. */
    EndBatch takeEnds(TimePoint now, std::int64_t nowMs);
    /** The ends behind \a acknowledgements are committed. */
    void endsCommitted(const std::map<Reporter, Acknowledgement> &acknowledgements);
    /** The commit of \a runEnds failed; they are due again. */
    void endsFailed(const std::vector<MinionRunEnd> &runEnds);
    /** Returns the starts that shall be committed now; empty while others are on their way. */
    JobBatch takeStarts(TimePoint now, std::int64_t nowMs);
    /** The batch of the latest takeStarts() has taken effect or surely will not. */
    void startsResolved() { startsInFlight_ = false; }
    /** Returns what the agents shall hear now. */
    std::vector<AddressedDirective> takeDirectives(TimePoint now, std::int64_t nowMs);

    /** Returns the decisions of keeping room since the last call. */
    std::vector<ReservationDecision> takeReservationDecisions() { return planner_.takeDecisions(); }

    /** Returns the decisions to move a run since the last call. */
    std::vector<RunMove> takeMoves() { return std::exchange(moves_, {}); }

    InterferenceTable &interference() { return interference_; }
    const MachineTable &machines() const { return machines_; }
    const WorkEstimates &estimates() const { return estimates_; }

private:
    void addOrders(TimePoint now, std::int64_t nowMs, const MinionLife &life,
                   const Machine &machine, MachineDirective &directive);
    /** Adds what is known of the images that meet on the minion \a life, and of the jobs that fill
     * there. */
    void addPacing(const MinionLife &life, std::int64_t nowMs, MachineDirective &directive) const;
    double weightOf(const std::string &id, std::int64_t nowMs) const;
    bool mustStop(const RunKey &key) const;
    bool mustEvacuate(TimePoint now, const Machine &machine, const RunKey &key) const;
    bool recordOrderIfDue(TimePoint now, const RunKey &key);
    void learnInterference(TimePoint now, const MachineReport &report);
    /** Learns how long tasks take from the runs that \a report lists or ends. */
    void learnDurations(std::int64_t nowMs, const MachineReport &report);

    const JobBook &book_;
    MachineTable machines_;
    InterferenceTable interference_;
    WorkEstimates estimates_;
    ReservationPlanner planner_;
    std::uint64_t term_ = 0;
    bool startsInFlight_ = false;
    std::vector<MinionRunEnd> pendingEnds_;
    /** Runs whose end is on its way into the book; they must not be ordered any more. */
    std::set<RunKey> endingRuns_;
    std::map<Reporter, Acknowledgement> uncommittedAcknowledgements_;
    std::map<Reporter, Acknowledgement> committedAcknowledgements_;
    /** When each run was last ordered to start or stop. */
    std::map<RunKey, TimePoint> lastOrderAt_;
    /** Filling runs that are stopped to go on elsewhere. */
    std::set<RunKey> movingRuns_;
    std::vector<RunMove> moves_;
    TimePoint nextSweep_{};
};

} // namespace Oleander::Jobs
