#pragma once

#include "Base/clock.h"
#include "Protocol/fields.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace Oleander {

/** One step of a job: \a count tasks of the same kind. */
struct StepSpec
{
    std::uint32_t count = 1;
    std::uint32_t milliCores = 0;
    std::uint64_t memoryMiB = 0;
    std::uint32_t accelerators = 0;
    /** Rough length of one task, as the client declares it. */
    std::uint32_t estimateMs = 0;
    /** Numbers of earlier steps whose tasks must all be done first. */
    std::vector<std::uint32_t> dependsOn;
    bool checkpointing = false;
    /** Copies of a task may run in parallel; the first to finish counts. */
    bool speculative = false;
    /** The tasks run until the job is cancelled. */
    bool lasting = false;
    /** The tasks take processor time that others leave, which the ledger does not count. */
    bool filling = false;
    /** Most tasks of the step on one minion; 0 for no limit. */
    std::uint32_t maxPerMinion = 0;
    /** Most tasks of a lasting step that the system may take away at the same time; 0 for no limit.
     */
    std::uint32_t maxUnavailable = 0;
    /** Bound of the tail latency of a lasting task; 0 for none. */
    std::uint32_t targetLatencyMs = 0;
    /** Label that the minion must have; empty for any. */
    std::string requiredLabel;
    /** Rack that holds the data; empty for any. */
    std::string affinity;
    /** Name of what the tasks run. */
    std::string image;
};

template<typename F>
void visitFields(F &&f, Fields<StepSpec> auto &&v)
{
    f(v.count);
    f(v.milliCores);
    f(v.memoryMiB);
    f(v.accelerators);
    f(v.estimateMs);
    f(v.dependsOn);
    f(v.checkpointing);
    f(v.speculative);
    f(v.lasting);
    f(v.filling);
    f(v.maxPerMinion);
    f(v.maxUnavailable);
    f(v.targetLatencyMs);
    f(v.requiredLabel);
    f(v.affinity);
    f(v.image);
}

/** Names one task of a job. */
struct TaskRef
{
    std::string job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    bool operator==(const TaskRef &) const = default;
    bool operator<(const TaskRef &other) const
    {
        return std::tie(job, step, index) < std::tie(other.job, other.step, other.index);
    }
};

template<typename F>
void visitFields(F &&f, Fields<TaskRef> auto &&v)
{
    f(v.job);
    f(v.step);
    f(v.index);
}

/** One life of a minion: its name and the calendar time of its start in milliseconds. */
struct MinionLife
{
    std::string name;
    std::uint64_t bornMs = 0;

    bool operator==(const MinionLife &) const = default;
    bool operator<(const MinionLife &other) const
    {
        return std::tie(name, bornMs) < std::tie(other.name, other.bornMs);
    }
};

template<typename F>
void visitFields(F &&f, Fields<MinionLife> auto &&v)
{
    f(v.name);
    f(v.bornMs);
}

/** How a run of a task ended. */
enum class RunEndKind {
    Done,
    Failed,
    Stopped,
    /** The lease of the minion ended. */
    Lapsed,
    /** The minion is gone, or its lease surely ended. */
    Lost,
    /** The minion refused to start it. */
    Refused,
};

/** One run as a minion lists it. */
struct RunStatus
{
    TaskRef task;
    std::uint32_t run = 0;
    std::string checkpoint;
    /** Progress of 0 to 100. */
    std::uint32_t percent = 0;
    /** Tail latency in milliseconds of a lasting task, else the milli-cores in use. */
    std::uint32_t figure = 0;
    /** True when the agent knows the order that started it. */
    bool described = false;
};

template<typename F>
void visitFields(F &&f, Fields<RunStatus> auto &&v)
{
    f(v.task);
    f(v.run);
    f(v.checkpoint);
    f(v.percent);
    f(v.figure);
    f(v.described);
}

/** One ended run as a minion lists it until the end is acknowledged. */
struct RunEnd
{
    /** Number of the end within the life of the minion; 0 for an end that no minion listed. */
    std::uint64_t number = 0;
    TaskRef task;
    std::uint32_t run = 0;
    RunEndKind kind = RunEndKind::Lost;
    std::string checkpoint;
};

template<typename F>
void visitFields(F &&f, Fields<RunEnd> auto &&v)
{
    f(v.number);
    f(v.task);
    f(v.run);
    f(v.kind);
    f(v.checkpoint);
}

/** What a minion says of itself, with what its agent knows of it. */
struct MinionReport
{
    MinionLife life;
    std::string service;
    std::string zone;
    std::vector<std::string> labels;
    std::uint32_t milliCores = 0;
    std::uint64_t memoryMiB = 0;
    std::uint32_t accelerators = 0;
    bool draining = false;
    /** False while the calls of the agent to the minion fail. */
    bool reachable = true;
};

