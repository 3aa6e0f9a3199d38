#pragma once

#include "Base/clock.h"
#include "Base/error.h"
#include "Base/location.h"
#include "Protocol/fields.h"
#include "Protocol/jobcalls.h"
#include "Protocol/jobmessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Oleander {

/** Version of the protocol between the system's own processes; sent in every frame. */
constexpr std::uint32_t ProtocolVersion = 1;

/** Processors, memory and accelerators: a capacity, a commitment or a declared size. */
struct Resources
{
    std::uint32_t milliCores = 0;
    std::uint64_t memoryMiB = 0;
    std::uint32_t accelerators = 0;

    bool operator==(const Resources &) const = default;
};

template<typename F>
void visitFields(F &&f, Fields<Resources> auto &&v)
{
    f(v.milliCores);
    f(v.memoryMiB);
    f(v.accelerators);
}

/** State of one minion as observed by its agent. */
enum class MinionState { Serving, Draining, Lapsed };

/** One minion in a heartbeat. */
struct MinionStatus
{
    std::string name;
    std::string service;
    MinionState state = MinionState::Serving;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
};

template<typename F>
void visitFields(F &&f, Fields<MinionStatus> auto &&v)
{
    f(v.name);
    f(v.service);
    f(v.state);
    f(v.slots);
    f(v.connections);
    f(v.running);
    f(v.queued);
}

/** State of one attempt of a task as reported by the worker. */
enum class AttemptState {
    Starting,
    Running,
    Checkpointing,
    Stopping,
    Stopped,
    Succeeded,
    Failed,
};

/** Returns true for the final states of an attempt. */
constexpr bool hasEnded(AttemptState state)
{
    return state == AttemptState::Stopped || state == AttemptState::Succeeded
           || state == AttemptState::Failed;
}

/** Report of one attempt of one task. */
struct AttemptReport
{
    std::string task;
    std::uint32_t attempt = 0;
    AttemptState state = AttemptState::Starting;
    std::string reason;
    /** Number of the latest complete checkpoint that the worker holds; 0 means none. */
    std::uint64_t checkpoint = 0;

    bool operator==(const AttemptReport &) const = default;
};

template<typename F>
void visitFields(F &&f, Fields<AttemptReport> auto &&v)
{
    f(v.task);
    f(v.attempt);
    f(v.state);
    f(v.reason);
    f(v.checkpoint);
}

/** Observed resource usage of one task; \a age is the time from the measurement to the sending. */
struct UsageReport
{
    std::string task;
    std::uint32_t attempt = 0;
    Duration age{};
    Resources used;
    /** Service latency p99, or 0 for batch work. */
    Duration latencyP99{};
    /** Speed of progress as a fraction of the speed without interference. */
    double progress = 0.0;
};

template<typename F>
void visitFields(F &&f, Fields<UsageReport> auto &&v)
{
    f(v.task);
    f(v.attempt);
    f(v.age);
    f(v.used);
    f(v.latencyP99);
    f(v.progress);
}

/** Agent to each entry: a sign of life with the state of the agent's host. */
struct Heartbeat
{
    /** Number of this heartbeat; repeated in the reply, whose lease starts when it was sent. */
    std::uint64_t stamp = 0;
    /** Address of the agent's inbox, to which entries send. */
    std::string inbox;
    Location location;
    Resources capacity;
    std::vector<MinionStatus> minions;
    std::vector<AttemptReport> attempts;
    std::vector<UsageReport> usage;
    /** True if \a attempts is left out; missing attempts then do not count as ended. */
    bool attemptsOmitted = false;
};

template<typename F>
void visitFields(F &&f, Fields<Heartbeat> auto &&v)
{
    f(v.stamp);
    f(v.inbox);
    f(v.location);
    f(v.capacity);
    f(v.minions);
    f(v.attempts);
    f(v.usage);
    f(v.attemptsOmitted);
}

