#pragma once

#include "Placement/taskscheduler.h"
#include "Runtime/eventloop.h"
#include "Runtime/messenger.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Oleander {

/** Settings of a SchedulerTask and its access to the replicated state. */
struct SchedulerTaskOptions
{
    Placement::SchedulerSettings scheduler;
    Duration tickInterval = std::chrono::milliseconds(100);
    /** Returns the task book of this process. */
    std::function<const Placement::TaskBook &()> book;
    /** Commits a command and calls back with its outcome. */
    std::function<void(Placement::TaskCommand, std::function<void(Result<Placement::TaskOutcome>)>)>
        propose;
    /** Calls back once a quorum has confirmed, after the call, that this process is the leader. */
    std::function<void(std::function<void(Result<void>)>)> confirmLeadership;
    std::function<bool()> isLeader;
};

/**
 * \class SchedulerTask
 * \brief Places tasks while this process is the leader: connects TaskScheduler, which does no I/O,
 * to the replicated state and the agents.
 */
class SchedulerTask final : private Placement::SchedulerPort
{
public:
    SchedulerTask(EventLoop &loop, Messenger &messenger, SchedulerTaskOptions options);
    SchedulerTask(const SchedulerTask &) = delete;
    SchedulerTask &operator=(const SchedulerTask &) = delete;

    /** Must be called when this process becomes the leader or stops being the leader. */
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
    /** Confirms leadership, then answers the heartbeats received before the confirmation began. */
    void confirmAndAnswer();
    void answerHeartbeat(const ReceivedHeartbeat &received);

    EventLoop &loop_;
    Messenger &messenger_;
    SchedulerTaskOptions options_;
    Placement::TaskScheduler scheduler_;
    Timer timer_;
    /** Heartbeats to answer after the next confirmation of leadership. */
    std::vector<ReceivedHeartbeat> pendingHeartbeats_;
    bool isConfirming_ = false;
    std::map<std::string, std::uint64_t> incarnations_;
};

} // namespace Oleander
