#pragma once

#include "Placement/taskexecutor.h"
#include "Runtime/eventloop.h"
#include "Runtime/httpclient.h"
#include "Runtime/messenger.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Oleander {

/** Address of the worker, and intervals and timeouts of the calls to it. */
struct WorkerTaskOptions
{
    /** HTTP address of the worker; empty if the host runs no tasks. */
    std::string address;
    Duration callTimeout = std::chrono::seconds(5);
    Duration listInterval = std::chrono::milliseconds(500);
    Duration usageInterval = std::chrono::seconds(2);
    Duration tickInterval = std::chrono::milliseconds(100);
    Placement::ExecutorSettings executor;
    /** Fails while the agent must not accept work, such as with a stale configuration; optional. */
    std::function<Result<void>()> gate;
};

/**
 * \class WorkerTask
 * \brief Executes the leader's orders on the worker of this host: connects TaskExecutor, which does
 * no I/O, to the messenger and the worker's HTTP interface.
 */
class WorkerTask
{
public:
    WorkerTask(EventLoop &loop, Messenger &messenger, WorkerTaskOptions options);
    WorkerTask(const WorkerTask &) = delete;
    WorkerTask &operator=(const WorkerTask &) = delete;

    /** Records that the heartbeat with \a stamp is about to be sent; the lease that its reply
     * grants starts at this time. */
    void recordHeartbeat(std::uint64_t stamp);
    /** Attempts for the next heartbeat; empty before the first task list of the worker. */
    std::vector<AttemptReport> attempts() const;
    /** The last usage reports, with their current age. */
    std::vector<UsageReport> usage() const;
    /** Name of the entry that granted the lease, or an empty string. */
    const std::string &leader() const { return executor_.leader(); }
    bool holdsLease() const { return executor_.holdsLease(loop_.clock().now()); }
    /** True after the first task list of the worker; before that, heartbeats must not offer its
     * capacity. */
    bool isReady() const { return hasTaskList_; }

private:
    void tick();
    void listTasks();
    void readUsage();
    void call(const Placement::WorkerCall &call);
    /** Cancels the calls to start the attempt of \a stop that still wait for a connection. */
    void cancelWaitingStarts(const Placement::WorkerCall &stop);
    void handleCallResult(const Placement::WorkerCall &call, const HttpCallResult &result);
    void sendLease();
    void report();

    EventLoop &loop_;
    Messenger &messenger_;
    WorkerTaskOptions options_;
    Placement::TaskExecutor executor_;
    std::unique_ptr<HttpClient> client_;
    /** Calls without a result that start the attempt. */
    std::map<std::pair<std::string, std::uint32_t>, std::set<HttpClient::CallId>> startCalls_;
    Timer tickTimer_;
    Timer listTimer_;
    Timer usageTimer_;
    bool isListing_ = false;
    bool hasTaskList_ = false;
    bool isReadingUsage_ = false;
    bool mustSendLease_ = false;
    bool isSendingLease_ = false;
    std::vector<UsageReport> usage_;
    TimePoint usageReadAt_{};
    /** Last report of each attempt to the leader reportedLeader_. */
    std::map<std::string, AttemptReport> reportedAttempts_;
    std::string reportedLeader_;
};

} // namespace Oleander
