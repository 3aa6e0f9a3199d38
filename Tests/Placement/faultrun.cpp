#include "faultrun.h"

#include <algorithm>

namespace Oleander::Testing {

using namespace Placement;

namespace {

constexpr Duration StepLength = std::chrono::milliseconds(20);
constexpr Duration HeartbeatInterval = std::chrono::milliseconds(500);
constexpr Duration OwnCheckpointInterval = std::chrono::seconds(2);
constexpr int LateOneIn = 50;
constexpr Resources HostCapacity = {4000, 8192, 1};
constexpr unsigned AttemptShift = 32;

} // namespace

struct FaultRun::Run
{
    std::uint32_t attempt = 0;
    std::uint64_t session = 0;
    AttemptState state = AttemptState::Starting;
    std::string reason;
    std::uint64_t checkpoint = 0;
    std::uint32_t taken = 0;
    TimePoint leaseEnd{};
    TrueTime began{};
    TrueTime nextCheckpoint{};
    bool isLive = true;
};

struct FaultRun::Host
{
    std::string name;
    double rate = 1.0;
    // The agent; a restart makes a new one.
    std::uint64_t incarnation = 1;
    std::unique_ptr<TaskExecutor> executor;
    std::uint64_t stamp = 0;
    TrueTime frozenUntil{};
    TrueTime cutUntil{};
    TrueTime nextHeartbeat{};
    std::vector<std::function<void()>> waiting;
    // The worker, which continues to run while its agent is frozen or dead.
    std::map<std::string, Run> runs;
    std::map<std::string, std::uint32_t> tombstones;
    bool failsAll = false;
};

struct FaultRun::Leader final : SchedulerPort
{
    FaultRun *run = nullptr;
    std::size_t number = 0;
    double rate = 1.0;
    std::unique_ptr<TaskScheduler> scheduler;
    std::map<std::string, std::uint64_t> incarnations;
    /** Time until which a replaced leader still acts as leader. */
    TrueTime stepsDownAt = TrueTime::max();

    void propose(TaskCommand command, std::function<void(const TaskOutcome *)> done) override
    {
        // A command may also commit when its proposer no longer leads.
        const bool isOutcomeReported = !run->happens(run->faults_.unknownOutcome);
        run->deliveries_.emplace(run->now_ + run->delay(), [this, command = std::move(command),
                                                            done, isOutcomeReported] {
            const TaskOutcome outcome = run->book_.apply(command, run->drafts_);
            run->deliveries_.emplace(run->now_ + run->delay(), [done, outcome, isOutcomeReported] {
                done(isOutcomeReported ? &outcome : nullptr);
            });
        });
    }

    void send(const std::string &worker, TaskOrder order) override
    {
        for (auto &host : run->hosts_) {
            if (host->name != worker || !incarnations.contains(worker))
                continue;
            run->deliver(
                [this, target = host.get(), order, targetIncarnation = incarnations.at(worker)] {
                    if (target->cutUntil > run->now_)
                        return;
                    target->waiting.push_back([this, target, order, targetIncarnation] {
                        if (target->incarnation == targetIncarnation)
                            target->executor->handleOrder(order, run->clockOf(target->rate));
                    });
                });
        }
    }
};

FaultRun::FaultRun(std::uint32_t seed, const Faults &faults, int workers)
    : faults_(faults), random_(seed)
{
    std::uniform_real_distribution<double> drift(1.0 - faults.maxDrift, 1.0 + faults.maxDrift);
    for (int number = 0; number < workers; ++number) {
        auto host = std::make_unique<Host>();
        host->name = "w" + std::to_string(number);
        // Half of the workers use the slowest allowed clock, the worst case for leases.
        host->rate = number % 2 == 0 ? 1.0 - faults.maxDrift : drift(random_);
        host->executor = std::make_unique<TaskExecutor>(ExecutorSettings{});
        hosts_.push_back(std::move(host));
    }
    for (std::size_t number = 0; number < 2; ++number) {
        auto leader = std::make_unique<Leader>();
        leader->run = this;
        leader->number = number;
        leader->rate = 1.0 + faults.maxDrift;
        SchedulerSettings settings;
        settings.seed = seed + static_cast<std::uint32_t>(number);
        settings.settleAfter = std::chrono::seconds(2);
        settings.checkpointTimeout = std::chrono::seconds(5);
        settings.probeBase = std::chrono::seconds(5);
        settings.policy = PolicyKind::Random;
        leader->scheduler = std::make_unique<TaskScheduler>(book_, *leader, settings);
        leaders_.push_back(std::move(leader));
    }
    elect(0);
}

FaultRun::~FaultRun() = default;

bool FaultRun::happens(double chance)
{
    return chance > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < chance;
}

Duration FaultRun::delay()
{
    const bool isLate = faults_.lateDelay > Duration::zero()
                        && std::uniform_int_distribution<int>(1, LateOneIn)(random_) == 1;
    const Duration bound = isLate ? faults_.lateDelay : faults_.maxDelay;
    return Duration(std::uniform_int_distribution<Duration::rep>(100, bound.count())(random_));
}

void FaultRun::deliver(const std::function<void()> &act)
{
    const int copies = happens(faults_.lose) ? 0 : (happens(faults_.duplicate) ? 2 : 1);
    for (int copy = 0; copy < copies; ++copy)
        deliveries_.emplace(now_ + delay(), act);
}

TimePoint FaultRun::clockOf(double rate) const
{
    return TimePoint(
        Duration(static_cast<Duration::rep>(static_cast<double>(now_.count()) * rate)));
}

WallTime FaultRun::wall() const
{
    return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(now_));
}