/** Entry to agent: reply to a heartbeat. Only the leader grants a lease. */
struct HeartbeatReply
{
    std::uint64_t stamp = 0;
    /** Duration of the worker's lease, from the creation of heartbeat \a stamp; 0 grants none. */
    Duration lease{};
    std::string leader;
    /** Session of the worker; attempts and orders of earlier sessions are void. */
    std::uint64_t session = 0;
};

template<typename F>
void visitFields(F &&f, Fields<HeartbeatReply> auto &&v)
{
    f(v.stamp);
    f(v.lease);
    f(v.leader);
    f(v.session);
}

/** One HTTP header field. */
struct HeaderField
{
    std::string name;
    std::string value;
};

template<typename F>
void visitFields(F &&f, Fields<HeaderField> auto &&v)
{
    f(v.name);
    f(v.value);
}

/** Entry to agent: forward a caller's request to a minion. */
struct RequestDispatch
{
    std::string request;
    std::string minion;
    std::string method;
    std::string path;
    std::vector<HeaderField> headers;
    std::string body;
    Duration timeRemaining{};
    bool idempotent = false;
};

template<typename F>
void visitFields(F &&f, Fields<RequestDispatch> auto &&v)
{
    f(v.request);
    f(v.minion);
    f(v.method);
    f(v.path);
    f(v.headers);
    f(v.body);
    f(v.timeRemaining);
    f(v.idempotent);
}

/** Entry to agent: cancel a dispatched request. */
struct RequestCancel
{
    std::string request;
};

template<typename F>
void visitFields(F &&f, Fields<RequestCancel> auto &&v)
{
    f(v.request);
}

/** Whether a request was executed: certainly not, possibly, or certainly. */
enum class Outcome { NotRun, Unknown, Ran };

/** Agent to entry: the complete response of the minion, or the reason why there is none. */
struct RequestAnswer
{
    std::string request;
    Outcome outcome = Outcome::Unknown;
    /** HTTP status of the minion's response; 0 if there is no complete response. */
    std::uint32_t status = 0;
    std::vector<HeaderField> headers;
    std::string body;
    Step step = Step::None;
    std::string peer;
    std::string detail;
    /** Running and queued requests at the minion when its agent sent this answer. */
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
};

template<typename F>
void visitFields(F &&f, Fields<RequestAnswer> auto &&v)
{
    f(v.request);
    f(v.outcome);
    f(v.status);
    f(v.headers);
    f(v.body);
    f(v.step);
    f(v.peer);
    f(v.detail);
    f(v.running);
    f(v.queued);
}

/** Action that the leader orders for one attempt of a task. */
enum class TaskAction { Start, Stop, Checkpoint, Throttle };

/** Leader to agent: an idempotent order for one attempt of a task. */
struct TaskOrder
{
    std::string task;
    std::uint32_t attempt = 0;
    TaskAction action = TaskAction::Start;
    Resources declared;
    /** Command line or image reference from the record, passed to the worker unchanged. */
    std::string payload;
    /** Checkpoint from which a start resumes; 0 means the beginning. */
    std::uint64_t checkpoint = 0;
    /** Processor share allowed by a throttle order, in percent. */
    std::uint32_t throttlePercent = 100;
    /** Session of the worker to which the attempt belongs. */
    std::uint64_t session = 0;
    /** Stamp of the agent's latest heartbeat at the leader; agents refuse orders with old ones. */
    std::uint64_t stamp = 0;
};

template<typename F>
void visitFields(F &&f, Fields<TaskOrder> auto &&v)
{
    f(v.task);
    f(v.attempt);
    f(v.action);
    f(v.declared);
    f(v.payload);
    f(v.checkpoint);
    f(v.throttlePercent);
    f(v.session);
    f(v.stamp);
}

/** Agent to leader: attempts that changed state between heartbeats. */
struct TaskReport
{
    std::vector<AttemptReport> attempts;
};

template<typename F>
void visitFields(F &&f, Fields<TaskReport> auto &&v)
{
    f(v.attempts);
}

