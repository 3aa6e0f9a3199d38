#pragma once

#include "Entry/replicatask.h"
#include "Jobs/jobscheduler.h"
#include "Runtime/eventloop.h"
#include "Runtime/messenger.h"
#include "State/controlstate.h"

#include <functional>
#include <string>
#include <vector>

namespace Oleander::Fleet {

/**
 * \class JobService
 * \brief The leader's side of jobs: answers calls, commits decisions and directs the agents.
 *
 * On a control host that does not lead it answers NotLeader and does nothing else.
 */
class JobService
{
public:
    using Callback = std::function<void(JobAnswer)>;

    JobService(EventLoop &loop, Messenger &messenger, ReplicaTask &replica,
               const State::ControlState &state, Jobs::LeaseOptions lease);

    void start();
    /** Serves \a body; returns false, and keeps nothing, while this process does not lead. */
    bool serve(const JobCallBody &body, Callback callback);
    /** The replica became the leader or ceased to be it. */
    void onRoleChanged();
    /** Calls that wait for a commit. */
    std::size_t waitingCalls() const { return waiters_.size() + pendingCommits_; }

private:
    struct Waiter
    {
        Callback callback;
        JobAnswer answer;
    };

    void answer(const SubmitCall &call, Callback callback);
    void answer(const StateCall &call, const Callback &callback);
    void answer(const CancelCall &call, Callback callback);
    void answer(const ConfigureCall &call, Callback callback);
    void answer(const ReadConfigurationCall &call, const Callback &callback);
    /** Finds the queue and job that a host and path name; answers and returns null otherwise. */
    const QueueSpec *findQueueOrAnswer(const std::string &host, const std::string &path,
                                       const Callback &callback) const;
    void processSoon();
    void process();
    void commitCalls();
    void commitEnds();
    void commitStarts();
    void sendDirectives();
    /** Records how long the jobs of \a batch waited for their starts. */
    void recordStartWaits(const Jobs::JobBatch &batch) const;
    void shareInterference();
    void logReservations();
    void logMoves();
    /** Logs the lasting jobs that are short of something, and sets their gauges. */
    void reportServiceLevels() const;
    void commit(Jobs::JobCommand command, std::function<void(Result<Jobs::JobOutcome>)> callback);
    std::int64_t nowMs() const;
    const Jobs::JobBook &book() const { return state_.jobs(); }

    EventLoop &loop_;
    Messenger &messenger_;
    ReplicaTask &replica_;
    const State::ControlState &state_;
    Jobs::JobScheduler scheduler_;
    Timer processTimer_;
    Timer placementTimer_;
    TimePoint nextPlacementAt_{};
    Timer shareTimer_;
    Timer serviceLevelTimer_;
    bool isLeading_ = false;
    bool isProcessPosted_ = false;
    /** Counts the terms of this leader, so that outcomes of an earlier one are told apart. */
    std::uint64_t roleGeneration_ = 0;
    Jobs::JobBatch callBatch_;
    std::vector<Waiter> waiters_;
    std::size_t pendingCommits_ = 0;
};

} // namespace Oleander::Fleet
