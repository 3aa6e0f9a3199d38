#include "Jobs/machinetable.h"

#include <algorithm>
#include <utility>

namespace Oleander::Jobs {

namespace {

/** Microseconds per millisecond. */
constexpr std::int64_t MicrosecondsPerMs = 1000;
/** Maximum rate by which the clock of a minion may be slow, in percent. */
constexpr int SlowClockPercent = 4;
constexpr int Hundred = 100;
/** Time without reports after which a minion without active runs is removed. Its next report adds
 * it again. */
constexpr Duration ForgetSilentAfter = std::chrono::seconds(60);

/** Progress that must be observed before a duration is estimated, because percentages are whole
 * numbers. */
constexpr std::uint32_t SeenPercent = 25;

/** Returns the execution time during \a time of a run listed as \a status, in milliseconds at full
 * speed. */
double workedMs(const JobBook &book, const RunStatus &status, Duration time)
{
    const StepSpec *step = book.findStep(status.task);
    if (step == nullptr)
        return 0;
    const double share = step->milliCores == 0
                             ? 1.0
                             : static_cast<double>(status.latencyOrMilliCores) / step->milliCores;
    return std::chrono::duration<double, std::milli>(time).count() * share;
}

/** Adds to \a runEnd what \a crash says about its run. */
void addCrash(MinionRunEnd &runEnd, const MinionCrash &crash)
{
    const auto suspect = std::ranges::find_if(crash.suspects, [&](const CrashSuspect &candidate) {
        return candidate.task == runEnd.end.task && candidate.run == runEnd.end.run;
    });
    if (suspect == crash.suspects.end())
        return;
    runEnd.crashSuspects = static_cast<std::uint32_t>(crash.suspects.size());
    // Some time after the start the minion may have crashed for another reason.
    if (!crash.isImmediate)
        ++runEnd.crashSuspects;
    runEnd.hasStarted = runEnd.hasStarted || suspect->hasStarted;
}

/** Adds to \a runEnds those of \a ends, listed by \a life, that change the state of \a book. */
void addExpectedEnds(const MinionLife &life, const std::vector<RunEnd> &ends, const JobBook &book,
                     std::vector<MinionRunEnd> &runEnds)
{
    for (const RunEnd &end : ends) {
        if (!book.expectsEnd(life, end))
            continue;
        runEnds.push_back({life, end});
        runEnds.back().countsWhenLate = true;
    }
}

} // namespace

std::optional<double> RunView::durationMs() const
{
    constexpr double WholePercent = 100.0;
    if (percent < firstPercent + SeenPercent)
        return std::nullopt;
    return workedMs * WholePercent / (percent - firstPercent);
}

void MachineTable::startTerm(TimePoint now, std::uint64_t term)
{
    if (term == term_) {
        for (const auto &[life, machine] : machines_) {
            TimePoint &end = earlierLeaseEnds_[life];
            end = std::max(end, machine.leaseEnd);
        }
    } else {
        term_ = term;
        termStart_ = now;
        earlierLeaseEnds_.clear();
    }
    machines_.clear();
}

Machine *MachineTable::find(const MinionLife &life)
{
    const auto found = machines_.find(life);
    return found == machines_.end() ? nullptr : &found->second;
}

const RunView *MachineTable::findRun(const MinionLife &life, const RunKey &key) const
{
    const auto machine = machines_.find(life);
    if (machine == machines_.end())
        return nullptr;
    const auto view = machine->second.running.find(key);
    return view == machine->second.running.end() ? nullptr : &view->second;
}

bool MachineTable::hasListed(const MinionLife &life, const RunKey &key) const
{
    const auto machine = machines_.find(life);
    return machine != machines_.end()
           && (machine->second.running.contains(key) || machine->second.finishing.contains(key));
}

std::vector<RunKey> MachineTable::unbookedRuns(TimePoint now, const MinionLife &life,
                                               const Machine &machine, const JobBook &book) const
{
    std::vector<RunKey> runs;
    // A hung minion is reported on with its last lists, but its lease is not renewed.
    const bool hasLease = machine.leaseUntilMs > 0;
    if (now >= (hasLease ? machine.leaseEnd : machine.reportedAt + longestLease()))
        return runs;
    for (const auto &[key, view] : machine.running) {
        const ActiveRun *active = book.activeRun(key);
        if (active == nullptr || active->minion != life)
            runs.push_back(key);
    }
    return runs;
}

Duration MachineTable::longestLease() const
{
    return options_.length * (Hundred + SlowClockPercent) / Hundred + options_.margin;
}

MinionRunEnd MachineTable::lostRunEnd(const MinionLife &life, const RunKey &key) const
{
    MinionRunEnd runEnd{life, {0, key.first, key.second, RunEndKind::Lost, {}}};
    if (const RunView *listed = findRun(life, key)) {
        runEnd.end.checkpoint = listed->checkpoint;
        runEnd.hasStarted = true;
    }
    return runEnd;
}

void MachineTable::endLife(const MinionLife &life, const MinionCrash *crash, const JobBook &book,
                           std::vector<MinionRunEnd> &runEnds)
{
    const auto runs = book.activeRuns().find(life);
    if (runs != book.activeRuns().end()) {
        for (const RunKey &key : runs->second) {
            MinionRunEnd &runEnd = runEnds.emplace_back(lostRunEnd(life, key));
            if (crash != nullptr)
                addCrash(runEnd, *crash);
        }
    }
    machines_.erase(life);
}

std::vector<MinionRunEnd> MachineTable::report(TimePoint now, const std::string &agent,
                                               const MachineReport &report, const JobBook &book)
{
    std::vector<MinionRunEnd> runEnds;
    // An end that is known comes before the end of all runs of its instance as lost.
    for (const auto &[life, ends] : report.lastEnds)
        addExpectedEnds(life, ends, book, runEnds);
    for (const MinionLife &life : report.ended) {
        const auto crash = std::ranges::find(report.crashes, life, &MinionCrash::life);
        endLife(life, crash == report.crashes.end() ? nullptr : &*crash, book, runEnds);
    }
    if (!report.hasMinion)
        return runEnds;
    const MinionLife &life = report.minion.life;
    // An agent serves one minion, so earlier lives reported by the same agent have ended.
    std::vector<MinionLife> earlier;
    for (const auto &[other, machine] : machines_) {
        if (machine.agent == agent && other.bornMs < life.bornMs)
            earlier.push_back(other);
    }
    for (const MinionLife &other : earlier)
        endLife(other, nullptr, book, runEnds);
    Machine &machine = machines_[life];
    machine.agent = agent;
    machine.minion = report.minion;
    machine.reportedAt = now;
    machine.reportStamp = report.stamp;
    machine.fillingPercent = report.fillingPercent;
    machine.hasMoreEnds = report.hasMoreEnds;
    machine.clockMs = std::max(machine.clockMs, report.minionClockMs);
    updateRuns(now, machine, report, book);
    addExpectedEnds(life, report.finished, book, runEnds);
    addExpectedEnds(life, report.refused, book, runEnds);
    return runEnds;
}

void MachineTable::updateRuns(TimePoint now, Machine &machine, const MachineReport &report,
                              const JobBook &book)
{
    machine.undelivered.clear();
    for (const RunEnd &start : report.undelivered)
        machine.undelivered.insert({start.task, start.run});
    for (const RunEnd &end : report.finished) {
        const RunKey key{end.task, end.run};
        const bool news = machine.running.erase(key) > 0 || machine.finishing.insert(key).second;
        if (news && book.activeRun(key) != nullptr)
            machine.health.recordRunEnd(now, end.task.job, end.kind);
    }
    if (!report.hasRunList)
        return;
    const TimePoint listedAt = std::exchange(machine.listedAt, now);
    std::map<RunKey, RunView> listed;
    for (const RunStatus &status : report.running) {
        const RunKey key{status.task, status.run};
        const auto before = machine.running.find(key);
        RunView view;
        view.percent = status.percent;
        view.checkpoint = status.checkpoint;
        view.measurement = status.latencyOrMilliCores;
        view.progressAt = now;
        view.isOrderKnown = status.hasStartOrder;
        view.firstPercent = status.percent;
        if (before != machine.running.end()) {
            if (before->second.percent >= status.percent)
                view.progressAt = before->second.progressAt;
            view.firstPercent = before->second.firstPercent;
            view.workedMs = before->second.workedMs + workedMs(book, status, now - listedAt);
        }
        listed.emplace(key, std::move(view));
    }
    machine.running = std::move(listed);
    machine.finishing.clear();
    for (const RunEnd &end : report.finished)
        machine.finishing.insert({end.task, end.run});
}

std::vector<MinionRunEnd> MachineTable::expireLeases(TimePoint now, const JobBook &book)
{
    std::vector<MinionRunEnd> runEnds;
    std::erase_if(machines_, [&](const auto &item) {
        return now > item.second.reportedAt + ForgetSilentAfter
               && !book.activeRuns().contains(item.first);
    });
    std::erase_if(earlierLeaseEnds_, [&](const auto &item) { return now >= item.second; });
    const Duration full = longestLease();
    for (const auto &[life, runs] : book.activeRuns()) {
        const auto machine = machines_.find(life);
        // The previous leader may have granted a lease until this term started.
        TimePoint end = termStart_ + full;
        if (machine != machines_.end())
            end = std::max(end, machine->second.leaseEnd);
        if (const auto earlier = earlierLeaseEnds_.find(life); earlier != earlierLeaseEnds_.end())
            end = std::max(end, earlier->second);
        if (now < end)
            continue;
        for (const RunKey &key : runs)
            runEnds.push_back(lostRunEnd(life, key));
    }
    return runEnds;
}

bool MachineTable::renewLease(TimePoint now, Machine &machine) const
{
    // The lease starts at the minion's clock in the report, so that neither a frozen agent nor a
    // delayed message extends it.
    const auto leaseMs = static_cast<std::uint64_t>(options_.length.count() / MicrosecondsPerMs);
    const std::uint64_t until = machine.clockMs + leaseMs;
    if (machine.clockMs == 0 || until <= machine.leaseUntilMs
        || now < machine.leaseGrantedAt + options_.renewAfter)
        return false;
    machine.leaseUntilMs = until;
    machine.leaseGrantedAt = now;
    machine.leaseEnd = machine.reportedAt + longestLease();
    return true;
}

void MachineTable::markDisturbed(TimePoint now, Machine &machine) const
{
    if (!isDisturbed(now, machine))
        machine.disturbedSince = now;
    machine.disturbedAt = now;
}

bool MachineTable::isDisturbed(TimePoint now, const Machine &machine) const
{
    return machine.disturbedAt != TimePoint{} && now < machine.disturbedAt + options_.disturbedFor;
}

bool MachineTable::isEvacuated(const Machine &machine) const
{
    return evacuations_ != nullptr && evacuations_->isEvacuated(machine.minion.zone);
}

bool MachineTable::acceptsTasks(TimePoint now, const Machine &machine) const
{
    return acceptsLongRunningTasks(now, machine) && !machine.health.isSuspended(now);
}

bool MachineTable::acceptsLongRunningTasks(TimePoint now, const Machine &machine) const
{
    return isWorking(now, machine) && !isEvacuated(machine);
}

bool MachineTable::isWorking(TimePoint now, const Machine &machine) const
{
    return !machine.minion.draining && machine.minion.reachable
           && now < machine.reportedAt + options_.maxReportAge && now < machine.leaseEnd
           && !machine.health.isSuspendedForLongRunning(now) && !isDisturbed(now, machine);
}

} // namespace Oleander::Jobs