/** Either direction: asks for a configuration newer than \a knownVersion. */
struct ConfigurationPull
{
    std::uint64_t knownVersion = 0;
    /** Request number, repeated in the reply; 0 only announces the version and gets no reply. */
    std::uint64_t stamp = 0;
};

template<typename F>
void visitFields(F &&f, Fields<ConfigurationPull> auto &&v)
{
    f(v.knownVersion);
    f(v.stamp);
}

/** Either direction: a configuration; applied only if it is newer than the receiver's. */
struct ConfigurationPush
{
    std::uint64_t version = 0;
    /** True if a quorum confirmed the version within the last configuration lease. */
    bool fresh = false;
    /** All values; empty if the receiver already has this version. */
    std::map<std::string, std::string> values;
    /** Stamp of the ConfigurationPull. */
    std::uint64_t stamp = 0;
    /** Time from the quorum's confirmation to the sending; valid only with \a fresh. */
    Duration age{};
};

template<typename F>
void visitFields(F &&f, Fields<ConfigurationPush> auto &&v)
{
    f(v.version);
    f(v.fresh);
    f(v.values);
    f(v.stamp);
    f(v.age);
}

/** Replica to replica: one message of the replicated log, encoded by the Control package. */
struct ReplicaFrame
{
    std::string bytes;
};

template<typename F>
void visitFields(F &&f, Fields<ReplicaFrame> auto &&v)
{
    f(v.bytes);
}

/**
 * Entry to leader: commit the command in \a bytes and return its outcome, or answer the query in
 * \a bytes without a commit.
 */
struct ForwardRequest
{
    std::uint64_t id = 0;
    std::string bytes;
};

template<typename F>
void visitFields(F &&f, Fields<ForwardRequest> auto &&v)
{
    f(v.id);
    f(v.bytes);
}

/** Leader to entry: the outcome of a forwarded command or query. */
struct ForwardReply
{
    std::uint64_t id = 0;
    /** True if the command was committed and \a bytes holds its outcome. */
    bool accepted = false;
    std::string bytes;
    std::string leader;
    /** The Failure if not accepted; after Failure::Unknown the command may still commit. */
    std::uint32_t failure = 0;
    std::string detail;
};

template<typename F>
void visitFields(F &&f, Fields<ForwardReply> auto &&v)
{
    f(v.id);
    f(v.accepted);
    f(v.bytes);
    f(v.leader);
    f(v.failure);
    f(v.detail);
}

/**
 * Every message between the system's processes. Alternatives are encoded by index, so new ones are
 * appended.
 */
using Message =
    std::variant<Heartbeat, HeartbeatReply, RequestDispatch, RequestCancel, RequestAnswer,
                 TaskOrder, TaskReport, ConfigurationPull, ConfigurationPush, ReplicaFrame,
                 ForwardRequest, ForwardReply, JobCall, JobAnswer, MachineReport, MachineDirective,
                 GroupQuery, GroupView, LearnedInterference>;

/**
 * \struct Frame
 * \brief Envelope of one message.
 */
struct Frame
{
    std::uint32_t protocol = ProtocolVersion;
    std::string sender;
    /** Incarnation of the sending process: higher after each restart. */
    std::uint64_t incarnation = 0;
    /** Incarnation of the receiver for which the message is meant; 0 means any. */
    std::uint64_t targetIncarnation = 0;
    /** Version of the configuration that is active at the sender. */
    std::uint64_t configurationVersion = 0;
    Message message;
};

template<typename F>
void visitFields(F &&f, Fields<Frame> auto &&v)
{
    f(v.protocol);
    f(v.sender);
    f(v.incarnation);
    f(v.targetIncarnation);
    f(v.configurationVersion);
    f(v.message);
}

/** Encodes a frame for the wire. */
std::string encodeFrame(const Frame &frame);

/** Decodes a frame; fails on malformed bytes and on another protocol version. */
Result<Frame> decodeFrame(std::string_view bytes, const std::string &peer);

} // namespace Oleander
