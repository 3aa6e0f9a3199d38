#pragma once

#include "Base/clock.h"
#include "Protocol/messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Oleander::Placement {

/** One attempt as the worker lists it. */
struct ListedAttempt
{
    std::string task;
    std::uint32_t attempt = 0;
    std::uint64_t session = 0;
    AttemptState state = AttemptState::Starting;
    std::string reason;
    std::uint64_t checkpoint = 0;
};

/** What the worker is asked to do with one attempt. */
struct WorkerCall
{
    TaskAction action = TaskAction::Start;
    std::string task;
    std::uint32_t attempt = 0;
    std::uint64_t session = 0;
    /** Instant on the host's monotonic clock at which the worker stops the attempt by itself. */
    TimePoint leaseEnd{};
    Resources declared;
    std::string payload;
    std::uint64_t checkpoint = 0;
    std::uint32_t throttlePercent = 100;
};

/** How an agent carries out orders. */
struct ExecutorSettings
{
    /** The agent stops its tasks so long before the lease ends. */
    Duration stopMargin = std::chrono::milliseconds(300);
    /** Time after which a call that brought no change is made again. */
    Duration retryInterval = std::chrono::milliseconds(500);
    /** Heartbeat stamps that are remembered; an order that answers an older one is refused. */
    std::size_t maxRememberedStamps = 64;
    /** Heartbeats over which the end of an attempt is repeated; a few of them list attempts. */
    std::uint64_t endReportHeartbeats = 24;
};

/**
 * \class TaskExecutor
 * \brief The agent's part of running tasks: carries out the leader's orders on its worker under
 * the worker's lease.
 *
 * Pure: the caller brings messages, the worker's listings and the time, and makes the calls that
 * dueCalls() asks for. Every call is safe to repeat, and is repeated until a listing shows its
 * effect.
 */
class TaskExecutor
{
public:
    explicit TaskExecutor(const ExecutorSettings &settings) : settings_(settings) {}

    /** Notes when the heartbeat with \a stamp was made; comes before the heartbeat is sent. */
    void noteHeartbeat(std::uint64_t stamp, TimePoint now);
    /** Takes a grant; returns true when the lease grew or changed its session. */
    bool handleReply(const HeartbeatReply &reply);
    /** Takes an order; returns why it is refused, or an empty text. */
    std::string handleOrder(const TaskOrder &order, TimePoint now);
    /** Takes what the worker runs and has ended; \a asked is when the listing was asked for. */
    void handleListing(const std::vector<ListedAttempt> &list, TimePoint requestedAt);
    /** Notes that the worker confirmed that it holds nothing of this attempt any more. */
    void handleRemoval(const std::string &task, std::uint32_t attempt);
    /** Notes that the worker refused or failed a call. */
    void handleCallFailure(const WorkerCall &call, const std::string &reason);

    /** The calls to make now. */
    std::vector<WorkerCall> dueCalls(TimePoint now);
    /** What a heartbeat says of the attempts here. */
    std::vector<AttemptReport> reports() const;

    bool holdsLease(TimePoint now) const;
    /** End of the lease, for the worker; nothing while none was granted. */
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
        /** True once the worker listed the attempt. */
        bool wasListed = false;
        /** True once the worker confirmed that it is gone. */
        bool isRemoved = false;
        /** Last stamp when the leader asked last or the attempt was gone. */
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
