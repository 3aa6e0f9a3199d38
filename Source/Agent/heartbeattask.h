#pragma once

#include "Agent/requesttask.h"
#include "Agent/workertask.h"
#include "Runtime/eventloop.h"
#include "Runtime/messenger.h"

#include <string>
#include <vector>

namespace Oleander {

/** Constant contents, recipients and interval of the heartbeats. */
struct HeartbeatTaskOptions
{
    Location location;
    Resources capacity;
    /** Address at which entries connect to this agent. */
    std::string inbox;
    /** Names of the entries. */
    std::vector<std::string> entries;
    Duration interval = std::chrono::milliseconds(500);
};

/**
 * \class HeartbeatTask
 * \brief Periodically sends heartbeats with the state of this agent's host to every entry.
 *
 * A change of the minions triggers an immediate heartbeat, since it makes entries stop sending
 * requests to a draining minion. The attempts and their usage are sent only to the leader, and only
 * in some heartbeats; while no leader is known, they are sent to every entry.
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