void FaultRun::setRecord(Records::RecordKind kind, const std::string &name, Records::Spec spec,
                         bool withdrawn)
{
    Records::Record record;
    record.kind = kind;
    record.name = name;
    record.revision = ++revision_;
    record.spec = std::move(spec);
    record.withdrawn = withdrawn;
    record.changedAt = wall();
    book_.recordChanged(record, drafts_);
}

void FaultRun::submit(const std::string &job, Records::BatchSpec spec)
{
    setRecord(Records::RecordKind::Batch, job, std::move(spec), false);
}

void FaultRun::submitService(const std::string &name, Records::ServiceSpec spec)
{
    setRecord(Records::RecordKind::Service, name, std::move(spec), false);
}

void FaultRun::apply(const TaskCommand &command)
{
    book_.apply(command, drafts_);
}

void FaultRun::runFor(Duration time)
{
    for (const TrueTime end = now_ + time; now_ < end;)
        step();
}

bool FaultRun::runUntil(const std::function<bool()> &condition, Duration timeout)
{
    for (const TrueTime end = now_ + timeout; now_ < end && !condition();)
        step();
    return condition();
}

void FaultRun::stopFaults()
{
    faults_.freezeAgent = faults_.restartAgent = faults_.cutWorker = faults_.changeLeader = 0;
    faults_.evict = faults_.lose = faults_.duplicate = faults_.unknownOutcome = 0;
    faults_.lateDelay = {};
    for (auto &host : hosts_)
        host->frozenUntil = host->cutUntil = {};
}

void FaultRun::failWorker(const std::string &worker, bool fails)
{
    for (auto &host : hosts_) {
        if (host->name == worker)
            host->failsAll = fails;
    }
}

void FaultRun::cut(const std::string &worker, bool isCut)
{
    for (auto &host : hosts_) {
        if (host->name == worker)
            host->cutUntil = isCut ? TrueTime::max() : TrueTime();
    }
}

bool FaultRun::hasEvent(const std::string &name, const std::string &expected) const
{
    return std::any_of(drafts_.begin(), drafts_.end(), [&](const auto &draft) {
        const std::string text = draft.what + " " + draft.why + " " + draft.follows;
        return draft.name == name && text.find(expected) != std::string::npos;
    });
}

void FaultRun::elect(std::size_t number)
{
    // The previous leader still acts as leader for a while, as it doesn't know of the election.
    leaders_[elected_]->stepsDownAt = now_ + std::chrono::seconds(8);
    elected_ = number;
    Leader &leader = *leaders_[number];
    leader.stepsDownAt = TrueTime::max();
    leader.incarnations.clear();
    leader.scheduler->lead(clockOf(leader.rate));
}

