#include "Fleet/jobservice.h"

#include "Fleet/evacuationhandler.h"
#include "Fleet/runlog.h"
#include "Jobs/servicelevel.h"
#include "Runtime/log.h"
#include "Runtime/metrics.h"

#include <algorithm>
#include <ranges>
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

JobAnswer answerOf(JobAnswerKind kind, std::string detail = {})
{
    JobAnswer answer;
    answer.kind = kind;
    answer.detail = std::move(detail);
    return answer;
}

std::string jobIdFromPath(const QueueSpec &queue, const std::string &path)
{
    return path.substr(queue.pathPrefix.size());
}

/** Formats steps as "COUNTxMILLICORES@ESTIMATE", followed by f for filling, l for long-running, s
 * for speculative and uN for maxUnavailable. */
std::string stepsText(const std::vector<StepSpec> &steps)
{
    std::string text;
    for (const StepSpec &step : steps | std::views::take(MaxLoggedSteps)) {
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

void JobService::answer(const EvacuationCall &call, const Callback &callback)
{
    // A leader that regains its lease within a term keeps the counts of that term.
    const std::uint64_t term = replica_.status().term;
    if (std::exchange(evacuationTerm_, term) != term)
        evacuationCalls_.clear();
    const EvacuationVersion current = evacuationVersion(call.failureDomain);
    if (call.expected != current) {
        JobAnswer answer = answerOf(JobAnswerKind::OutdatedEvacuation);
        answer.evacuation = current;
        return callback(std::move(answer));
    }
    // Counted before the commit: an earlier call that arrives meanwhile must not be committed after
    // this one.
    ++evacuationCalls_[call.failureDomain];
    ++pendingCommits_;
    commit(Jobs::ChangeEvacuation{call.failureDomain, call.requested, current.revision, nowMs()},
           [this, failureDomain = call.failureDomain, requested = call.requested,
            callback](const Result<Jobs::JobOutcome> &outcome) {
               --pendingCommits_;
               answerEvacuation(failureDomain, requested, outcome, callback);
           });
}

void JobService::answerEvacuation(const std::string &failureDomain, bool requested,
                                  const Result<Jobs::JobOutcome> &outcome, const Callback &callback)
{
    const char *result = "failed";
    JobAnswer answer = answerOf(JobAnswerKind::NotLeader);
    if (!outcome) {
        if (outcome.error().code == Failure::Unknown) {
            result = "unknown";
            answer.kind = JobAnswerKind::Unknown;
        }
    } else {
        const bool isOutdated = outcome->evacuation == Jobs::EvacuationResult::Outdated;
        const bool isChanged = outcome->evacuation == Jobs::EvacuationResult::Changed;
        result = isOutdated ? "outdated" : isChanged ? "changed" : "unchanged";
        answer.kind = isOutdated ? JobAnswerKind::OutdatedEvacuation : JobAnswerKind::Accepted;
        answer.evacuation = evacuationVersion(failureDomain);
    }
    processMetrics()
        .counter(EvacuationChangesMetric, EvacuationChangesHelp, {{"result", result}})
        .add();
    logEvent(LogEvent::EvacuationChanged, Step::Apply, {},
             {{"failure_domain", failureDomain},
              {"requested", requested ? 1 : 0},
              {"result", result},
              {"revision", answer.evacuation.revision}});
    reportEvacuations();
    callback(std::move(answer));
    processSoon();
}

void JobService::answer(const ReadEvacuationsCall &, const Callback &callback)
{
    JobAnswer answer = answerOf(JobAnswerKind::Evacuations);
    for (const auto &[failureDomain, evacuation] : book().evacuations()) {
        answer.evacuations.push_back(
            {failureDomain, evacuation.requested, evacuation.revision, evacuation.changedAtMs});
    }
    callback(std::move(answer));
}

EvacuationVersion JobService::evacuationVersion(const std::string &failureDomain) const
{
    EvacuationVersion version;
    const auto found = book().evacuations().find(failureDomain);
    if (found != book().evacuations().end())
        version.revision = found->second.revision;
    version.term = evacuationTerm_;
    const auto calls = evacuationCalls_.find(failureDomain);
    if (calls != evacuationCalls_.end())
        version.calls = calls->second;
    return version;
}

void JobService::reportEvacuations() const
{
    const auto evacuated = std::ranges::count_if(
        book().evacuations(), [](const auto &entry) { return entry.second.requested; });
    processMetrics()
        .gauge("oleander_evacuated_failure_domains",
               "Failure domains whose evacuation is requested, as this replica knows.")
        .set(static_cast<double>(evacuated));
}

std::vector<DumpRow> JobService::evacuationRows() const
{
    std::vector<DumpRow> rows;
    for (const auto &[failureDomain, evacuation] : book().evacuations()) {
        rows.push_back({failureDomain,
                        {{"requested", evacuation.requested},
                         {"revision", evacuation.revision},
                         {"changed_at_ms", evacuation.changedAtMs}}});
    }
    return rows;
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

void JobService::logOrders(const MachineDirective &directive) const
{
    const auto logOrder = [&](const TaskRef &task, std::uint32_t run, const char *order) {
        const Jobs::Job *job = book().find(task.job);
        logRunEvent(LogEvent::RunOrdered, Step::Order, directive.life.name, {task, run},
                    {{"order", order},
                     {"term", directive.term},
                     {"job_ended", job == nullptr || job->hasEnded() ? 1 : 0}});
    };
    for (const StartOrder &start : directive.starts)
        logOrder(start.task, start.run, "start");
    for (const StopOrder &stop : directive.stops)
        logOrder(stop.task, stop.run, "stop");
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

void JobService::logReservations()
{
    for (const Jobs::ReservationDecision &decision : scheduler_.takeReservationDecisions()) {
        std::string evicted;
        for (const auto &[task, run] : decision.evicted) {
            evicted += fmt::format("{}{}/{}/{}/{}", evicted.empty() ? "" : ",", task.job, task.step,
                                   task.index, run);
        }
        logEvent(LogEvent::CapacityReserved, Step::Place, decision.minion.name,
                 {{"job", decision.task.job},
                  {"step", decision.task.step},
                  {"index", decision.task.index},
                  {"evicted", evicted}});
    }
}

void JobService::reportBackfill()
{
    Jobs::BackfillPlanner &backfill = scheduler_.backfill();
    if (!backfill.isEnabled())
        return;
    const TimePoint now = loop_.clock().now();
    for (const Jobs::BackfillDecision &decision : backfill.takeDecisions()) {
        const Duration expectedIn = decision.reservation.promisedAt - now;
        const auto expectedInMs =
            std::chrono::duration_cast<std::chrono::milliseconds>(expectedIn).count();
        const TaskRef &task = decision.task;
        const std::string &minion = decision.reservation.minion.name;
        if (decision.end) {
            logEvent(LogEvent::BackfillEnded, Step::Place, minion,
                     {{"job", task.job},
                      {"step", task.step},
                      {"index", task.index},
                      {"expected_ms", expectedInMs},
                      {"why", Jobs::backfillEndName(*decision.end)}});
        } else {
            logEvent(LogEvent::BackfillReserved, Step::Place, minion,
                     {{"job", task.job},
                      {"step", task.step},
                      {"index", task.index},
                      {"expected_ms", expectedInMs}});
        }
    }
    processMetrics()
        .gauge("oleander_backfill_reservations",
               "Minions that are reserved for a large task that ends by itself.")
        .set(static_cast<double>(backfill.reservations().size()));
    for (const Duration wait : backfill.takeWaits()) {
        processMetrics()
            .histogram("oleander_large_task_wait_seconds",
                       "Time from the first plan that finds a waiting task to fit on no minion "
                       "although enough is free on all together, to its start.")
            .record(wait);
    }
}

void JobService::logMoves()
{
    for (const Jobs::RunMove &move : scheduler_.takeMoves()) {
        logRunEvent(
            LogEvent::RunMoved, Step::Place, move.from.name, move.run,
            {{"percent", move.percent},
             {"standing_ms",
              std::chrono::duration_cast<std::chrono::milliseconds>(move.stalledFor).count()},
             {"room_on", move.to.name}});
    }
}

void JobService::logEvacuationMoves()
{
    for (const Jobs::EvacuationMove &move : scheduler_.takeEvacuationMoves()) {
        logRunEvent(LogEvent::RunEvacuated, Step::Place, move.from.name, move.run,
                    {{"why", "its failure domain is evacuated"},
                     {"failure_domain", move.failureDomain},
                     {"room_on", move.to.name}});
    }
}

void JobService::reportEvacuatedRuns() const
{
    const auto counts = Jobs::countEvacuatedRuns(book(), scheduler_.machines());
    for (const auto &[failureDomain, evacuation] : book().evacuations()) {
        const auto count = counts.find(failureDomain);
        const bool isCounted = isLeading_ && count != counts.end();
        processMetrics()
            .gauge("oleander_evacuated_runs",
                   "Runs that are still active in an evacuated failure domain, on the leader.",
                   {{"failure_domain", failureDomain}})
            .set(isCounted ? count->second : 0);
    }
}

void JobService::logIgnoredEnds()
{
    for (const Jobs::MinionRunEnd &runEnd : scheduler_.takeIgnoredEnds()) {
        logRunEvent(LogEvent::RunEndIgnored, Step::Report, runEnd.minion.name,
                    {runEnd.end.task, runEnd.end.run});
    }
}

void JobService::reportServiceLevels() const
{
    if (!isLeading_)
        return;
    Jobs::ServiceLevel sum;
    for (const Jobs::ServiceLevel &level :
         Jobs::serviceLevels(book(), scheduler_.machines(), loop_.clock().now())) {
        sum.atWork += level.atWork;
        sum.starting += level.starting;
        sum.waiting += level.waiting;
        sum.overTarget += level.overTarget;
        if (level.isMet())
            continue;
        logEvent(LogEvent::JobServiceLevel, Step::Place, {},
                 {{"job", level.job},
                  {"tasks", level.tasks},
                  {"at_work", level.atWork},
                  {"starting", level.starting},
                  {"waiting", level.waiting},
                  {"over_bound", level.overTarget},
                  {"beside_filling", level.overTargetWithFilling},
                  {"waiting_millicores", level.waitingMilliCores},
                  {"free_millicores", level.capacity.freeMilliCores},
                  {"largest_free_millicores", level.capacity.largestFreeMilliCores},
                  {"minions_out", level.capacity.minionsUnavailable},
                  {"minions_suspended", level.capacity.minionsSuspended},
                  {"minions_disturbed", level.capacity.minionsDisturbed}});
    }
    const auto setGauge = [](const char *state, std::uint32_t tasks) {
        processMetrics()
            .gauge("oleander_lasting_tasks",
                   "Tasks of lasting jobs by state; those over their bound are at work too.",
                   {{"state", state}})
            .set(tasks);
    };
    setGauge("at-work", sum.atWork);
    setGauge("starting", sum.starting);
    setGauge("waiting", sum.waiting);
    setGauge("over-bound", sum.overTarget);
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
