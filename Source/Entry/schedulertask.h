#pragma once

#include "Placement/taskscheduler.h"
#include "Runtime/eventloop.h"
#include "Runtime/messenger.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Oleander {

/** What a SchedulerTask needs of the replicated state, and its times. */
struct SchedulerTaskOptions
{
    Placement::SchedulerSettings scheduler;
    Duration tickInterval = std::chrono::milliseconds(100);
    /** The task book of this process. */
    std::function<const Placement::TaskBook &()> book;
    /** Commits a command and calls back with its outcome. */
    std::function<void(Placement::TaskCommand, std::function<void(Result<Placement::TaskOutcome>)>)>
        propose;
    /** Calls back once a quorum confirmed, after the call, that this process leads. */
    std::function<void(std::function<void(Result<void>)>)> confirmLeadership;
    std::function<bool()> isLeader;
};

/**
 * \class SchedulerTask
 * \brief Places tasks while this process leads: connects the pure TaskScheduler with the
 * replicated state and with the agents.
 */
class SchedulerTask final : private Placement::SchedulerPort
{
public:
    SchedulerTask(EventLoop &loop, Messenger &messenger, SchedulerTaskOptions options);
    SchedulerTask(const SchedulerTask &) = delete;
    SchedulerTask &operator=(const SchedulerTask &) = delete;

    /** To be called when this process becomes the leader or ceases to be it. */
    void roleChanged();
    const Placement::TaskScheduler &scheduler() const { return scheduler_; }

private:
    struct ReceivedHeartbeat
    {
        std::string agent;
        std::uint64_t incarnation = 0;
        Heartbeat heartbeat;
    };

    void propose(Placement::TaskCommand command,
                 std::function<void(const Placement::TaskOutcome *)> done) override;
    void send(const std::string &worker, TaskOrder order) override;
    void confirmAndAnswer();
    void answerHeartbeat(const ReceivedHeartbeat &received);

    EventLoop &loop_;
    Messenger &messenger_;
    SchedulerTaskOptions options_;
    Placement::TaskScheduler scheduler_;
    Timer timer_;
    /** Heartbeats that wait for the next confirmation of the leadership. */
    std::vector<ReceivedHeartbeat> pendingHeartbeats_;
    bool isConfirming_ = false;
    std::map<std::string, std::uint64_t> incarnations_;
};

} // namespace Oleander
