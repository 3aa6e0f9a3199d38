#pragma once

#include "Base/clock.h"
#include "Protocol/messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Oleander::Placement {

/** One attempt in a worker's listing. */
struct ListedAttempt
{
    std::string task;
    std::uint32_t attempt = 0;
    std::uint64_t session = 0;
    AttemptState state = AttemptState::Starting;
    std::string reason;
    std::uint64_t checkpoint = 0;
};

/** A call to the worker about one attempt. */
struct WorkerCall
{
    TaskAction action = TaskAction::Start;
    std::string task;
    std::uint32_t attempt = 0;
    std::uint64_t session = 0;
    /** Time on the host's monotonic clock at which the worker stops the attempt on its own. */
    TimePoint leaseEnd{};
    Resources declared;
    std::string payload;
    std::uint64_t checkpoint = 0;
    std::uint32_t throttlePercent = 100;
};

/** Timing and limits of a TaskExecutor. */
struct ExecutorSettings
{
    /** The agent stops its tasks this long before the lease ends. */
    Duration stopMargin = std::chrono::milliseconds(300);
    /** Time after which a call without a visible effect is repeated. */
    Duration retryInterval = std::chrono::milliseconds(500);
    /** Number of remembered heartbeat stamps; orders that answer older heartbeats are refused. */
    std::size_t maxRememberedStamps = 64;
    /** Number of heartbeats for which the end of an attempt is reported; not every heartbeat lists
     * attempts. */
    std::uint64_t endReportHeartbeats = 24;
};

/**
 * \class TaskExecutor
 * \brief Agent side of task execution: carries out the leader's orders on the agent's worker while
 * the worker holds a lease.
 *
 * Does no I/O: the caller passes in messages, the worker's listings and the time, and makes the
 * calls that dueCalls() returns. Calls are idempotent and are repeated until a listing shows their
 * effect.
 */
class TaskExecutor
{
public:
    explicit TaskExecutor(const ExecutorSettings &settings) : settings_(settings) {}

    /** Records when the heartbeat with \a stamp was created; must be called before it is sent. */
    void noteHeartbeat(std::uint64_t stamp, TimePoint now);
    /** Processes a lease grant; returns true when the lease was extended or its session changed. */
    bool handleReply(const HeartbeatReply &reply);
    /** Processes an order; returns why it is refused, or an empty string. */
    std::string handleOrder(const TaskOrder &order, TimePoint now);
    /** Processes the worker's list of running and ended attempts, requested at \a requestedAt. */
    void handleListing(const std::vector<ListedAttempt> &list, TimePoint requestedAt);
    /** Records that the worker confirmed the removal of this attempt. */
    void handleRemoval(const std::string &task, std::uint32_t attempt);
    /** Records that the worker refused or failed a call. */
    void handleCallFailure(const WorkerCall &call, const std::string &reason);

    /** Returns the calls to make now. */
    std::vector<WorkerCall> dueCalls(TimePoint now);
    /** Returns the attempt reports for the next heartbeat. */
    std::vector<AttemptReport> reports() const;

    bool holdsLease(TimePoint now) const;
    /** End of the lease as passed to the worker; empty until a lease is granted. */
    std::optional<TimePoint> leaseEnd() const { return leaseEnd_; }
    std::uint64_t session() const { return session_; }
    const std::string &leader() const { return leader_; }

private:
    struct Entry
    {
        std::uint32_t attempt = 0;
        std::uint64_t session = 0;
        AttemptState state = AttemptState::Starting;
        std::string reason;
        std::uint64_t checkpoint = 0;
        TaskOrder start;
        bool mustStop = false;
        bool wantsCheckpoint = false;
        std::uint32_t throttlePercent = 100;
        std::uint32_t appliedThrottlePercent = 100;
        TimePoint lastCall{};
        /** True once the worker has refused to start the attempt. */
        bool isStartRefused = false;
        /** True once the worker has been called to stop the attempt. */
        bool isStopCalled = false;
        /** True once the worker listed the attempt. */
        bool wasListed = false;
        /** True once the worker confirmed the removal of the attempt. */
        bool isRemoved = false;
        /** Latest heartbeat stamp at the removal or at the leader's last stop order. */
        std::uint64_t removedStamp = 0;
    };

    std::string start(const TaskOrder &order, TimePoint now);
    std::string stop(const TaskOrder &order);
    void forgetRemovedAttempts();
    std::uint64_t lastStamp() const;
    WorkerCall callFor(TaskAction action, const std::string &task, const Entry &entry) const;
    std::optional<WorkerCall> dueCall(const std::string &task, Entry &entry, TimePoint now);

    ExecutorSettings settings_;
    std::map<std::uint64_t, TimePoint> stamps_;
    std::optional<TimePoint> leaseEnd_;
    std::uint64_t session_ = 0;
    std::string leader_;
    std::map<std::string, Entry> entries_;
};

} // namespace Oleander::Placement
