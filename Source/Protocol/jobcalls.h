#pragma once

#include "Protocol/jobspec.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Oleander {

/** Submits a job. */
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

/** Asks for the state of a job, or of the queue when the path is only the queue's prefix. */
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

/** Activates a new version of the queue configuration. */
struct ConfigureCall
{
    QueueConfiguration configuration;
};

template<typename F>
void visitFields(F &&f, Fields<ConfigureCall> auto &&v)
{
    f(v.configuration);
}

/** Reads the active queue configuration. */
struct ReadConfigurationCall
{
    /** Placeholder; the call has no arguments. */
    std::uint32_t unused = 0;
};

template<typename F>
void visitFields(F &&f, Fields<ReadConfigurationCall> auto &&v)
{
    f(v.unused);
}

/** Identifies the state of a failure domain's evacuation that a change replaces. */
struct EvacuationVersion
{
    /** Number of changes so far; 0 for a failure domain that was never evacuated. */
    std::uint64_t revision = 0;
    /** Term of the leader that issued this version. */
    std::uint64_t term = 0;
    /** Number of calls for the failure domain that this leader has processed, including those that
     * found the requested state in force and so left the revision as it was. */
    std::uint64_t calls = 0;

    bool operator==(const EvacuationVersion &) const = default;
};

template<typename F>
void visitFields(F &&f, Fields<EvacuationVersion> auto &&v)
{
    f(v.revision);
    f(v.term);
    f(v.calls);
}

/** Requests the evacuation of a failure domain, or withdraws the request. */
struct EvacuationCall
{
    std::string failureDomain;
    bool requested = false;
    /** The version that the change replaces. The leader processes each version once, so that a call
     * that a link or a suspended process delayed cannot revert a later one. */
    EvacuationVersion expected;
};

template<typename F>
void visitFields(F &&f, Fields<EvacuationCall> auto &&v)
{
    f(v.failureDomain);
    f(v.requested);
    f(v.expected);
}

/** Reads the evacuation requests of all failure domains. */
struct ReadEvacuationsCall
{
    /** Placeholder; the call has no arguments. */
    std::uint32_t unused = 0;
};

template<typename F>
void visitFields(F &&f, Fields<ReadEvacuationsCall> auto &&v)
{
    f(v.unused);
}

/** All calls; new alternatives are appended at the end. */
using JobCallBody = std::variant<SubmitCall, StateCall, CancelCall, ConfigureCall,
                                 ReadConfigurationCall, EvacuationCall, ReadEvacuationsCall>;

/** Entry or control host to leader: a call about jobs or queues. */
struct JobCall
{
    /** Repeated in the JobAnswer to match it with the call. */
    std::uint64_t id = 0;
    JobCallBody body;
};

template<typename F>
void visitFields(F &&f, Fields<JobCall> auto &&v)
{
    f(v.id);
    f(v.body);
}

/** Outcome of a JobCall. */
enum class JobAnswerKind {
    /** The call took effect, now or when it was sent before. */
    Accepted,
    /** The answer holds the state of the job. */
    State,
    /** The answer holds the number of pending jobs of the queue. */
    Pending,
    /** The answer holds the document of the active queue configuration. */
    Document,
    NoSuchQueue,
    NoSuchJob,
    NoConfiguration,
    Invalid,
    Conflict,
    /** Rejected because of load; the job was not accepted and will never run. */
    Overloaded,
    /** This process is not the leader; the call had no effect. */
    NotLeader,
    /** The call may or may not take effect. */
    Unknown,
    /** No such failure domain is configured; the call had no effect. */
    UnknownFailureDomain,
    /** The call did not name the current EvacuationVersion, which the answer holds; it had no
     * effect. */
    OutdatedEvacuation,
    /** The answer lists the evacuation requests. */
    Evacuations,
    /** The settings of this process do not offer the call. */
    NotOffered,
};

/** An evacuation request as it is listed; also one that was withdrawn. */
struct EvacuationStatus
{
    std::string failureDomain;
    bool requested = false;
    std::uint64_t revision = 0;
    /** Calendar time of the latest change in milliseconds. */
    std::int64_t changedAtMs = 0;
};

template<typename F>
void visitFields(F &&f, Fields<EvacuationStatus> auto &&v)
{
    f(v.failureDomain);
    f(v.requested);
    f(v.revision);
    f(v.changedAtMs);
}

/** Leader to entry or control host: the answer to a JobCall. */
struct JobAnswer
{
    std::uint64_t id = 0;
    JobAnswerKind kind = JobAnswerKind::Unknown;
    JobState state = JobState::Queued;
    std::uint64_t pending = 0;
    std::string document;
    std::string detail;
    std::uint32_t retryAfterMs = 0;
    /** Current version of the evacuation that was called. */
    EvacuationVersion evacuation;
    std::vector<EvacuationStatus> evacuations;
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
    f(v.evacuation);
    f(v.evacuations);
}

/** Any process to a control host: asks for the control group, now and after each change. */
struct GroupQuery
{
    /** Link address of the sender if it is a control host, else empty. */
    std::string controlHost;
};

template<typename F>
void visitFields(F &&f, Fields<GroupQuery> auto &&v)
{
    f(v.controlHost);
}

/** Control host to any process: its view of the control group. */
struct GroupView
{
    std::uint64_t term = 0;
    /** Link address of the leader; empty while the sender knows of none. */
    std::string leader;
    /** Link addresses of all control hosts. */
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