void FaultRun::step()
{
    now_ += StepLength;
    injectFaults();
    while (!deliveries_.empty() && deliveries_.begin()->first <= now_) {
        const auto act = std::move(deliveries_.begin()->second);
        deliveries_.erase(deliveries_.begin());
        act();
    }
    for (auto &host : hosts_)
        stepHost(*host);
    for (auto &leader : leaders_) {
        if (now_ >= leader->stepsDownAt && leader->scheduler->isLeading())
            leader->scheduler->stepDown();
        leader->scheduler->tick(clockOf(leader->rate), wall());
    }
}

void FaultRun::injectFaults()
{
    const auto outage = [&] {
        return now_
               + Duration(std::uniform_int_distribution<Duration::rep>(
                   0, faults_.maxOutage.count())(random_));
    };
    for (auto &host : hosts_) {
        if (happens(faults_.freezeAgent))
            host->frozenUntil = outage();
        if (happens(faults_.cutWorker))
            host->cutUntil = outage();
        if (happens(faults_.restartAgent)) {
            ++host->incarnation;
            host->stamp = 0;
            host->waiting.clear();
            host->executor = std::make_unique<TaskExecutor>(ExecutorSettings{});
        }
    }
    if (happens(faults_.evict) && !book_.tasks().empty()) {
        auto task = book_.tasks().begin();
        std::advance(
            task, std::uniform_int_distribution<std::size_t>(0, book_.tasks().size() - 1)(random_));
        apply(EvictTask{task->first,
                        task->second.attempt,
                        StopCause::Relief,
                        happens(0.5),
                        "The test moves it.",
                        {},
                        wall()});
    }
    if (happens(faults_.changeLeader))
        elect(1 - elected_);
}

void FaultRun::stepHost(Host &host)
{
    stepWorker(host);
    if (host.frozenUntil > now_)
        return;
    // After a freeze, a process handles the waiting messages before it checks the time.
    const auto messages = std::move(host.waiting);
    host.waiting.clear();
    for (const auto &message : messages)
        message();
    const TimePoint local = clockOf(host.rate);
    for (const WorkerCall &call : host.executor->dueCalls(local))
        callWorker(host, call);
    if (now_ >= host.nextHeartbeat)
        heartbeat(host);
}

void FaultRun::heartbeat(Host &host)
{
    host.nextHeartbeat = now_ + HeartbeatInterval;
    // Real agents list their worker on their own schedule; here it happens before each heartbeat.
    std::vector<ListedAttempt> list;
    for (const auto &[task, run] : host.runs)
        list.push_back({task, run.attempt, run.session, run.state, run.reason, run.checkpoint});
    host.executor->handleListing(list, clockOf(host.rate));
    Heartbeat message;
    message.stamp = ++host.stamp;
    message.location = {"r", "d" + host.name, "k" + host.name};
    message.capacity = HostCapacity;
    // An agent lists its attempts in every fourth heartbeat only.
    message.attemptsOmitted = message.stamp % 4 != 0;
    if (!message.attemptsOmitted)
        message.attempts = host.executor->reports();
    host.executor->noteHeartbeat(message.stamp, clockOf(host.rate));
    if (host.cutUntil > now_)
        return;
    deliver([this, worker = host.name, incarnation = host.incarnation, message] {
        receive(*leaders_[elected_], worker, incarnation, message);
    });
}

void FaultRun::receive(Leader &leader, const std::string &worker, std::uint64_t incarnation,
                       const Heartbeat &message)
{
    // Only the elected leader can have its leadership confirmed after the heartbeat arrived.
    leader.incarnations[worker] = std::max(leader.incarnations[worker], incarnation);
    if (incarnation < leader.incarnations[worker])
        return;
    HeartbeatReply reply =
        leader.scheduler->heartbeat(worker, message, clockOf(leader.rate), wall());
    reply.leader = "leader";
    for (auto &host : hosts_) {
        if (host->name != worker)
            continue;
        deliver([this, target = host.get(), incarnation, reply] {
            if (target->cutUntil > now_)
                return;
            target->waiting.push_back([target, incarnation, reply] {
                if (target->incarnation != incarnation)
                    return;
                target->executor->handleReply(reply);
                for (auto &[task, run] : target->runs) {
                    if (run.session == target->executor->session() && target->executor->leaseEnd())
                        run.leaseEnd = std::max(run.leaseEnd, *target->executor->leaseEnd());
                }
            });
        });
    }
}

