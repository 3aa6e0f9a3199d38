#pragma once

#include "Base/error.h"
#include "Jobs/jobcommand.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Oleander::Jobs {

/** A run that may be executing on a minion. */
struct ActiveRun
{
    std::uint32_t run = 0;
    MinionLife minion;
    /** Calendar time of the leader's decision in milliseconds. */
    std::int64_t startedAtMs = 0;
};

template<typename F>
void visitFields(F &&f, Fields<ActiveRun> auto &&v)
{
    f(v.run);
    f(v.minion);
    f(v.startedAtMs);
}

struct Task
{
    /** Number of the latest run; 0 before the first. */
    std::uint32_t lastRun = 0;
    std::uint32_t failures = 0;
    bool done = false;
    std::string checkpoint;
    std::vector<ActiveRun> active;
    /** Consecutive runs that may have crashed their minion. */
    std::uint32_t suspectedCrashes = 0;
    /** Those of them that the minion certainly started. */
    std::uint32_t crashes = 0;
    /** Those of them without another run that may have caused the crash. Counts stored by earlier
     * versions include unconfirmedCrashes here and in crashes. */
    std::uint32_t certainCrashes = 0;
    /** Suspected crashes without another possible cause whose start the minion has not confirmed.
     */
    std::uint32_t unconfirmedCrashes = 0;

    /** True if the task has crashed so many minions that it must not start again. */
    bool isGivenUp() const;
};

template<typename F>
void visitFields(F &&f, Fields<Task> auto &&v)
{
    f(v.lastRun);
    f(v.failures);
    f(v.done);
    f(v.checkpoint);
    f(v.active);
    f(v.suspectedCrashes);
    f(v.crashes);
    f(v.certainCrashes);
    f(v.unconfirmedCrashes);
}

struct Job
{
    std::string queue;
    std::string spec;
    std::vector<StepSpec> steps;
    /** Tasks of each step. */
    std::vector<std::vector<Task>> tasks;
    JobState state = JobState::Queued;
    std::int64_t acceptedAtMs = 0;
    std::int64_t endedAtMs = 0;
    /** Calendar time of the latest start or end of a run, or of the acceptance of the job. */
    std::int64_t changedAtMs = 0;
    /** Number of done tasks of each step. */
    std::vector<std::uint32_t> doneCounts;
    /** True if a minion has certainly started one of the runs that have ended. */
    bool hasBegun = false;

    /** True if a step of the job runs until the job is cancelled. */
    bool isLongRunning() const;
    bool hasEnded() const { return state != JobState::Queued && state != JobState::Running; }
    bool isStepDone(std::uint32_t step) const { return doneCounts[step] == steps[step].count; }
    bool hasActiveRuns() const;
    /** True if every step that \a step depends on is done. */
    bool isStepReady(std::uint32_t step) const;
};

template<typename F>
void visitFields(F &&f, Fields<Job> auto &&v)
{
    f(v.queue);
    f(v.spec);
    f(v.steps);
    f(v.tasks);
    f(v.state);
    f(v.acceptedAtMs);
    f(v.endedAtMs);
    f(v.doneCounts);
    f(v.changedAtMs);
    f(v.hasBegun);
}

/** The latest request of an operator to evacuate a failure domain. */
struct Evacuation
{
    /** False after the request was withdrawn. */
    bool requested = false;
    /** Number of changes so far. */
    std::uint64_t revision = 0;
    /** Calendar time of the latest change in milliseconds. */
    std::int64_t changedAtMs = 0;
};

template<typename F>
void visitFields(F &&f, Fields<Evacuation> auto &&v)
{
    f(v.requested);
    f(v.revision);
    f(v.changedAtMs);
}

/** Key of a run: its task and its run number. */
using RunKey = std::pair<TaskRef, std::uint32_t>;

/**
 * \class JobBook
 * \brief Replicated state of the queues, the jobs and the runs of their tasks.
 *
 * A run is active from the commit of its start until the commit of its end, even before the minion
 * receives the start order. The capacity check of a minion therefore counts all active runs.
 */
