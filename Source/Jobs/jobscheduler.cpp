#include "Jobs/jobscheduler.h"

#include "Jobs/joborder.h"
#include "Jobs/ownlatency.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace Oleander::Jobs {

namespace {

/** Time after which an order without visible effect is sent again; well above a round trip. */
constexpr Duration OrderRetry = std::chrono::milliseconds(400);
/** Time after which the record of an order is dropped; many times the retry interval. */
constexpr Duration ForgetOrdersAfter = std::chrono::seconds(10);
/** Interval of the checks for expired leases and for jobs to purge. */
constexpr Duration SweepInterval = std::chrono::milliseconds(250);
/** Time in milliseconds for which ended jobs are stored; clients may query them for two minutes. */
constexpr std::int64_t EndedJobRetentionMs = 180'000;
/** Latency ratio above which the latency of a serving task is not explained by its own load. */
constexpr double OwnLoadRatio = 1.2;
/** Time for which filling tasks must be idle before they are ruled out as the cause. Reports arrive
 * every half second and cover half a second, and the tail latency takes about as long to fall. */
constexpr Duration FillingIdleTime = std::chrono::milliseconds(1'500);
/** Processor time in cores below which filling tasks cause no interference. */
constexpr double IdleCores = 1.0;
/** Time for which a minion must be disturbed before checkpointing tasks are moved away. */
constexpr Duration EvacuateDisturbedAfter = std::chrono::milliseconds(800);

} // namespace

JobScheduler::JobScheduler(const JobBook &book, LeaseOptions lease, SchedulerOptions options)
    : book_(book)
    , machines_(lease, &book)
    , planner_(book, machines_)
    , coldStarts_(book, machines_, options.coldStarts)
    , evacuations_(book, machines_, planner_, coldStarts_)
    , startWithdrawal_(book)
    , backfill_(book, machines_, estimates_, planner_, options.backfill)
{}

void JobScheduler::startTerm(TimePoint now, std::uint64_t term)
{
    term_ = term;
    machines_.startTerm(now, term);
    planner_.startTerm();
    coldStarts_.startTerm();
    evacuations_.startTerm(now);
    startWithdrawal_.startTerm();
    backfill_.startTerm();
    startsInFlight_ = false;
    pendingEnds_.clear();
    endingRuns_.clear();
    uncommittedAcknowledgements_.clear();
    movingRuns_.clear();
    committedAcknowledgements_.clear();
    neverOrderedRuns_.clear();
    lastOrderAt_.clear();
    ignoredEnds_.clear();
    ignoredRuns_.clear();
}

void JobScheduler::report(TimePoint now, std::int64_t nowMs, const std::string &agent,
                          const MachineReport &report)
{
    for (MinionRunEnd &runEnd : machines_.report(now, agent, report, book_))
        pendingEnds_.push_back(std::move(runEnd));
    findIgnoredEnds(report);
    if (report.hasMinion && report.hasRunList) {
        learnInterference(now, report);
        learnDurations(nowMs, report);
    }
    Acknowledgement &waiting = uncommittedAcknowledgements_[{agent, report.minion.life}];
    for (const RunEnd &end : report.finished)
        waiting.end = std::max(waiting.end, end.number);
    if (!report.ended.empty() || !report.refused.empty())
        waiting.report = std::max(waiting.report, report.sequence);
}

void JobScheduler::findIgnoredEnds(const MachineReport &report)
{
    for (const RunEnd &end : report.finished) {
        const RunKey key{end.task, end.run};
        const Task *task = book_.findTask(end.task);
        // A long-running task is never done, and its ends are repeated until their acknowledgement.
        if (end.kind == RunEndKind::Done && task != nullptr && !task->done
            && !book_.findStep(end.task)->longRunning && !book_.expectsEnd(report.minion.life, end)
            && !book_.find(end.task.job)->hasEnded() && ignoredRuns_.insert(key).second)
            ignoredEnds_.push_back({report.minion.life, end});
    }
}

void JobScheduler::learnInterference(TimePoint now, const MachineReport &report)
{
    constexpr double MilliCoresPerCore = 1000;
    std::vector<ServingSample> serving;
    FillingCores used;
    for (const RunStatus &status : report.running) {
        const StepSpec *step = book_.findStep(status.task);
        if (step == nullptr)
            continue;
        if (step->filling)
            used[step->image] += status.latencyOrMilliCores / MilliCoresPerCore;
        else if (step->targetLatencyMs > 0 && status.latencyOrMilliCores > 0)
            serving.push_back(
                {step->image,
                 static_cast<double>(status.latencyOrMilliCores) / step->targetLatencyMs,
                 ownLatencyRatio(status.task, book_, machines_)});
    }
    double cores = 0;
    for (const auto &[image, amount] : used)
        cores += amount;
    const auto over = std::ranges::count_if(
        serving, [](const ServingSample &sample) { return sample.latencyRatio > OwnLoadRatio; });
    Machine *machine = machines_.find(report.minion.life);
    if (machine == nullptr)
        return;
    if (cores >= IdleCores)
        machine->fillingIdleSince.reset();
    else if (!machine->fillingIdleSince)
        machine->fillingIdleSince = now;
    // A slow minion raises the latency without filling tasks; its reports say nothing about the
    // images.
    if (cores < IdleCores && 2 * over > std::ssize(serving)) {
        if (now >= *machine->fillingIdleSince + FillingIdleTime)
            machines_.markDisturbed(now, *machine);
        return;
    }
    interference_.observe(serving, used);
}

void JobScheduler::learnDurations(std::int64_t nowMs, const MachineReport &report)
{
    const Machine *machine = machines_.find(report.minion.life);
    if (machine == nullptr)
        return;
    for (const auto &[key, view] : machine->running) {
        const StepSpec *step = book_.findStep(key.first);
        const auto duration = view.durationMs();
        if (step != nullptr && duration && step->filling)
            estimates_.observe(key.first.job, *book_.find(key.first.job), key.first.step,
                               *duration);
    }
    for (const RunEnd &end : report.finished) {
        const ActiveRun *active = book_.activeRun({end.task, end.run});
        const Job *job = book_.find(end.task.job);
        // Filling runs are throttled, so their progress says more about the duration than the
        // elapsed time.
        if (active == nullptr || end.kind != RunEndKind::Done || job->steps[end.task.step].filling)
            continue;
        const auto durationMs = static_cast<double>(nowMs - active->startedAtMs);
        estimates_.observe(end.task.job, *job, end.task.step, durationMs);
    }
}

JobScheduler::EndBatch JobScheduler::takeEnds(TimePoint now, std::int64_t nowMs)
{
    EndBatch taken;
    if (now >= nextSweep_) {
        nextSweep_ = now + SweepInterval;
        for (MinionRunEnd &runEnd : machines_.expireLeases(now, book_))
            pendingEnds_.push_back(std::move(runEnd));
        std::erase_if(lastOrderAt_,
                      [&](const auto &item) { return now > item.second + ForgetOrdersAfter; });
        estimates_.refresh(book_);
        std::erase_if(movingRuns_,
                      [&](const RunKey &key) { return book_.activeRun(key) == nullptr; });
        std::erase_if(endingRuns_,
                      [&](const RunKey &key) { return book_.activeRun(key) == nullptr; });
        // The starts of a batch in flight are not active yet.
        if (!startsInFlight_) {
            std::erase_if(neverOrderedRuns_,
                          [&](const RunKey &key) { return book_.activeRun(key) == nullptr; });
        }
        std::erase_if(ignoredRuns_, [&](const RunKey &key) {
            const Task *task = book_.findTask(key.first);
            return task == nullptr || task->done;
        });
        for (const auto &[id, job] : book_.jobs()) {
            if (job.hasEnded() && nowMs > job.endedAtMs + EndedJobRetentionMs)
                taken.batch.purged.push_back(id);
        }
    }
    taken.batch.atMs = nowMs;
    taken.batch.ends = std::exchange(pendingEnds_, {});
    std::erase_if(taken.batch.ends, [&](const MinionRunEnd &runEnd) {
        return !book_.expectsEnd(runEnd.minion, runEnd.end);
    });
    for (const MinionRunEnd &runEnd : taken.batch.ends) {
        if (endingRuns_.insert({runEnd.end.task, runEnd.end.run}).second)
            taken.firstEnds.push_back(runEnd);
    }
    taken.acknowledgements = std::exchange(uncommittedAcknowledgements_, {});
    // Without ends to commit, the acknowledgements need not wait for a commit.
    if (taken.batch.empty())
        endsCommitted(std::exchange(taken.acknowledgements, {}));
    return taken;
}

void JobScheduler::endsCommitted(const std::map<Reporter, Acknowledgement> &acknowledgements)
{
    for (const auto &[reporter, acknowledgement] : acknowledgements) {
        Acknowledgement &due = committedAcknowledgements_[reporter];
        due.end = std::max(due.end, acknowledgement.end);
        due.report = std::max(due.report, acknowledgement.report);
    }
}

void JobScheduler::endsFailed(const std::vector<MinionRunEnd> &runEnds)
{
    pendingEnds_.insert(pendingEnds_.end(), runEnds.begin(), runEnds.end());
}

JobBatch JobScheduler::takeStarts(TimePoint now, std::int64_t nowMs)
{
    JobBatch batch;
    if (startsInFlight_)
        return batch;
    batch.atMs = nowMs;
    planner_.update(now, nowMs);
    coldStarts_.update(now, nowMs);
    backfill_.update(now, nowMs);
    TaskPlacer placer(book_, machines_, interference_, estimates_, planner_, coldStarts_,
                      {book_, backfill_, now});
    batch.starts = placer.place(now, nowMs);
    coldStarts_.record(now, batch.starts);
    std::vector<std::pair<MinionLife, TaskRef>> claimed;
    for (const RunStart &start : batch.starts) {
        neverOrderedRuns_.insert({start.task, start.run});
        claimed.emplace_back(start.minion, start.task);
    }
    for (RunMove &move : placer.planMoves()) {
        claimed.emplace_back(move.to, move.run.first);
        if (movingRuns_.insert(move.run).second)
            moves_.push_back(std::move(move));
    }
    evacuations_.plan(now, claimed);
    startsInFlight_ = !batch.starts.empty();
    return batch;
}

std::vector<AddressedDirective> JobScheduler::takeDirectives(TimePoint now, std::int64_t nowMs)
{
    std::vector<AddressedDirective> directives;
    startWithdrawal_.update(now);
    for (auto &[life, machine] : machines_.machines()) {
        if (now >= machine.reportedAt + machines_.options().maxReportAge)
            continue;
        MachineDirective directive;
        directive.term = term_;
        directive.life = life;
        directive.reportStamp = machine.reportStamp;
        const bool renewed = machines_.renewLease(now, machine);
        directive.holdUntilMs = machine.leaseUntilMs;
        const auto due = committedAcknowledgements_.find({machine.agent, life});
        if (due != committedAcknowledgements_.end()) {
            machine.acknowledgedEnd = std::max(machine.acknowledgedEnd, due->second.end);
            directive.acknowledgedReport = due->second.report;
        }
        const bool acknowledges = due != committedAcknowledgements_.end();
        if (acknowledges)
            committedAcknowledgements_.erase(due);
        directive.acknowledgedEnd = machine.acknowledgedEnd;
        addOrders(now, nowMs, life, machine, directive);
        if (renewed)
            addPacing(life, nowMs, directive);
        if (renewed || acknowledges || !directive.starts.empty() || !directive.stops.empty())
            directives.push_back({machine.agent, std::move(directive)});
    }
    for (const auto &[reporter, acknowledgement] : std::exchange(committedAcknowledgements_, {})) {
        MachineDirective directive;
        directive.term = term_;
        directive.life = reporter.second;
        directive.acknowledgedEnd = acknowledgement.end;
        directive.acknowledgedReport = acknowledgement.report;
        directives.push_back({reporter.first, std::move(directive)});
    }
    return directives;
}

void JobScheduler::addOrders(TimePoint now, std::int64_t nowMs, const MinionLife &life,
                             const Machine &machine, MachineDirective &directive)
{
    const auto runs = book_.activeRuns().find(life);
    static const std::set<RunKey> None;
    const std::set<RunKey> &active = runs == book_.activeRuns().end() ? None : runs->second;
    std::optional<Claim> claim;
    const auto exceedsCapacity = [&] {
        if (!claim)
            claim = claimOf(active);
        return !claim->isWithin(machine.minion);
    };
    const bool isEvacuated = machines_.isEvacuated(machine);
    for (const RunKey &key : active) {
        const auto view = machine.running.find(key);
        const bool isOrderKnown = view != machine.running.end() && view->second.isOrderKnown;
        if (machine.finishing.contains(key))
            continue;
        // Another run of the task may start as soon as the end is committed.
        if (endingRuns_.contains(key))
            continue;
        // The end of a run that the minion does not list may be one that it has yet to list.
        const bool mayHaveEnded = machine.hasMoreEnds && view == machine.running.end()
                                  && !neverOrderedRuns_.contains(key);
        if (mustStop(key) || mustEvacuate(now, machine, key) || planner_.evicts(key)
            || movingRuns_.contains(key)) {
            if (recordOrderIfDue(now, key, OrderKind::Stop))
                directive.stops.push_back({key.first, key.second});
        } else if (isEvacuated) {
            // No order to start is sent or renewed; listed runs go on.
            if (view == machine.running.end() && mustWithdraw(now, nowMs, machine, key)
                && recordOrderIfDue(now, key, OrderKind::Stop))
                directive.stops.push_back({key.first, key.second});
        } else if (view == machine.running.end() && exceedsCapacity()) {
            // The minion has shrunk since the start was decided. A run that the latest report could
            // not list may be at work, or have ended, and is not stopped.
            if (machine.listedAt != machine.reportedAt || mayHaveEnded)
                continue;
            claim->remove(stepOf(key));
            if (recordOrderIfDue(now, key, OrderKind::Stop))
                directive.stops.push_back({key.first, key.second});
        } else if (machine.undelivered.contains(key)) {
            directive.renewals.push_back({key.first, key.second});
        } else if (machine.leaseUntilMs > 0 && !isOrderKnown && !mayHaveEnded
                   && recordOrderIfDue(now, key, OrderKind::Start)) {
            const Job *job = book_.find(key.first.job);
            const StepSpec &step = job->steps[key.first.step];
            directive.starts.push_back({key.first, key.second, job->spec,
                                        job->tasks[key.first.step][key.first.index].checkpoint,
                                        step.filling, step.targetLatencyMs, step.image,
                                        step.milliCores,
                                        step.filling ? weightOf(key.first.job, nowMs) : 1.0,
                                        neverOrderedRuns_.erase(key) > 0});
        }
    }
    const auto stopUnlessActive = [&](const RunKey &key) {
        if (!active.contains(key) && recordOrderIfDue(now, key, OrderKind::Stop))
            directive.stops.push_back({key.first, key.second});
    };
    for (const auto &[key, view] : machine.running)
        stopUnlessActive(key);
    for (const RunKey &key : machine.undelivered)
        stopUnlessActive(key);
}

double JobScheduler::weightOf(const std::string &id, std::int64_t nowMs)
{
    if (std::exchange(weightsAtMs_, nowMs) != nowMs)
        weights_.clear();
    const auto [known, first] = weights_.try_emplace(id, 0);
    if (first)
        known->second = rankJob(id, *book_.find(id), book_, estimates_, machines_, nowMs).weight;
    return known->second;
}

void JobScheduler::addPacing(const MinionLife &life, std::int64_t nowMs,
                             MachineDirective &directive)
{
    const auto runs = book_.activeRuns().find(life);
    if (runs == book_.activeRuns().end())
        return;
    std::set<std::string> filling;
    std::set<std::string> serving;
    std::set<std::string> jobs;
    for (const RunKey &key : runs->second) {
        const StepSpec &step = book_.find(key.first.job)->steps[key.first.step];
        if (step.filling) {
            filling.insert(step.image);
            jobs.insert(key.first.job);
        } else if (step.targetLatencyMs > 0) {
            serving.insert(step.image);
        }
    }
    for (const std::string &fill : filling) {
        for (const std::string &serve : serving)
            directive.interference.push_back(
                {fill, serve, interference_.interferencePerCore(fill, serve)});
    }
    for (const std::string &id : jobs)
        directive.weights.push_back({id, weightOf(id, nowMs)});
}

bool JobScheduler::recordOrderIfDue(TimePoint now, const RunKey &key, OrderKind kind)
{
    const auto [ordered, first] = lastOrderAt_.try_emplace({key, kind}, now);
    if (!first && now < ordered->second + OrderRetry)
        return false;
    ordered->second = now;
    return true;
}

const StepSpec &JobScheduler::stepOf(const RunKey &key) const
{
    return book_.find(key.first.job)->steps[key.first.step];
}

Claim JobScheduler::claimOf(const std::set<RunKey> &runs) const
{
    Claim claim;
    for (const RunKey &key : runs)
        claim.add(stepOf(key));
    return claim;
}

bool JobScheduler::mustStop(const RunKey &key) const
{
    const Job *job = book_.find(key.first.job);
    return job->hasEnded() || job->tasks[key.first.step][key.first.index].done;
}

bool JobScheduler::mustWithdraw(TimePoint now, std::int64_t nowMs, const Machine &machine,
                                const RunKey &key) const
{
    // A report without a list says nothing about the runs that the minion has started.
    return neverOrderedRuns_.contains(key) || machine.undelivered.contains(key)
           || (machine.listedAt == machine.reportedAt
               && startWithdrawal_.isDue(now, nowMs, machine.minion.zone));
}

std::uint64_t JobScheduler::pendingJobs(const std::string &queue) const
{
    const auto isPending = [&](const std::string &id) {
        const Job &job = *book_.find(id);
        return job.queue == queue && !hasBegun(id, job);
    };
    return static_cast<std::uint64_t>(std::ranges::count_if(book_.openJobs(), isPending));
}

bool JobScheduler::hasBegun(const std::string &id, const Job &job) const
{
    if (job.hasBegun || job.state == JobState::Queued)
        return job.hasBegun;
    for (std::uint32_t step = 0; step < job.tasks.size(); ++step) {
        for (std::uint32_t index = 0; index < job.tasks[step].size(); ++index) {
            for (const ActiveRun &run : job.tasks[step][index].active) {
                if (machines_.hasListed(run.minion, {{id, step, index}, run.run}))
                    return true;
            }
        }
    }
    return false;
}

bool JobScheduler::mustEvacuate(TimePoint now, const Machine &machine, const RunKey &key) const
{
    const StepSpec &step = stepOf(key);
    // Runs on a draining minion end with it. Stopping early benefits only runs that save
    // checkpoints or that have no end of their own.
    if (machine.minion.draining)
        return step.longRunning || step.checkpointing;
    return step.checkpointing && !step.longRunning && machines_.isDisturbed(now, machine)
           && machine.disturbedAt > machine.disturbedSince + EvacuateDisturbedAfter;
}

} // namespace Oleander::Jobs
