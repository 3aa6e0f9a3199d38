#pragma once

#include "Protocol/jobcalls.h"
#include "Protocol/jobmessages.h"
#include "Runtime/eventloop.h"
#include "Runtime/messenger.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Oleander::Fleet {

/**
 * \class LeaderClient
 * \brief Finds the leader among the control hosts and sends calls to it.
 *
 * Every call is idempotent, so a call without an answer is sent again, also to a new leader, until
 * its timeout.
 */
class LeaderClient
{
public:
    using Callback = std::function<void(JobAnswer)>;
    /** Serves a call in this process; returns false, without storing the callback, while this
     * process is not the leader. */
    using LocalService = std::function<bool(const JobCallBody &, Callback)>;

    LeaderClient(EventLoop &loop, Messenger &messenger, std::vector<std::string> seeds);

    /** Makes this process one of the control hosts; its calls are then offered to \a service first.
     */
    void setLocalService(LocalService service) { localService_ = std::move(service); }
    void setSeeds(std::vector<std::string> seeds);
    /** Starts the search for the leader. */
    void start();

    /** Calls the leader. \a callback is called exactly once; after \a timeout the answer is Unknown
     * if a process may have acted on the call, otherwise Overloaded. A call on which no process can
     * have acted may fail earlier. */
    void call(JobCallBody body, Duration timeout, Callback callback);
    /** Sends a message to the leader; returns false if no leader is known or the message could not
     * be sent. */
    bool sendToLeader(const Message &message);
    /** True if the leader is known and has recently confirmed that it leads. */
    bool isLeaderReachable() const;
    /** What this process can tell others about the group: the control hosts it has heard of, and
     * the leader while it is another process that was confirmed recently. Without a leader the term
     * is 0. */
    GroupView groupView() const;
    std::size_t pendingCalls() const { return pending_.size(); }

    /** Emitted when a different leader becomes known. */
    sigc::signal<void()> leaderChanged;

private:
    struct PendingCall
    {
        JobCallBody body;
        Callback callback;
        TimePoint deadline;
        /** Time at which the call fails if no process can have acted on it. */
        TimePoint unsentDeadline;
        TimePoint sentAt{};
        std::string sentTo;
        /** Number of times that the call was sent, without those that the receiver refused because
         * it is not the leader. A process may act on a call that it has refused before. */
        std::uint32_t unrefusedSends = 0;
    };

    void tick();
    void reportUnreachableLeader();
    void queryGroup(const std::string &host);
    void onGroupView(const std::string &from, const GroupView &view);
    void onAnswer(JobAnswer &&answer);
    void trySend(std::uint64_t id);
    void sendPending();
    void finish(std::uint64_t id, JobAnswer answer);
    void setHosts(const std::vector<std::string> &hosts);
    void addHosts(const std::vector<std::string> &hosts);
    void updatePeers();
    bool isLeaderConfirmed() const;

    EventLoop &loop_;
    Messenger &messenger_;
    LocalService localService_;
    std::vector<std::string> seeds_;
    std::set<std::string> hosts_;
    std::string leader_;
    std::uint64_t term_ = 0;
    TimePoint leaderConfirmedAt_{};
    TimePoint lastQueryAt_{};
    Duration searchInterval_;
    /** Last time at which the leader was reachable, or the start. */
    TimePoint reachableAt_{};
    Duration nextReportAfter_;
    std::string lastAnswerFrom_;
    GroupView lastAnswer_;
    std::uint64_t nextId_ = 1;
    std::map<std::uint64_t, PendingCall> pending_;
    Timer tickTimer_;
};

} // namespace Oleander::Fleet