template<typename F>
void visitFields(F &&f, Fields<MinionReport> auto &&v)
{
    f(v.life);
    f(v.service);
    f(v.zone);
    f(v.labels);
    f(v.milliCores);
    f(v.memoryMiB);
    f(v.accelerators);
    f(v.draining);
    f(v.reachable);
}

/** Agent to leader: the minion of its machine and the runs there. */
struct MachineReport
{
    /** Counts the reports of one agent process. */
    std::uint64_t sequence = 0;
    /** Lives that have surely ended. */
    std::vector<MinionLife> ended;
    /** False while no minion is announced; the fields below are then empty. */
    bool present = false;
    MinionReport minion;
    /** Latest time on the minion's own clock that the agent has read, in milliseconds. */
    std::uint64_t minionClockMs = 0;
    /** True when \a running is the whole list. */
    bool listed = false;
    std::vector<RunStatus> running;
    /** Ends that the minion lists and that are not acknowledged. */
    std::vector<RunEnd> finished;
    /** Starts that the agent still tries to deliver. */
    std::vector<RunEnd> undelivered;
    /** Starts that the minion refused and never ran. */
    std::vector<RunEnd> refused;
    /** Share of their processor time that the filling runs may use, in percent. */
    std::uint32_t fillingPercent = 100;
};

template<typename F>
void visitFields(F &&f, Fields<MachineReport> auto &&v)
{
    f(v.sequence);
    f(v.ended);
    f(v.present);
    f(v.minion);
    f(v.minionClockMs);
    f(v.listed);
    f(v.running);
    f(v.finished);
    f(v.undelivered);
    f(v.refused);
    f(v.fillingPercent);
}

/** One run that the minion shall start, with what its agent needs to know for pacing. */
struct StartOrder
{
    TaskRef task;
    std::uint32_t run = 0;
    std::string spec;
    std::string checkpoint;
    bool filling = false;
    std::uint32_t targetLatencyMs = 0;
    std::string image;
    std::uint32_t milliCores = 0;
};

template<typename F>
void visitFields(F &&f, Fields<StartOrder> auto &&v)
{
    f(v.task);
    f(v.run);
    f(v.spec);
    f(v.checkpoint);
    f(v.filling);
    f(v.targetLatencyMs);
    f(v.image);
    f(v.milliCores);
}

/** One run that the minion shall stop. */
struct StopOrder
{
    TaskRef task;
    std::uint32_t run = 0;
};

template<typename F>
void visitFields(F &&f, Fields<StopOrder> auto &&v)
{
    f(v.task);
    f(v.run);
}

/** How much a core of a filling image presses on a serving one, in parts of its bound. */
struct ImagePress
{
    std::string filling;
    std::string serving;
    double press = 0;
};

template<typename F>
void visitFields(F &&f, Fields<ImagePress> auto &&v)
{
    f(v.filling);
    f(v.serving);
    f(v.press);
}

/** Pressure of a serving image without filling tasks, in parts of its bound. */
struct ImageBase
{
    std::string serving;
    double pressure = 0;
};

template<typename F>
void visitFields(F &&f, Fields<ImageBase> auto &&v)
{
    f(v.serving);
    f(v.pressure);
}

/** Leader to control hosts: what it learned, so that the next leader need not learn it again. */
struct LearnedImages
{
    std::vector<ImagePress> presses;
    std::vector<ImageBase> bases;
};

template<typename F>
void visitFields(F &&f, Fields<LearnedImages> auto &&v)
{
    f(v.presses);
    f(v.bases);
}

/** Leader to agent: orders and the lease for one life of the minion. */
struct MachineDirective
{
    /** Term of the leader; the fence of every call to the minion. */
    std::uint64_t term = 0;
    MinionLife life;
    /** Time on the minion's clock until which its runs may go on, in milliseconds. */
    std::uint64_t holdUntilMs = 0;
    /** Ends up to this number are committed. */
    std::uint64_t acknowledgedEnd = 0;
    /** Refusals and ended lives of the report with this sequence are committed. */
    std::uint64_t acknowledgedReport = 0;
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    /** What the leader learned of the images that meet on the minion; empty for no news. */
    std::vector<ImagePress> presses;
};

template<typename F>
void visitFields(F &&f, Fields<MachineDirective> auto &&v)
{
    f(v.term);
    f(v.life);
    f(v.holdUntilMs);
    f(v.acknowledgedEnd);
    f(v.acknowledgedReport);
    f(v.starts);
    f(v.stops);
    f(v.presses);
}

/** A job as a client hands it in. */
struct JobSubmission
{
    std::string id;
    std::string spec;
    std::vector<StepSpec> steps;
};

template<typename F>
void visitFields(F &&f, Fields<JobSubmission> auto &&v)
{
    f(v.id);
    f(v.spec);
    f(v.steps);
}

