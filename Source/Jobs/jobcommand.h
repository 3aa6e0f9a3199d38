#pragma once

#include "Protocol/jobmessages.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Oleander::Jobs {

/** Puts a queue configuration in force unless the current version is the same or higher. */
struct Configure
{
    QueueConfiguration configuration;
};

template<typename F>
void visitFields(F &&f, Fields<Configure> auto &&v)
{
    f(v.configuration);
}

/** A job submitted to the queue \a queue. */
struct Submission
{
    std::string queue;
    JobSubmission job;
    /** Version of the configuration that routed the job to the queue. 0 in entries of logs without
     * the field; their jobs are accepted whether the queue is in force or not. */
    std::uint64_t configurationVersion = 0;
};

template<typename F>
void visitFields(F &&f, Fields<Submission> auto &&v)
{
    f(v.queue);
    f(v.job);
    f(v.configurationVersion);
}

/** The end of a run on one life of a minion. */
struct MinionRunEnd
{
    MinionLife minion;
    RunEnd end;
    /** Number of runs that may have crashed the minion if this is one of them, otherwise 0. */
    std::uint32_t crashSuspects = 0;
    /** True if the minion certainly started the run; only set for a lost run. */
    bool hasStarted = false;
    /** True if the end counts although the run is no longer active. Entries of earlier versions
     * lack the field; such ends of theirs are ignored, as when they were committed. */
    bool countsWhenLate = false;
};

template<typename F>
void visitFields(F &&f, Fields<MinionRunEnd> auto &&v)
{
    f(v.minion);
    f(v.end);
    f(v.crashSuspects);
    f(v.hasStarted);
    f(v.countsWhenLate);
}

/** The decision to start a run on one life of a minion. */
struct RunStart
{
    TaskRef task;
    std::uint32_t run = 0;
    MinionLife minion;
};

template<typename F>
void visitFields(F &&f, Fields<RunStart> auto &&v)
{
    f(v.task);
    f(v.run);
    f(v.minion);
}

/** Changes that the leader commits in one log entry. They are applied in the order of the fields.
 */
struct JobBatch
{
    /** Calendar time of the leader in milliseconds. */
    std::int64_t atMs = 0;
    std::vector<Submission> submissions;
    std::vector<std::string> cancellations;
    std::vector<MinionRunEnd> ends;
    std::vector<RunStart> starts;
    /** Ended jobs to remove from the state. */
    std::vector<std::string> purged;

    bool empty() const
    {
        return submissions.empty() && cancellations.empty() && ends.empty() && starts.empty()
               && purged.empty();
    }
};

template<typename F>
void visitFields(F &&f, Fields<JobBatch> auto &&v)
{
    f(v.atMs);
    f(v.submissions);
    f(v.cancellations);
    f(v.ends);
    f(v.starts);
    f(v.purged);
}

/** Requests the evacuation of a failure domain, or withdraws the request. */
struct ChangeEvacuation
{
    std::string failureDomain;
    bool requested = false;
    /** Evacuation::revision that the change replaces; 0 if the failure domain has none. A change
     * that a link delayed could otherwise revert a later one. */
    std::uint64_t expectedRevision = 0;
    /** Calendar time of the leader in milliseconds. */
    std::int64_t atMs = 0;
};

template<typename F>
void visitFields(F &&f, Fields<ChangeEvacuation> auto &&v)
{
    f(v.failureDomain);
    f(v.requested);
    f(v.expectedRevision);
    f(v.atMs);
}

/** All commands of the job book; new alternatives are appended at the end. */
using JobCommand = std::variant<Configure, JobBatch, ChangeEvacuation>;

/** Result of a Configure command. */
enum class ConfigureResult {
    /** The configuration is in force, by this command or by an equal one before it. */
    InForce,
    /** A higher version is in force; nothing changed. */
    Superseded,
    /** The same version is in force with different content; nothing changed. */
    Conflict,
};

/** Result of a ChangeEvacuation command. */
enum class EvacuationResult {
    Changed,
    /** The requested state was already in force. */
    Unchanged,
    /** The request was changed after the expected revision; nothing changed. */
    Outdated,
};

/** Outcome of a command: the result of a Configure or ChangeEvacuation, or which starts and
 * submissions of a batch were applied. */
struct JobOutcome
{
    ConfigureResult configure = ConfigureResult::InForce;
    std::vector<bool> started;
    /** For each submission, false if its queue is not in force; the job is then not stored. */
    std::vector<bool> accepted;
    EvacuationResult evacuation = EvacuationResult::Changed;
    /** Revision of the evacuation after the command. */
    std::uint64_t evacuationRevision = 0;
};

template<typename F>
void visitFields(F &&f, Fields<JobOutcome> auto &&v)
{
    f(v.configure);
    f(v.started);
    f(v.accepted);
    f(v.evacuation);
    f(v.evacuationRevision);
}

} // namespace Oleander::Jobs
