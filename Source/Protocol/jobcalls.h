#pragma once

#include "Protocol/jobspec.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Oleander {

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
