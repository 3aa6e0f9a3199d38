#pragma once

#include "Agent/requesttask.h"
#include "Agent/workertask.h"
#include "Runtime/eventloop.h"
#include "Runtime/messenger.h"

#include <string>
#include <vector>

namespace Oleander {

/** What stands in every heartbeat, who gets it, and how often. */
struct HeartbeatTaskOptions
{
    Location location;
    Resources capacity;
    /** Address of this agent's inbox as entries dial it. */
    std::string inbox;
    /** Names of the entries. */
    std::vector<std::string> entries;
    Duration interval = std::chrono::milliseconds(500);
};

/**
 * \class HeartbeatTask
 * \brief Tells every entry, again and again, what this agent's host holds.
 *
 * A change of the minions goes out at once, since entries stop sending work to a leaving minion
 * by it. Only the leader needs the tasks and their usage, and only now and then; the others get
 * them while no leader is known.
 */
class HeartbeatTask
{
public:
    HeartbeatTask(EventLoop &loop, Messenger &messenger, RequestTask &requests, WorkerTask &worker,
                  HeartbeatTaskOptions options);

    /** Sends the first heartbeat and starts the timer. */
    void start();

private:
    Heartbeat makeHeartbeat();
    void addTasks(Heartbeat &heartbeat) const;
    void sendToAll();
    void scheduleSend();

    Messenger &messenger_;
    RequestTask &requests_;
    WorkerTask &worker_;
    HeartbeatTaskOptions options_;
    Timer timer_;
    Timer coalescingTimer_;
    std::uint64_t lastStamp_ = 0;
    std::string lastLeader_;
};

} // namespace Oleander
