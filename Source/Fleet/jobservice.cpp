#include "Fleet/jobservice.h"

#include "Fleet/jobanswer.h"
#include "Fleet/runlog.h"
#include "Runtime/log.h"
#include "Runtime/metrics.h"

#include <algorithm>
#include <set>

namespace Oleander::Fleet {

namespace {

/** Interval of the periodic processing, which detects expired times; reports and calls are
 * processed immediately. */
constexpr Duration ProcessInterval = std::chrono::milliseconds(100);
/** Minimum time between two placement decisions; each one examines every open job. */
constexpr Duration MinPlacementInterval = std::chrono::milliseconds(5);
/** Pause after a placement decision, as a multiple of its duration, so that on a small host most of
 * the processor time remains for reports and calls. */
constexpr int PlacementPauseFactor = 3;
/** Interval at which the learned interference is sent to the other control hosts. */
constexpr Duration ShareInterval = std::chrono::seconds(2);
/** Interval of the service level reports; callers measure long-running jobs at the same interval.
 */
constexpr Duration ServiceLevelInterval = std::chrono::seconds(2);
/** Delay after which a client should retry while too many jobs are stored. Ended jobs are stored
 * for minutes and removed one by one. */
constexpr std::uint32_t StoredJobsRetryAfterMs = 10'000;
/** Number of steps that a log line lists. */
constexpr std::size_t MaxLoggedSteps = 32;

std::string jobIdFromPath(const QueueSpec &queue, const std::string &path)
{
    return path.substr(queue.pathPrefix.size());
}

/** Formats steps as "COUNTxMILLICORES@ESTIMATE", followed by f for filling, l for long-running, s
 * for speculative and uN for maxUnavailable. */
std::string stepsText(const std::vector<StepSpec> &steps)
{
    std::string text;
    for (std::size_t i = 0; i < std::min(steps.size(), MaxLoggedSteps); ++i) {
        const StepSpec &step = steps[i];
        text += fmt::format("{}{}x{}@{}ms{}{}{}", text.empty() ? "" : ",", step.count,
                            step.milliCores, step.estimateMs, step.filling ? "f" : "",
                            step.longRunning ? "l" : "", step.speculative ? "s" : "");
        if (step.maxUnavailable > 0)
            text += fmt::format("u{}", step.maxUnavailable);
    }
    if (steps.size() > MaxLoggedSteps)
        text += fmt::format(",...({} steps)", steps.size());
    return text;
}

} // namespace

JobService::JobService(EventLoop &loop, Messenger &messenger, ReplicaTask &replica,
                       const State::ControlState &state, JobServiceOptions options)
    : loop_(loop)
    , messenger_(messenger)
    , replica_(replica)
    , state_(state)
    , options_(options)
    , scheduler_(state.jobs(), options.lease, options.scheduler)
    , processTimer_(loop, [this] { process(); })
    , placementTimer_(loop, [this] { process(); })
    , shareTimer_(loop, [this] { shareInterference(); })
    , serviceLevelTimer_(loop,
                         [this] {
                             reportServiceLevels();
                             reportEvacuations();
                             reportEvacuatedRuns();
                         })
    , evacuationDump_("evacuations", [this] { return evacuationRows(); })
{}

void JobService::start()
{
    messenger_.on<JobCall>([this](const Sender &from, JobCall &&call) {
        const auto reply = [this, from, id = call.id](JobAnswer answer) {
            answer.id = id;
            // The caller sends its call again if the answer is lost.
            static_cast<void>(messenger_.send(from.name, answer, from.incarnation));
        };
        if (!serve(call.body, reply))
            reply(answerOf(JobAnswerKind::NotLeader));
    });
    messenger_.on<MachineReport>([this](const Sender &from, MachineReport &&report) {
        if (!isLeading_ || !replica_.isLeader())
            return;
        scheduler_.report(loop_.clock().now(), nowMs(), from.name, report);
        processSoon();
    });
    messenger_.on<LearnedInterference>([this](const Sender &, LearnedInterference &&learned) {
        if (!isLeading_)
            scheduler_.interference().importLearned(learned);
    });
    processTimer_.startEvery(ProcessInterval);
    shareTimer_.startEvery(ShareInterval);
    serviceLevelTimer_.startEvery(ServiceLevelInterval);
}

void JobService::onRoleChanged()
{
    isLeading_ = replica_.isLeader();
    ++roleGeneration_;
    for (Waiter &waiter : std::exchange(waiters_, {}))
        waiter.callback(answerOf(JobAnswerKind::NotLeader));
    callBatch_ = {};
    callBatchBytes_ = 0;
    if (isLeading_)
        scheduler_.startTerm(loop_.clock().now(), replica_.status().term);
}

bool JobService::serve(const JobCallBody &body, Callback callback)
{
    if (!isLeading_ || !replica_.isLeader())
        return false;
    std::visit([&](const auto &call) { answer(call, callback); }, body);
    return true;
}

const QueueSpec *JobService::findQueueOrAnswer(const std::string &host, const std::string &path,
                                               const Callback &callback) const
{
    if (book().configuration().version == 0) {
        callback(answerOf(JobAnswerKind::NoConfiguration));
        return nullptr;
    }
    const QueueSpec *queue = book().route(host, path);
    if (queue == nullptr)
        callback(answerOf(JobAnswerKind::NoSuchQueue, "No queue has this host and path."));
    return queue;
}

void JobService::answer(const SubmitCall &call, Callback callback)
{
    const QueueSpec *queue = findQueueOrAnswer(call.host, call.path, callback);
    if (queue == nullptr)
        return;
    if (book().find(call.job.id) != nullptr)
        return callback(answerOf(JobAnswerKind::Accepted));
    if (jobIdFromPath(*queue, call.path) != call.job.id)
        return callback(answerOf(JobAnswerKind::NoSuchQueue,
                                 "The path has more segments than the path of a job."));
    const std::size_t bytes = Jobs::JobBook::bytesOf(call.job.steps, call.job.spec);
    if (book().storedBytes() + callBatchBytes_ + bytes > options_.maxStoredBytes) {
        JobAnswer refusal = answerOf(JobAnswerKind::Overloaded, "Too many jobs are stored.");
        refusal.retryAfterMs = StoredJobsRetryAfterMs;
        return callback(std::move(refusal));
    }
    callBatchBytes_ += bytes;
    logEvent(LogEvent::JobReceived, Step::Accept, {},
             {{"job", call.job.id}, {"queue", queue->name}, {"steps", stepsText(call.job.steps)}});
    callBatch_.submissions.push_back({queue->name, call.job, book().configuration().version});
    waiters_.push_back({std::move(callback), answerOf(JobAnswerKind::Accepted), call});
    processSoon();
}

void JobService::answer(const StateCall &call, const Callback &callback)
{
    const QueueSpec *queue = findQueueOrAnswer(call.host, call.path, callback);
    if (queue == nullptr)
        return;
    const std::string id = jobIdFromPath(*queue, call.path);
    if (id.empty()) {
        JobAnswer answer = answerOf(JobAnswerKind::Pending);
        answer.pending = scheduler_.pendingJobs(queue->name);
        return callback(std::move(answer));
    }
    const Jobs::Job *job = book().find(id);
    if (job == nullptr)
        return callback(answerOf(JobAnswerKind::NoSuchJob));
    JobAnswer answer = answerOf(JobAnswerKind::State);
    answer.state = job->state;
    callback(std::move(answer));
}

void JobService::answer(const CancelCall &call, Callback callback)
{
    const QueueSpec *queue = findQueueOrAnswer(call.host, call.path, callback);
    if (queue == nullptr)
        return;
    const std::string id = jobIdFromPath(*queue, call.path);
    const Jobs::Job *job = book().find(id);
    if (job == nullptr)
        return callback(answerOf(JobAnswerKind::NoSuchJob));
    if (job->hasEnded())
        return callback(answerOf(JobAnswerKind::Accepted));
    logEvent(LogEvent::JobCancelled, Step::Accept, {}, {{"job", id}, {"queue", queue->name}});
    callBatch_.cancellations.push_back(id);
    waiters_.push_back({std::move(callback), answerOf(JobAnswerKind::Accepted), std::nullopt});
    processSoon();
}

void JobService::answer(const ConfigureCall &call, Callback callback)
{
    const std::uint64_t version = call.configuration.version;
    ++pendingCommits_;
    commit(Jobs::Configure{call.configuration}, [this, version, callback = std::move(callback)](
                                                    Result<Jobs::JobOutcome> outcome) {
        --pendingCommits_;
        if (!outcome) {
            const bool unknown = outcome.error().code == Failure::Unknown;
            return callback(answerOf(unknown ? JobAnswerKind::Unknown : JobAnswerKind::NotLeader));
        }
        const bool conflict = outcome->configure == Jobs::ConfigureResult::Conflict;
        logEvent(conflict ? LogEvent::ConfigurationRefused : LogEvent::ConfigurationApplied,
                 Step::Apply, {},
                 {{"version", version}, {"in_force", book().configuration().version}});
        callback(conflict ? answerOf(JobAnswerKind::Conflict,
                                     "Other content is in force under this version.")
                          : answerOf(JobAnswerKind::Accepted));
    });
}

void JobService::answer(const ReadConfigurationCall &, const Callback &callback)
{
    if (book().configuration().version == 0)
        return callback(answerOf(JobAnswerKind::NoConfiguration));
    JobAnswer answer = answerOf(JobAnswerKind::Document);
    answer.document = book().configuration().document;
    callback(std::move(answer));
}

void JobService::processSoon()
{
    if (isProcessPosted_)
        return;
    isProcessPosted_ = true;
    loop_.post([this] { process(); });
}

void JobService::process()
{
    isProcessPosted_ = false;
    if (!isLeading_ || !replica_.isLeader())
        return;
    commitCalls();
    commitEnds();
    commitStarts();
    sendDirectives();
}

void JobService::commitCalls()
{
    if (callBatch_.empty())
        return;
    callBatch_.atMs = nowMs();
    callBatchBytes_ = 0;
    ++pendingCommits_;
    commit(std::exchange(callBatch_, {}),
           [this, waiters = std::exchange(waiters_, {})](const Result<Jobs::JobOutcome> &outcome) {
               --pendingCommits_;
               answerWaiters(waiters, outcome);
               processSoon();
           });
}

void JobService::answerWaiters(const std::vector<Waiter> &waiters,
                               const Result<Jobs::JobOutcome> &outcome)
{
    std::size_t submission = 0;
    for (const Waiter &waiter : waiters) {
        if (!outcome) {
            const bool isUnknown = outcome.error().code == Failure::Unknown;
            waiter.callback(
                answerOf(isUnknown ? JobAnswerKind::Unknown : JobAnswerKind::NotLeader));
        } else if (waiter.submission && !outcome->accepted.at(submission++)) {
            routeAgain(*waiter.submission, waiter.callback);
        } else {
            waiter.callback(waiter.answer);
        }
    }
}

void JobService::routeAgain(const SubmitCall &call, const Callback &callback)
{
    logEvent(LogEvent::JobRerouted, Step::Accept, {},
             {{"job", call.job.id}, {"configuration", book().configuration().version}});
    if (!serve(call, callback))
        callback(answerOf(JobAnswerKind::NotLeader));
}

void JobService::commitEnds()
{
    Jobs::JobScheduler::EndBatch endBatch = scheduler_.takeEnds(loop_.clock().now(), nowMs());
    logIgnoredEnds();
    if (endBatch.batch.empty())
        return;
    for (const Jobs::MinionRunEnd &runEnd : endBatch.firstEnds) {
        const Jobs::RunKey key{runEnd.end.task, runEnd.end.run};
        const bool isLate = book().activeRun(key) == nullptr;
        logRunEvent(LogEvent::RunEnded, Step::Report, runEnd.minion.name, key,
                    {{"how", static_cast<unsigned>(runEnd.end.kind)},
                     {"crash_suspects", runEnd.crashSuspects},
                     {"late", isLate ? 1 : 0}});
        processMetrics()
            .counter("oleander_runs_ended_total", "Ends of runs by how, as in run.ended.",
                     {{"how", std::to_string(static_cast<unsigned>(runEnd.end.kind))}})
            .add();
    }
    const std::vector<Jobs::MinionRunEnd> runEnds = endBatch.batch.ends;
    commit(std::move(endBatch.batch), [this, generation = roleGeneration_, runEnds,
                                       acknowledgements = std::move(endBatch.acknowledgements)](
                                          const Result<Jobs::JobOutcome> &outcome) {
        if (generation != roleGeneration_)
            return;
        // Ends that the leader detected itself are not in the agents' reports, so they must be
        // queued again.
        if (!outcome)
            return scheduler_.endsFailed(runEnds);
        scheduler_.endsCommitted(acknowledgements);
        processSoon();
    });
}

void JobService::commitStarts()
{
    const TimePoint now = loop_.clock().now();
    if (now < nextPlacementAt_)
        return placementTimer_.startOnce(nextPlacementAt_ - now);
    Jobs::JobBatch batch = scheduler_.takeStarts(now, nowMs());
    const TimePoint decidedAt = loop_.clock().now();
    nextPlacementAt_ =
        decidedAt + std::max(MinPlacementInterval, PlacementPauseFactor * (decidedAt - now));
    logReservations();
    reportBackfill();
    logMoves();
    logEvacuationMoves();
    if (batch.empty())
        return;
    recordStartWaits(batch);
    for (const Jobs::RunStart &start : batch.starts) {
        logRunEvent(LogEvent::RunDecided, Step::Place, start.minion.name, {start.task, start.run});
    }
    commit(std::move(batch),
           [this, generation = roleGeneration_](const Result<Jobs::JobOutcome> &) {
               if (generation != roleGeneration_)
                   return;
               scheduler_.startsResolved();
               processSoon();
           });
}

void JobService::recordStartWaits(const Jobs::JobBatch &batch) const
{
    std::set<std::string> seen;
    for (const Jobs::RunStart &start : batch.starts) {
        if (!seen.insert(start.task.job).second)
            continue;
        const Jobs::Job &job = *book().find(start.task.job);
        const bool first = job.state == JobState::Queued;
        processMetrics()
            .histogram(
                "oleander_job_start_wait_seconds",
                "Time from the latest change of a job, its acceptance or the start or end of "
                "a run, to its next starts.",
                {{"after", first ? "acceptance" : "run"}})
            .record(
                std::chrono::milliseconds(std::max<std::int64_t>(0, batch.atMs - job.changedAtMs)));
    }
}

void JobService::sendDirectives()
{
    for (Jobs::AddressedDirective &addressed :
         scheduler_.takeDirectives(loop_.clock().now(), nowMs())) {
        logOrders(addressed.directive);
        // A lost order is sent again until the agent's reports show its effect.
        static_cast<void>(messenger_.send(addressed.agent, std::move(addressed.directive)));
    }
}

void JobService::shareInterference()
{
    if (!isLeading_)
        return;
    const ReplicaStatus status = replica_.status();
    const LearnedInterference learned = scheduler_.interference().exportLearned();
    for (const std::string &host : status.voters) {
        // A host that misses a message receives the next one.
        if (host != messenger_.name())
            static_cast<void>(messenger_.send(host, learned));
    }
}

void JobService::commit(Jobs::JobCommand command,
                        std::function<void(Result<Jobs::JobOutcome>)> callback)
{
    const TimePoint startedAt = loop_.clock().now();
    replica_.proposeLocally(
        State::encodeCommand(std::move(command)),
        [this, startedAt, callback = std::move(callback)](Result<std::string> bytes) {
            if (!bytes)
                return callback(tl::make_unexpected(bytes.error()));
            processMetrics()
                .histogram("oleander_commit_seconds", "Time from a proposal to its commit.")
                .record(loop_.clock().now() - startedAt);
            callback(State::outcomeOf<Jobs::JobOutcome>(*bytes));
        });
}

std::int64_t JobService::nowMs() const
{
    return loop_.clock().wallNow().time_since_epoch().count();
}

} // namespace Oleander::Fleet
