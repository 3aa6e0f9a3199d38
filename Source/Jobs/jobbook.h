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

/** A run that may be at work on a minion. */
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
};

template<typename F>
void visitFields(F &&f, Fields<Task> auto &&v)
{
    f(v.lastRun);
    f(v.failures);
    f(v.done);
    f(v.checkpoint);
    f(v.active);
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
    /** Calendar time of its latest start or end of a run, or of its acceptance. */
    std::int64_t changedAtMs = 0;
    /** Number of done tasks of each step. */
    std::vector<std::uint32_t> doneCounts;

    /** True when a step of it lasts until the job is cancelled. */
    bool isLongRunning() const;
    bool hasEnded() const { return state != JobState::Queued && state != JobState::Running; }
    bool isStepDone(std::uint32_t step) const { return doneCounts[step] == steps[step].count; }
    /** True when every step that \a step depends on is done. */
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
}

/** Key of a run: its task and number. */
using RunKey = std::pair<TaskRef, std::uint32_t>;

/**
 * \class JobBook
 * \brief Replicated state of the queues, the jobs and the runs of their tasks.
 *
 * A run is active from its committed start until its committed end, whether or not the minion has
 * heard of it; whoever guards the capacity of a minion counts the active runs.
 */
class JobBook
{
public:
    JobOutcome apply(const JobCommand &command);
    std::string snapshot() const;
    Result<void> restore(std::string_view bytes);

    const QueueConfiguration &configuration() const { return configuration_; }
    /** Queue that \a host and the longest matching prefix of \a path select, or null. */
    const QueueSpec *route(std::string_view host, std::string_view path) const;
    /** Queue called \a name in the configuration in force, or as it last was. */
    const QueueSpec *queue(const std::string &name) const;
    /** True when the configuration in force has a queue called \a name. */
    bool isQueueInForce(const std::string &name) const;

    const std::map<std::string, Job> &jobs() const { return jobs_; }
    const Job *find(const std::string &id) const;
    /** Step of the task \a ref, or null where a known job has none such; agents pass on what a
     * minion lists, whatever it names. */
    const StepSpec *findStep(const TaskRef &ref) const;
    /** Jobs that have not ended. */
    const std::set<std::string> &openJobs() const { return openJobs_; }
    /** Active runs of each life of a minion. */
    const std::map<MinionLife, std::set<RunKey>> &activeRuns() const { return activeRuns_; }
    /** The active run of \a key, or null. */
    const ActiveRun *activeRun(const RunKey &key) const;
    /** Jobs of \a queue of which no task has started. */
    std::uint64_t pendingJobs(const std::string &queue) const;

private:
    JobOutcome execute(const Configure &command);
    JobOutcome execute(const JobBatch &command);
    void submit(const Submission &submission, std::int64_t atMs);
    void cancel(const std::string &id, std::int64_t atMs);
    void end(const MinionRunEnd &runEnd, std::int64_t atMs);
    bool start(const RunStart &start, std::int64_t atMs);
    void finish(const std::string &id, Job &job, JobState state, std::int64_t atMs);
    Task *findTask(const TaskRef &ref);
    void rebuildIndexes();

    QueueConfiguration configuration_;
    /** Queues by name, with those that left the configuration while a job of theirs is known. */
    std::map<std::string, QueueSpec> queues_;
    std::map<std::string, Job> jobs_;
    std::set<std::string> openJobs_;
    std::map<MinionLife, std::set<RunKey>> activeRuns_;
};

} // namespace Oleander::Jobs
