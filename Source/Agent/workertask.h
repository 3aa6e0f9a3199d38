#pragma once

#include "Placement/taskexecutor.h"
#include "Runtime/eventloop.h"
#include "Runtime/httpclient.h"
#include "Runtime/messenger.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Oleander {

/** Where the worker is, and how often it is asked. */
struct WorkerTaskOptions
{
    /** HTTP address of the worker's own interface; empty when the host runs no tasks. */
    std::string address;
    Duration callTimeout = std::chrono::seconds(5);
    Duration listInterval = std::chrono::milliseconds(500);
    Duration usageInterval = std::chrono::seconds(2);
    Duration tickInterval = std::chrono::milliseconds(100);
    Placement::ExecutorSettings executor;
    /** Fails while the agent may not take work, as without a fresh configuration; may be empty. */
    std::function<Result<void>()> gate;
};

/**
 * \class WorkerTask
 * \brief Carries out the leader's orders on the worker of this host: connects the pure
 * TaskExecutor with the messenger and the worker's HTTP interface.
 */
class WorkerTask
{
public:
    WorkerTask(EventLoop &loop, Messenger &messenger, WorkerTaskOptions options);
    WorkerTask(const WorkerTask &) = delete;
    WorkerTask &operator=(const WorkerTask &) = delete;

    /** Notes that the heartbeat with \a stamp is about to be sent: the lease counts from here. */
    void recordHeartbeat(std::uint64_t stamp);
    /** The attempts for the next heartbeat; empty until the worker was listed once. */
    std::vector<AttemptReport> attempts() const;
    /** The usage read last, with its age now. */
    std::vector<UsageReport> usage() const;
    /** Name of the entry that granted the lease, or an empty string. */
    const std::string &leader() const { return executor_.leader(); }
    bool holdsLease() const { return executor_.holdsLease(loop_.clock().now()); }
    /** True once the worker answered; before that a heartbeat must not offer its capacity. */
    bool isReady() const { return hasTaskList_; }

private:
    void tick();
    void listTasks();
    void readUsage();
    void call(const Placement::WorkerCall &call);
    void handleCallResult(const Placement::WorkerCall &call, const HttpCallResult &result);
    void sendLease();
    void report();

    EventLoop &loop_;
    Messenger &messenger_;
    WorkerTaskOptions options_;
    Placement::TaskExecutor executor_;
    std::unique_ptr<HttpClient> client_;
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
    /** What the leader was told last of each attempt, and which leader that was. */
    std::map<std::string, AttemptReport> reportedAttempts_;
    std::string reportedLeader_;
};

} // namespace Oleander