/** One queue: where its jobs come in and how they are served. */
struct QueueSpec
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string service;
    std::uint32_t priority = 0;
    std::uint32_t maxAttempts = 1;
    /** Objective of a job: this many thousandths of its longest chain of work. */
    std::uint32_t stretchThousandths = 1000;
    /** Added to the objective. */
    std::uint32_t targetCompletionMs = 0;

    bool operator==(const QueueSpec &) const = default;
};

template<typename F>
void visitFields(F &&f, Fields<QueueSpec> auto &&v)
{
    f(v.name);
    f(v.host);
    f(v.pathPrefix);
    f(v.service);
    f(v.priority);
    f(v.maxAttempts);
    f(v.stretchThousandths);
    f(v.targetCompletionMs);
}

/** One version of the queues, with the document that the operator sent. */
struct QueueConfiguration
{
    std::uint64_t version = 0;
    std::string document;
    std::vector<QueueSpec> queues;
};

template<typename F>
void visitFields(F &&f, Fields<QueueConfiguration> auto &&v)
{
    f(v.version);
    f(v.document);
    f(v.queues);
}

/** Hands a job in. */
struct SubmitCall
{
    std::string host;
    std::string path;
    JobSubmission job;
};

template<typename F>
void visitFields(F &&f, Fields<SubmitCall> auto &&v)
{
    f(v.host);
    f(v.path);
    f(v.job);
}

/** Asks for the state of a job, or, when the path ends with the prefix, of the queue. */
struct StateCall
{
    std::string host;
    std::string path;
};

template<typename F>
void visitFields(F &&f, Fields<StateCall> auto &&v)
{
    f(v.host);
    f(v.path);
}

/** Cancels a job. */
struct CancelCall
{
    std::string host;
    std::string path;
};

template<typename F>
void visitFields(F &&f, Fields<CancelCall> auto &&v)
{
    f(v.host);
    f(v.path);
}

/** Puts a version of the queues in force. */
struct ConfigureCall
{
    QueueConfiguration configuration;
};

template<typename F>
void visitFields(F &&f, Fields<ConfigureCall> auto &&v)
{
    f(v.configuration);
}

/** Reads the version of the queues in force. */
struct ReadConfigurationCall
{
    std::uint32_t unused = 0;
};

template<typename F>
void visitFields(F &&f, Fields<ReadConfigurationCall> auto &&v)
{
    f(v.unused);
}

using JobCallBody =
    std::variant<SubmitCall, StateCall, CancelCall, ConfigureCall, ReadConfigurationCall>;

/** Entry or control host to leader. */
struct JobCall
{
    std::uint64_t id = 0;
    JobCallBody body;
};

template<typename F>
void visitFields(F &&f, Fields<JobCall> auto &&v)
{
    f(v.id);
    f(v.body);
}

/** State of a job as its client sees it. */
enum class JobState { Queued, Running, Completed, Failed, Cancelled };

/** Outcome of a JobCall. */
enum class JobAnswerKind {
    /** Accepted, done, or acknowledged again. */
    Accepted,
    State,
    Pending,
    Document,
    NoSuchQueue,
    NoSuchJob,
    NoConfiguration,
    Invalid,
    Conflict,
    /** Refused for load; the job was not accepted and never runs. */
    Overloaded,
    /** This process does not lead; nothing was done. */
    NotLeader,
    /** The call may or may not take effect. */
    Unknown,
};

/** Leader to entry or control host. */
struct JobAnswer
{
    std::uint64_t id = 0;
    JobAnswerKind kind = JobAnswerKind::Unknown;
    JobState state = JobState::Queued;
    std::uint64_t pending = 0;
    std::string document;
    std::string detail;
    std::uint32_t retryAfterMs = 0;
};

template<typename F>
void visitFields(F &&f, Fields<JobAnswer> auto &&v)
{
    f(v.id);
    f(v.kind);
    f(v.state);
    f(v.pending);
    f(v.document);
    f(v.detail);
    f(v.retryAfterMs);
}

/** Any process to a control host: tell me the group, now and when it changes. */
struct GroupQuery
{
    /** Link address of the asker when it is a control host, else empty. */
    std::string controlHost;
};

template<typename F>
void visitFields(F &&f, Fields<GroupQuery> auto &&v)
{
    f(v.controlHost);
}

/** Control host to any process: its view of the group. */
struct GroupView
{
    std::uint64_t term = 0;
    /** Link address of the leader, or empty while the sender knows none. */
    std::string leader;
    /** Link addresses of the control hosts. */
    std::vector<std::string> hosts;
};

template<typename F>
void visitFields(F &&f, Fields<GroupView> auto &&v)
{
    f(v.term);
    f(v.leader);
    f(v.hosts);
}

} // namespace Oleander
