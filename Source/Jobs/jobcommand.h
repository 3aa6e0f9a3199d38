#pragma once

#include "Protocol/jobmessages.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Oleander::Jobs {

/** Puts a version of the queues in force, unless one as high is. */
struct Configure
{
    QueueConfiguration configuration;
};

template<typename F>
void visitFields(F &&f, Fields<Configure> auto &&v)
{
    f(v.configuration);
}

/** A job for the queue called \a queue. */
struct Submission
{
    std::string queue;
    JobSubmission job;
};

template<typename F>
void visitFields(F &&f, Fields<Submission> auto &&v)
{
    f(v.queue);
    f(v.job);
}

/** The end of a run on one life of a minion. */
struct MinionRunEnd
{
    MinionLife minion;
    RunEnd end;
};

template<typename F>
void visitFields(F &&f, Fields<MinionRunEnd> auto &&v)
{
    f(v.minion);
    f(v.end);
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

/** What the leader commits at once; its parts take effect in the order of the fields. */
struct JobBatch
{
    /** Calendar time of the leader in milliseconds. */
    std::int64_t atMs = 0;
    std::vector<Submission> submissions;
    std::vector<std::string> cancellations;
    std::vector<MinionRunEnd> ends;
    std::vector<RunStart> starts;
    /** Ended jobs that need not be known any more. */
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

/** Every command of the job book; new alternatives go last. */
using JobCommand = std::variant<Configure, JobBatch>;

/** What became of a Configure. */
enum class ConfigureResult {
    /** In force, now or since an equal command before. */
    InForce,
    /** A higher version is in force, so nothing changed. */
    Superseded,
    /** The same version is in force with other content, so nothing changed. */
    Conflict,
};

/** Outcome of a command: the result of a Configure, or which starts of a batch took effect. */
struct JobOutcome
{
    ConfigureResult configure = ConfigureResult::InForce;
    std::vector<bool> started;
};

template<typename F>
void visitFields(F &&f, Fields<JobOutcome> auto &&v)
{
    f(v.configure);
    f(v.started);
}

} // namespace Oleander::Jobs