void FaultRun::callWorker(Host &host, const WorkerCall &call)
{
    // The worker is on the same host, but a call may still arrive late, even after the end of the
    // calling agent process.
    deliveries_.emplace(now_ + delay(), [this, &host, call, callerIncarnation = host.incarnation] {
        Run &run = host.runs[call.task];
        const bool isSameAttempt = run.attempt == call.attempt;
        if (call.action == TaskAction::Stop) {
            if (isSameAttempt)
                endRun(host, call.task, "stopped");
            if (run.attempt <= call.attempt)
                host.runs.erase(call.task);
            std::uint32_t &tombstone = host.tombstones[call.task];
            const bool isFirst = tombstone < call.attempt;
            tombstone = std::max(tombstone, call.attempt);
            const bool isAnswered = !(isFirst && faults_.loseStopAnswers);
            if (isAnswered && host.incarnation == callerIncarnation)
                host.executor->handleRemoval(call.task, call.attempt);
            return;
        }
        if (call.action == TaskAction::Checkpoint && isSameAttempt && run.isLive) {
            if (faults_.checkpointsFail)
                host.executor->handleCallFailure(call, "The checkpoint failed.");
            else
                run.nextCheckpoint = now_;
            return;
        }
        if (call.action != TaskAction::Start || isSameAttempt || run.attempt > call.attempt)
            return;
        const bool isRefused = host.tombstones[call.task] >= call.attempt
                               || call.leaseEnd <= clockOf(host.rate)
                               || (run.attempt > 0 && run.isLive);
        if (isRefused) {
            if (run.attempt == 0)
                host.runs.erase(call.task);
            return;
        }
        run = {};
        run.attempt = call.attempt;
        run.session = call.session;
        run.leaseEnd = call.leaseEnd;
        run.checkpoint = call.checkpoint;
        run.began = now_;
        run.nextCheckpoint = now_ + OwnCheckpointInterval;
        run.state = AttemptState::Running;
        intervals_[call.task].push_back(
            {host.name, call.attempt, call.checkpoint, now_, TrueTime::max(), {}});
        if (host.failsAll || failingTasks_.contains(call.task)) {
            endRun(host, call.task, "failed");
            run.state = AttemptState::Failed;
        }
    });
}

void FaultRun::stepWorker(Host &host)
{
    const TimePoint local = clockOf(host.rate);
    for (auto &[task, run] : host.runs) {
        if (!run.isLive)
            continue;
        if (local >= run.leaseEnd) {
            endRun(host, task, "lease");
            run.state = AttemptState::Stopped;
        } else if (runTime_ > Duration::zero() && now_ - run.began >= runTime_) {
            endRun(host, task, "succeeded");
            run.state = AttemptState::Succeeded;
        } else if (now_ >= run.nextCheckpoint && !faults_.checkpointsFail) {
            run.checkpoint = (std::uint64_t(run.attempt) << AttemptShift) + ++run.taken;
            run.nextCheckpoint = now_ + OwnCheckpointInterval;
        }
    }
}

void FaultRun::endRun(Host &host, const std::string &task, const std::string &endReason)
{
    Run &run = host.runs.at(task);
    if (!run.isLive)
        return;
    run.isLive = false;
    for (Interval &interval : intervals_[task]) {
        if (interval.worker == host.name && interval.attempt == run.attempt
            && interval.end == TrueTime::max()) {
            interval.end = now_;
            interval.endReason = endReason;
        }
    }
}

std::string FaultRun::overlap() const
{
    for (const auto &[task, list] : intervals_) {
        for (std::size_t a = 0; a < list.size(); ++a) {
            for (std::size_t b = a + 1; b < list.size(); ++b) {
                if (list[a].begin < list[b].end && list[b].begin < list[a].end) {
                    return task + " ran as attempt " + std::to_string(list[a].attempt) + " on "
                           + list[a].worker + " and as attempt " + std::to_string(list[b].attempt)
                           + " on " + list[b].worker + " at "
                           + std::to_string(list[b].begin.count()) + " us";
                }
            }
        }
    }
    return {};
}

} // namespace Oleander::Testing
