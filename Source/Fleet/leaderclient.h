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
 * \brief Finds the leader among the control hosts and brings calls to it.
 *
 * Every call is safe to send again, so a call whose answer is lost goes to the next leader until
 * its patience ends.
 */
class LeaderClient
{
public:
    using Callback = std::function<void(JobAnswer)>;
    /** Serves calls in this process; returns false, and keeps nothing, while it does not lead. */
    using LocalService = std::function<bool(const JobCallBody &, Callback)>;

    LeaderClient(EventLoop &loop, Messenger &messenger, std::vector<std::string> seeds);

    /** Makes this process one of the control hosts. */
    void setLocalService(LocalService service) { localService_ = std::move(service); }
    void setSeeds(std::vector<std::string> seeds);
    /** Starts to look for the leader. */
    void start();

    /** Calls the leader; \a callback is called once, with Unknown or Overloaded at the end of
     * \a timeout. */
    void call(JobCallBody body, Duration timeout, Callback callback);
    /** Sends a message to the leader; returns false while none can be reached. */
    bool sendToLeader(const Message &message);
    /** True while a leader is known and answered lately. */
    bool isLeaderReachable() const;
    std::size_t pendingCalls() const { return pending_.size(); }

    /** Emitted when another leader is known. */
    sigc::signal<void()> leaderChanged;

private:
    struct PendingCall
    {
        JobCallBody body;
        Callback callback;
        TimePoint deadline;
        /** End of the time for which a call that went nowhere is kept. */
        TimePoint unsentDeadline;
        TimePoint sentAt{};
        std::string sentTo;
        bool wasSent = false;
    };

    void tick();
    void queryGroup(const std::string &host);
    void onGroupView(const std::string &from, const GroupView &view);
    void onAnswer(JobAnswer &&answer);
    void trySend(std::uint64_t id);
    void sendPending();
    void finish(std::uint64_t id, JobAnswer answer);
    void updateHosts(const std::vector<std::string> &hosts);

    EventLoop &loop_;
    Messenger &messenger_;
    LocalService localService_;
    std::vector<std::string> seeds_;
    std::set<std::string> hosts_;
    std::string leader_;
    std::uint64_t term_ = 0;
    TimePoint leaderConfirmedAt_{};
    TimePoint lastQueryAt_{};
    std::uint64_t nextId_ = 1;
    std::map<std::uint64_t, PendingCall> pending_;
    Timer tickTimer_;
};

} // namespace Oleander::Fleet
