#include "Jobs/jobbook.h"

#include "Jobs/crashevidence.h"
#include "Protocol/codec.h"

#include <algorithm>
#include <utility>

namespace Oleander::Jobs {

namespace {

/** True unless the minion certainly started the run. */
bool mayNotHaveStarted(const MinionRunEnd &runEnd)
{
    const RunEndKind kind = runEnd.end.kind;
    return !runEnd.hasStarted && (kind == RunEndKind::Lost || kind == RunEndKind::Refused);
}

/** Memory of a step, of a task with one run and of the other parts of a job, including the blocks
 * that they allocate. */
constexpr std::size_t BytesPerStep = 320;
constexpr std::size_t BytesPerTask = 256;
constexpr std::size_t BytesPerJob = 512;

/** Serialized content of a snapshot; new fields are appended at the end. */
struct SnapshotContent
{
    QueueConfiguration configuration;
    std::map<std::string, QueueSpec> queues;
    std::map<std::string, Job> jobs;
    std::map<std::string, Evacuation> evacuations;
};

template<typename F>
void visitFields(F &&f, Fields<SnapshotContent> auto &&v)
{
    f(v.configuration);
    f(v.queues);
    f(v.jobs);
    f(v.evacuations);
}

} // namespace

bool Task::isGivenUp() const
{
    const CrashCounts counts{suspectedCrashes, crashes, certainCrashes, unconfirmedCrashes};
    return counts.isConclusive();
}

bool Job::isLongRunning() const
{
    return std::ranges::any_of(steps, &StepSpec::longRunning);
}

bool Job::hasActiveRuns() const
{
    return std::ranges::any_of(tasks, [](const std::vector<Task> &step) {
        return std::ranges::any_of(step, [](const Task &task) { return !task.active.empty(); });
    });
}

bool Job::isStepReady(std::uint32_t step) const
{
    return std::ranges::all_of(steps[step].dependsOn,
                               [this](std::uint32_t earlier) { return isStepDone(earlier); });
}

JobOutcome JobBook::apply(const JobCommand &command)
{
    return std::visit([this](const auto &alternative) { return execute(alternative); }, command);
}

JobOutcome JobBook::execute(const Configure &command)
{
    const QueueConfiguration &next = command.configuration;
    if (next.version < configuration_.version)
        return {ConfigureResult::Superseded, {}};
    if (next.version == configuration_.version) {
        const bool same = next.document == configuration_.document;
        return {same ? ConfigureResult::InForce : ConfigureResult::Conflict, {}};
    }
    configuration_ = next;
    std::set<std::string> needed;
    for (const auto &[id, job] : jobs_)
        needed.insert(job.queue);
    std::erase_if(queues_, [&](const auto &item) { return !needed.contains(item.first); });
    for (const QueueSpec &queue : next.queues)
        queues_[queue.name] = queue;
    return {};
}

JobOutcome JobBook::execute(const JobBatch &command)
{
    JobOutcome outcome;
    for (const Submission &submission : command.submissions)
        outcome.accepted.push_back(submit(submission, command.atMs));
    for (const std::string &id : command.cancellations)
        cancel(id, command.atMs);
    for (const MinionRunEnd &runEnd : command.ends)
        end(runEnd, command.atMs);
    for (const RunStart &decision : command.starts)
        outcome.started.push_back(start(decision, command.atMs));
    for (const std::string &id : command.purged) {
        const auto found = jobs_.find(id);
        if (found != jobs_.end() && found->second.hasEnded()) {
            storedBytes_ -= bytesOf(found->second.steps, found->second.spec);
            jobs_.erase(found);
        }
    }
    return outcome;
}

JobOutcome JobBook::execute(const ChangeEvacuation &command)
{
    JobOutcome outcome;
    const auto found = evacuations_.find(command.failureDomain);
    const Evacuation current = found == evacuations_.end() ? Evacuation{} : found->second;
    outcome.evacuationRevision = current.revision;
    if (current.requested == command.requested) {
        outcome.evacuation = EvacuationResult::Unchanged;
    } else if (current.revision != command.expectedRevision) {
        outcome.evacuation = EvacuationResult::Outdated;
    } else {
        outcome.evacuationRevision = current.revision + 1;
        evacuations_[command.failureDomain] = {command.requested, outcome.evacuationRevision,
                                               command.atMs};
    }
    return outcome;
}

bool JobBook::isEvacuated(const std::string &failureDomain) const
{
    const auto found = evacuations_.find(failureDomain);
    return found != evacuations_.end() && found->second.requested;
}

std::size_t JobBook::bytesOf(const std::vector<StepSpec> &steps, const std::string &spec)
{
    std::size_t bytes = BytesPerJob + spec.size();
    for (const StepSpec &step : steps) {
        bytes += BytesPerStep + step.count * BytesPerTask
                 + step.dependsOn.size() * sizeof(step.dependsOn.front()) + step.image.size()
                 + step.affinity.size() + step.requiredLabel.size();
    }
    return bytes;
}

bool JobBook::submit(const Submission &submission, std::int64_t atMs)
{
    if (jobs_.contains(submission.job.id))
        return true;
    // The queue was looked up before the commands that were committed in the meantime.
    const bool mayBeOutdated = submission.configurationVersion != 0
                               && submission.configurationVersion != configuration_.version;
    if (mayBeOutdated && !isQueueInForce(submission.queue))
        return false;
    const auto place = jobs_.try_emplace(submission.job.id).first;
    Job &job = place->second;
    job.queue = submission.queue;
    job.spec = submission.job.spec;
    job.steps = submission.job.steps;
    job.acceptedAtMs = atMs;
    job.changedAtMs = atMs;
    job.doneCounts.assign(job.steps.size(), 0);
    for (const StepSpec &step : job.steps)
        job.tasks.emplace_back(step.count);
    storedBytes_ += bytesOf(job.steps, job.spec);
    openJobs_.insert(place->first);
    return true;
}

void JobBook::cancel(const std::string &id, std::int64_t atMs)
{
    const auto found = jobs_.find(id);
    if (found != jobs_.end() && !found->second.hasEnded())
        finish(id, found->second, JobState::Cancelled, atMs);
}

void JobBook::finish(const std::string &id, Job &job, JobState state, std::int64_t atMs)
{
    job.state = state;
    job.endedAtMs = atMs;
    openJobs_.erase(id);
    std::erase_if(crashSuspects_, [&](const TaskRef &ref) { return ref.job == id; });
}

const Task *JobBook::findTask(const TaskRef &ref) const
{
    const auto found = jobs_.find(ref.job);
    if (found == jobs_.end() || ref.step >= found->second.tasks.size()
        || ref.index >= found->second.tasks[ref.step].size())
        return nullptr;
    return &found->second.tasks[ref.step][ref.index];
}

Task *JobBook::findTask(const TaskRef &ref)
{
    return const_cast<Task *>(std::as_const(*this).findTask(ref));
}

void JobBook::countCrash(const MinionRunEnd &runEnd, Task &task)
{
    if (runEnd.crashSuspects > 0) {
        const CrashCounts counts = evidenceOf(runEnd);
        task.suspectedCrashes += counts.suspected;
        task.crashes += counts.started;
        task.certainCrashes += counts.certain;
        task.unconfirmedCrashes += counts.unconfirmed;
        crashSuspects_.insert(runEnd.end.task);
    } else if (!mayNotHaveStarted(runEnd)) {
        // The minion has executed the run and survived.
        task.suspectedCrashes = 0;
        task.crashes = 0;
        task.certainCrashes = 0;
        task.unconfirmedCrashes = 0;
        crashSuspects_.erase(runEnd.end.task);
    }
}

void JobBook::completeTask(const TaskRef &ref, Task &task, std::int64_t atMs)
{
    Job &job = jobs_.find(ref.job)->second;
    task.done = true;
    task.checkpoint.clear();
    crashSuspects_.erase(ref);
    ++job.doneCounts[ref.step];
    bool allDone = true;
    for (std::uint32_t i = 0; i < job.steps.size(); ++i)
        allDone = allDone && job.isStepDone(i);
    if (allDone)
        finish(ref.job, job, JobState::Completed, atMs);
}

void JobBook::endLate(const RunEnd &end, Task &task, std::int64_t atMs)
{
    if (!expectsLateEnd(end))
        return;
    Job &job = jobs_.find(end.task.job)->second;
    job.hasBegun = true;
    job.state = JobState::Running;
    job.changedAtMs = atMs;
    if (end.kind == RunEndKind::Done)
        completeTask(end.task, task, atMs);
    else
        task.checkpoint = end.checkpoint;
}

void JobBook::end(const MinionRunEnd &runEnd, std::int64_t atMs)
{
    Task *task = findTask(runEnd.end.task);
    if (task == nullptr)
        return;
    const auto active = std::ranges::find_if(task->active, [&](const ActiveRun &run) {
        return run.run == runEnd.end.run && run.minion == runEnd.minion;
    });
    if (active == task->active.end()) {
        if (runEnd.countsWhenLate)
            endLate(runEnd.end, *task, atMs);
        return;
    }
    task->active.erase(active);
    const auto index = activeRuns_.find(runEnd.minion);
    index->second.erase({runEnd.end.task, runEnd.end.run});
    if (index->second.empty())
        activeRuns_.erase(index);
    Job &job = jobs_.find(runEnd.end.task.job)->second;
    job.changedAtMs = atMs;
    if (!runEnd.end.checkpoint.empty())
        task->checkpoint = runEnd.end.checkpoint;
    if (task->done || job.hasEnded())
        return;
    job.hasBegun = job.hasBegun || !mayNotHaveStarted(runEnd);
    if (!job.hasBegun && !job.hasActiveRuns())
        job.state = JobState::Queued;
    countCrash(runEnd, *task);
    if (task->isGivenUp() && task->active.empty())
        return finish(runEnd.end.task.job, job, JobState::Failed, atMs);
    const StepSpec &step = job.steps[runEnd.end.task.step];
    if (runEnd.end.kind == RunEndKind::Failed && !step.longRunning) {
        ++task->failures;
        const QueueSpec *spec = queue(job.queue);
        const bool attemptsExhausted = spec != nullptr && task->failures >= spec->maxAttempts;
        if (attemptsExhausted && task->active.empty())
            finish(runEnd.end.task.job, job, JobState::Failed, atMs);
    } else if (runEnd.end.kind == RunEndKind::Done && !step.longRunning) {
        completeTask(runEnd.end.task, *task, atMs);
    }
}

bool JobBook::start(const RunStart &start, std::int64_t atMs)
{
    Task *task = findTask(start.task);
    if (task == nullptr)
        return false;
    Job &job = jobs_.find(start.task.job)->second;
    const StepSpec &step = job.steps[start.task.step];
    const QueueSpec *spec = queue(job.queue);
    const bool allowed =
        !job.hasEnded() && !task->done && !task->isGivenUp() && start.run == task->lastRun + 1
        && (task->active.empty() || step.speculative)
        && (step.longRunning || spec == nullptr || task->failures < spec->maxAttempts)
        && job.isStepReady(start.task.step);
    if (!allowed)
        return false;
    task->lastRun = start.run;
    task->active.push_back({start.run, start.minion, atMs});
    activeRuns_[start.minion].insert({start.task, start.run});
    job.state = JobState::Running;
    job.changedAtMs = atMs;
    return true;
}

const QueueSpec *JobBook::route(std::string_view host, std::string_view path) const
{
    const QueueSpec *best = nullptr;
    for (const QueueSpec &queue : configuration_.queues) {
        if (queue.host == host && path.starts_with(queue.pathPrefix)
            && (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size()))
            best = &queue;
    }
    return best;
}

const QueueSpec *JobBook::queue(const std::string &name) const
{
    const auto found = queues_.find(name);
    return found == queues_.end() ? nullptr : &found->second;
}

bool JobBook::isQueueInForce(const std::string &name) const
{
    return std::ranges::any_of(configuration_.queues,
                               [&](const QueueSpec &queue) { return queue.name == name; });
}

const Job *JobBook::find(const std::string &id) const
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

const StepSpec *JobBook::findStep(const TaskRef &ref) const
{
    const Job *job = find(ref.job);
    return job == nullptr || ref.step >= job->steps.size() ? nullptr : &job->steps[ref.step];
}

const ActiveRun *JobBook::activeRun(const RunKey &key) const
{
    const Task *task = findTask(key.first);
    if (task == nullptr)
        return nullptr;
    const auto run = std::ranges::find(task->active, key.second, &ActiveRun::run);
    return run == task->active.end() ? nullptr : &*run;
}

bool JobBook::expectsEnd(const MinionLife &life, const RunEnd &end) const
{
    const ActiveRun *active = activeRun({end.task, end.run});
    return (active != nullptr && active->minion == life) || expectsLateEnd(end);
}

bool JobBook::expectsLateEnd(const RunEnd &end) const
{
    const Task *task = findTask(end.task);
    if (task == nullptr || task->done || end.run == 0 || end.run > task->lastRun)
        return false;
    const Job &job = *find(end.task.job);
    if (job.hasEnded() || job.steps[end.task.step].longRunning)
        return false;
    // A run number is given once, so done is true of the task whichever life of a minion lists it.
    // A failure does not count: the run has ended already, and an attempt must not count twice.
    if (end.kind == RunEndKind::Done)
        return true;
    return end.run == task->lastRun && task->active.empty() && !end.checkpoint.empty()
           && end.checkpoint != task->checkpoint;
}

std::string JobBook::snapshot() const
{
    return encode(SnapshotContent{configuration_, queues_, jobs_, evacuations_});
}

Result<void> JobBook::restore(std::string_view bytes)
{
    auto content = decode<SnapshotContent>(bytes);
    if (!content)
        return tl::make_unexpected(content.error());
    configuration_ = std::move(content->configuration);
    queues_ = std::move(content->queues);
    jobs_ = std::move(content->jobs);
    evacuations_ = std::move(content->evacuations);
    rebuildIndexes();
    return {};
}

void JobBook::rebuildIndexes()
{
    openJobs_.clear();
    crashSuspects_.clear();
    activeRuns_.clear();
    storedBytes_ = 0;
    for (const auto &[id, job] : jobs_) {
        storedBytes_ += bytesOf(job.steps, job.spec);
        if (!job.hasEnded())
            openJobs_.insert(id);
        for (std::uint32_t step = 0; step < job.tasks.size(); ++step) {
            for (std::uint32_t index = 0; index < job.tasks[step].size(); ++index) {
                const Task &task = job.tasks[step][index];
                if (task.suspectedCrashes > 0 && !job.hasEnded())
                    crashSuspects_.insert({id, step, index});
                for (const ActiveRun &run : task.active)
                    activeRuns_[run.minion].insert({{id, step, index}, run.run});
            }
        }
    }
}

} // namespace Oleander::Jobs
