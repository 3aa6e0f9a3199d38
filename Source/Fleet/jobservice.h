#pragma once

#include "Entry/replicatask.h"
#include "Jobs/jobscheduler.h"
#include "Runtime/eventloop.h"
#include "Runtime/messenger.h"
#include "Runtime/statedump.h"
#include "State/controlstate.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Oleander::Fleet {

/** Options of a JobService. */
struct JobServiceOptions
{
    Jobs::LeaseOptions lease;
    Jobs::SchedulerOptions scheduler;
    /** Estimated memory of the stored jobs above which submissions are refused. */
    std::size_t maxStoredBytes = std::size_t{96} << 20U;
};

/**
 * \class JobService
 * \brief Handles jobs on the leader: answers calls, commits decisions and sends directives to the
 * agents.
 *
 * On any other control host it only answers NotLeader and stores the interference that the leader
 * shares.
 */
class JobService
{
public:
    using Callback = std::function<void(JobAnswer)>;

    JobService(EventLoop &loop, Messenger &messenger, ReplicaTask &replica,
               const State::ControlState &state, JobServiceOptions options);

    void start();
    /** Serves \a body; returns false, without storing the callback, while this process is not the
     * leader. */
    bool serve(const JobCallBody &body, Callback callback);
    /** Must be called when the replica has become the leader or has lost leadership. */
    void onRoleChanged();
    /** Number of calls whose commit is pending. */
    std::size_t waitingCalls() const { return waiters_.size() + pendingCommits_; }

private:
    struct Waiter
    {
        Callback callback;
        JobAnswer answer;
        /** The call, if it submits a job. */
        std::optional<SubmitCall> submission;
    };

    void answer(const SubmitCall &call, Callback callback);
    void answer(const StateCall &call, const Callback &callback);
    void answer(const CancelCall &call, Callback callback);
    void answer(const ConfigureCall &call, Callback callback);
    void answer(const ReadConfigurationCall &call, const Callback &callback);
    void answer(const EvacuationCall &call, const Callback &callback);
    void answer(const ReadEvacuationsCall &call, const Callback &callback);
    /** Answers the call of a change of an evacuation that was committed with \a outcome. */
    void answerEvacuation(const std::string &failureDomain, bool requested,
                          const Result<Jobs::JobOutcome> &outcome, const Callback &callback);
    EvacuationVersion evacuationVersion(const std::string &failureDomain) const;
    void reportEvacuations() const;
    std::vector<DumpRow> evacuationRows() const;
    /** Returns the queue that serves \a host and \a path; without one, answers the call and returns
     * null. */
    const QueueSpec *findQueueOrAnswer(const std::string &host, const std::string &path,
                                       const Callback &callback) const;
    void processSoon();
    void process();
    void commitCalls();
    /** Answers \a waiters, whose calls were committed with \a outcome. */
    void answerWaiters(const std::vector<Waiter> &waiters, const Result<Jobs::JobOutcome> &outcome);
    /** Serves \a call again after a configuration without its queue came into force. */
    void routeAgain(const SubmitCall &call, const Callback &callback);
    void commitEnds();
    void commitStarts();
    void sendDirectives();
    /** Records the time that the jobs of \a batch waited for their next starts. */
    void recordStartWaits(const Jobs::JobBatch &batch) const;
    /** Sends the learned interference to the other control hosts. */
    void shareInterference();
    void logOrders(const MachineDirective &directive) const;
    void logReservations();
    /** Logs the reservations for large tasks and records their metrics. */
    void reportBackfill();
    void logMoves();
    void logEvacuationMoves();
    void logIgnoredEnds();
    /** Logs the long-running jobs that miss their service level, and sets the gauges. */
    void reportServiceLevels() const;
    /** Sets the gauge of the runs in evacuated failure domains. */
    void reportEvacuatedRuns() const;
    void commit(Jobs::JobCommand command, std::function<void(Result<Jobs::JobOutcome>)> callback);
    std::int64_t nowMs() const;
    const Jobs::JobBook &book() const { return state_.jobs(); }

    EventLoop &loop_;
    Messenger &messenger_;
    ReplicaTask &replica_;
    const State::ControlState &state_;
    JobServiceOptions options_;
    Jobs::JobScheduler scheduler_;
    Timer processTimer_;
    Timer placementTimer_;
    TimePoint nextPlacementAt_{};
    Timer shareTimer_;
    Timer serviceLevelTimer_;
    bool isLeading_ = false;
    bool isProcessPosted_ = false;
    /** Incremented at every change of role; the outcome of a commit from an earlier role is
     * ignored. */
    std::uint64_t roleGeneration_ = 0;
    Jobs::JobBatch callBatch_;
    /** Estimated memory of the submissions in callBatch_. */
    std::size_t callBatchBytes_ = 0;
    std::vector<Waiter> waiters_;
    std::size_t pendingCommits_ = 0;
    /** Term in which this process as the leader received the latest EvacuationCall. */
    std::uint64_t evacuationTerm_ = 0;
    /** EvacuationVersion::calls by failure domain in that term. */
    std::map<std::string, std::uint64_t> evacuationCalls_;
    DumpSection evacuationDump_;
};

} // namespace Oleander::Fleet