class JobBook
{
public:
    JobOutcome apply(const JobCommand &command);
    std::string snapshot() const;
    Result<void> restore(std::string_view bytes);

    const QueueConfiguration &configuration() const { return configuration_; }
    /** Returns the queue for \a host and the longest matching prefix of \a path, or null. */
    const QueueSpec *route(std::string_view host, std::string_view path) const;
    /** Returns the queue \a name, or null. A queue that was removed from the configuration is
     * returned with its last settings while one of its jobs is stored. */
    const QueueSpec *queue(const std::string &name) const;
    /** True if the configuration in force has a queue \a name. */
    bool isQueueInForce(const std::string &name) const;

    const std::map<std::string, Job> &jobs() const { return jobs_; }
    const Job *find(const std::string &id) const;
    /** Returns the step of the task \a ref, or null if the job or the step does not exist. Agents
     * forward the tasks that a minion lists without validating them. */
    const StepSpec *findStep(const TaskRef &ref) const;
    /** Returns the task \a ref, or null if it does not exist. */
    const Task *findTask(const TaskRef &ref) const;
    /** Estimated memory of all stored jobs, including those that have ended. */
    std::size_t storedBytes() const { return storedBytes_; }
    /** Estimated memory of a job with \a steps and \a spec. */
    static std::size_t bytesOf(const std::vector<StepSpec> &steps, const std::string &spec);
    /** Jobs that have not ended. */
    const std::set<std::string> &openJobs() const { return openJobs_; }
    /** Tasks of open jobs that may have crashed a minion. */
    const std::set<TaskRef> &crashSuspects() const { return crashSuspects_; }
    /** Active runs by minion life. */
    const std::map<MinionLife, std::set<RunKey>> &activeRuns() const { return activeRuns_; }
    /** Returns the active run \a key, or null. */
    const ActiveRun *activeRun(const RunKey &key) const;
    /** True if the run of \a end is active on \a life, or if its late end would change the state.
     */
    bool expectsEnd(const MinionLife &life, const RunEnd &end) const;

    /** Evacuation requests by failure domain, including withdrawn ones. */
    const std::map<std::string, Evacuation> &evacuations() const { return evacuations_; }
    /** True if no task may start on the minions of \a failureDomain. */
    bool isEvacuated(const std::string &failureDomain) const;

private:
    JobOutcome execute(const Configure &command);
    JobOutcome execute(const JobBatch &command);
    JobOutcome execute(const ChangeEvacuation &command);
    /** Returns false if the job is not accepted because its queue is not in force. */
    bool submit(const Submission &submission, std::int64_t atMs);
    void cancel(const std::string &id, std::int64_t atMs);
    void end(const MinionRunEnd &runEnd, std::int64_t atMs);
    /** Applies the end of a run that is not active on the minion that lists it. The lease of the
     * run may have expired before its end was known, or the minion has carried out a start that was
     * meant for its former life. */
    void endLate(const RunEnd &end, Task &task, std::int64_t atMs);
    bool expectsLateEnd(const RunEnd &end) const;
    void completeTask(const TaskRef &ref, Task &task, std::int64_t atMs);
    void countCrash(const MinionRunEnd &runEnd, Task &task);
    bool start(const RunStart &start, std::int64_t atMs);
    void finish(const std::string &id, Job &job, JobState state, std::int64_t atMs);
    Task *findTask(const TaskRef &ref);
    void rebuildIndexes();

    QueueConfiguration configuration_;
    /** Queues by name, including queues that were removed from the configuration while one of their
     * jobs is stored. */
    std::map<std::string, QueueSpec> queues_;
    std::map<std::string, Job> jobs_;
    std::size_t storedBytes_ = 0;
    std::set<std::string> openJobs_;
    std::set<TaskRef> crashSuspects_;
    std::map<MinionLife, std::set<RunKey>> activeRuns_;
    std::map<std::string, Evacuation> evacuations_;
};

} // namespace Oleander::Jobs
