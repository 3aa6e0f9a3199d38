#pragma once

#include "jobfixture.h"
#include "Jobs/pacecontroller.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <numbers>
#include <set>
#include <string>
#include <vector>

namespace Oleander::Testing {

/**
 * \class SimulatedFleet
 * \brief Minions that execute a leader's orders in steps of simulated time.
 *
 * Tasks that end by themselves are done after their estimate at full speed; long-running tasks are
 * at work after their startup. With setInterference(), filling tasks raise the latency of the
 * serving tasks on their minion, and every minion throttles them with a PaceController.
 */
class SimulatedFleet
{
public:
    static constexpr Duration Step = std::chrono::milliseconds(50);
    static constexpr Duration Startup = std::chrono::milliseconds(300);

    explicit SimulatedFleet(const std::vector<std::uint32_t> &milliCores,
                            SchedulerOptions options = {})
        : leader_(options)
    {
        for (const std::uint32_t size : milliCores)
            addMinion(size);
        exchange();
    }

    SchedulerFixture &leader() { return leader_; }

    /** Increase of the latency ratio per core, by filling and serving image. */
    using Interference = std::map<std::pair<std::string, std::string>, double>;
    void setInterference(Interference perCore) { interference_ = std::move(perCore); }
    /** Share of the time of the serving tasks in which they exceed their latency target. */
    double shareOverTarget() const { return overTarget_ / std::max(1.0, servingTime_); }

    /** Advances by \a time in steps and calls \a each before every step. */
    template<typename F>
    void pass(Duration time, F &&each)
    {
        for (Duration passed{}; passed < time; passed += Step) {
            each();
            leader_.advance(Step);
            for (Minion &minion : minions_)
                execute(minion);
            exchange();
        }
    }
    void pass(Duration time)
    {
        pass(time, [] {});
    }

    /** Makes the tasks of the job \a id take \a factor times their estimate. */
    void setDurationFactor(const std::string &id, double factor) { durationFactors_[id] = factor; }

    /** Makes all minions report no progress. */
    void hideProgress() { isProgressHidden_ = true; }

    /** Sets the time that an order takes to its minion. */
    void setOrderDelay(Duration delay) { orderDelay_ = delay; }

    /** Makes every run of the job \a id crash its minion at its start. The minion is back, as
     * another instance, after CrashDowntime. */
    void setCrashing(const std::string &id) { crashingJobs_.insert(id); }
    /** Number of minions that the runs of the job \a id have crashed. */
    unsigned crashesBy(const std::string &id) const
    {
        const auto found = crashes_.find(id);
        return found == crashes_.end() ? 0 : found->second;
    }

    /** All machines lose power. After \a outage other minions take the place of the present ones,
     * and a new leader begins its term. */
    void losePower(Duration outage)
    {
        std::vector<std::uint32_t> sizes;
        for (const Minion &minion : minions_)
            sizes.push_back(minion.milliCores);
        minions_.clear();
        for (const std::uint32_t size : sizes)
            addMinion(size);
        leader_.advance(outage);
        leader_.scheduler.startTerm(leader_.clock.now(), ++term_);
        exchange();
    }

    /** Places the minions from \a first on in \a zone. */
    void setZone(std::size_t first, const std::string &zone)
    {
        for (std::size_t i = first; i < minions_.size(); ++i)
            minions_[i].zone = zone;
        exchange();
    }
    /** A new leader begins its term; it knows only the job book. */
    void changeLeader()
    {
        leader_.scheduler.startTerm(leader_.clock.now(), ++term_);
        exchange();
    }
    /** Number of runs on the minions of \a zone. */
    std::size_t runsIn(const std::string &zone) const
    {
        std::size_t count = 0;
        for (const Minion &minion : minions_)
            count += minion.zone == zone ? minion.runs.size() : 0;
        return count;
    }
    /** Number of runs that have started on the minions of \a zone. */
    std::uint64_t startsIn(const std::string &zone) const
    {
        std::uint64_t count = 0;
        for (const Minion &minion : minions_)
            count += minion.zone == zone ? minion.starts : 0;
        return count;
    }

    /** Ends the run of \a task as failed. */
    void fail(const TaskRef &task)
    {
        for (Minion &minion : minions_) {
            const auto run = std::ranges::find_if(
                minion.runs, [&](const auto &item) { return item.first.first == task; });
            if (run != minion.runs.end())
                return finish(minion, RunKey(run->first), RunEndKind::Failed);
        }
    }
    /** Ends one of the runs as failed, chosen by \a number. */
    void failAny(std::size_t number)
    {
        const std::size_t count = runCount();
        std::size_t left = count == 0 ? 0 : number % count;
        for (Minion &minion : minions_) {
            if (left < minion.runs.size()) {
                const auto run = std::next(minion.runs.begin(), static_cast<std::ptrdiff_t>(left));
                return finish(minion, RunKey(run->first), RunEndKind::Failed);
            }
            left -= minion.runs.size();
        }
    }
    /** Measures the waits of long-running tasks; call before every step. */
    void recordWaits()
    {
        std::set<TaskRef> atWork;
        for (const Minion &minion : minions_) {
            for (const auto &[key, run] : minion.runs)
                atWork.insert(key.first);
        }
        for (const std::string &id : leader_.book.openJobs()) {
            const Job &job = *leader_.book.find(id);
            for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
                const StepSpec &spec = job.steps[step];
                if (!spec.longRunning)
                    continue;
                std::uint64_t fitting = 0;
                for (const Minion &minion : minions_)
                    fitting += fitting < 2 ? capacityFor(minion, id, spec) : 0;
                for (std::uint32_t index = 0; index < spec.count; ++index) {
                    const TaskRef ref{id, step, index};
                    Duration &wait = waits_[ref];
                    wait = fitting < 2 || atWork.contains(ref) ? Duration{} : wait + Step;
                    Duration &idle = idleTimes_[ref];
                    idle = atWork.contains(ref) ? Duration{} : idle + Step;
                    if (wait >= LostAfterWait && idle >= LostAfterIdle)
                        lostTasks_.insert(ref);
                    if (wait <= longestWait_)
                        continue;
                    longestWait_ = wait;
                    longestWaitingTask_ =
                        fmt::format("{}.{}.{}, {} milli-cores, at most {} on one minion", id, step,
                                    index, spec.milliCores, spec.maxPerMinion);
                }
            }
        }
    }
    /** Longest time for which a long-running task had no run while the minions had capacity for two
     * tasks of its kind. */
    Duration longestWaitBesideCapacity() const { return longestWait_; }
    const std::string &longestWaitingTask() const { return longestWaitingTask_; }
    /** Long-running tasks that the platform counts as lost. Call recordWaits() before every step.
     */
    const std::set<TaskRef> &lostTasks() const { return lostTasks_; }
    /** Share of the tasks of the long-running job \a id that are at work. */
    double shareAtWork(const std::string &id) const
    {
        const Job &job = *leader_.book.find(id);
        double tasks = 0;
        double atWork = 0;
        for (const StepSpec &spec : job.steps)
            tasks += spec.count;
        for (const Minion &minion : minions_) {
            for (const auto &[key, run] : minion.runs)
                atWork += key.first.job == id && run.elapsed >= Startup ? 1 : 0;
        }
        return atWork / tasks;
    }
    /** Number of runs on all minions. */
    std::size_t runCount() const
    {
        std::size_t count = 0;
        for (const Minion &minion : minions_)
            count += minion.runs.size();
        return count;
    }
    /** Largest number of runs of the job \a id on one minion. */
    std::ptrdiff_t mostOnOneMinion(const std::string &id) const
    {
        std::ptrdiff_t most = 0;
        for (const Minion &minion : minions_) {
            most = std::max(most, std::ranges::count_if(minion.runs, [&](const auto &item) {
                                return item.first.first.job == id;
                            }));
        }
        return most;
    }
    /** Largest processor time claimed on one minion beyond its capacity so far. */
    std::uint64_t overCapacity() const { return overCapacity_; }
    std::uint64_t stops() const { return stops_; }

private:
    struct Run
    {
        Duration elapsed{};
        /** Time of execution at full speed. */
        Duration executed{};
        /** Share of the requested processor time that the run may use. */
        std::uint32_t percent = 100;
        double weight = 1;
    };
    /** A directive on its way to a minion. */
    struct DelayedDirective
    {
        TimePoint due{};
        MachineDirective directive;
    };
    struct Minion
    {
        std::string agent;
        MinionLife life;
        std::uint32_t milliCores = 0;
        std::uint64_t lastEnd = 0;
        std::map<RunKey, Run> runs;
        std::vector<RunEnd> finished;
        PaceController pace;
        /** Time until the minion is back after a crash. */
        Duration downtime{};
        std::vector<MinionCrash> crashes;
        std::deque<DelayedDirective> delayed;
        std::string zone;
        std::uint64_t starts = 0;
        /** Runs that were stopped before their start. */
        std::set<RunKey> rejected;
    };
    static constexpr std::uint64_t MinionMemoryMiB = 1'000'000;
    static constexpr Duration CrashDowntime = std::chrono::seconds(3);
    static constexpr Duration CrashWindow = std::chrono::milliseconds(100);
    /** Period in which the load of a service rises and falls. */
    static constexpr double LoadPeriodS = 12;
    /** The platform counts a long-running task as lost that has had no run for this long beside
     * capacity for two of its kind. */
    static constexpr Duration LostAfterWait = std::chrono::seconds(3);
    /** Age of its last run from which it counts a task as lost. */
    static constexpr Duration LostAfterIdle = std::chrono::seconds(6);
    static constexpr Duration PaceInterval = std::chrono::milliseconds(200);

    void addMinion(std::uint32_t milliCores)
    {
        const std::string number = std::to_string(100 + minionCount_++);
        minions_.push_back({"agent-" + number, {"minion-" + number, 100}, milliCores});
    }
    const StepSpec &stepOf(const RunKey &key) const
    {
        return leader_.book.find(key.first.job)->steps[key.first.step];
    }
    double latencyRatio(const Minion &minion, const StepSpec &serving, const std::string &job) const
    {
        const double seconds =
            std::chrono::duration<double>(leader_.clock.now().time_since_epoch()).count();
        const double phase = static_cast<double>(job.back() % 8) / 8;
        double ratio =
            0.46 + 0.15 * std::sin(2 * std::numbers::pi * (seconds / LoadPeriodS + phase));
        for (const auto &[key, run] : minion.runs) {
            const StepSpec &spec = stepOf(key);
            const auto pair = interference_.find({spec.image, serving.image});
            if (spec.filling && pair != interference_.end())
                ratio += pair->second * spec.milliCores / 1000 * run.percent / 100;
        }
        return ratio;
    }
    /** Returns the duration of the run \a key at full speed. */
    Duration durationOf(const RunKey &key) const
    {
        const auto factor = durationFactors_.find(key.first.job);
        const double ms =
            stepOf(key).estimateMs * (factor == durationFactors_.end() ? 1.0 : factor->second);
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
    }
    std::uint32_t percentOf(const RunKey &key, const Run &run) const
    {
        const StepSpec &spec = stepOf(key);
        if (spec.longRunning)
            return run.elapsed >= Startup ? 100 : 0;
        const Duration whole = std::max<Duration>(durationOf(key), std::chrono::milliseconds(1));
        return static_cast<std::uint32_t>(std::min<Duration::rep>(99, 100 * run.executed / whole));
    }
    std::uint32_t measurementOf(const Minion &minion, const RunKey &key, const Run &run) const
    {
        const StepSpec &spec = stepOf(key);
        if (spec.filling)
            return spec.milliCores * run.percent / 100;
        if (spec.targetLatencyMs == 0 || run.elapsed < Startup)
            return 0;
        return static_cast<std::uint32_t>(spec.targetLatencyMs
                                          * latencyRatio(minion, spec, key.first.job));
    }
    /** Number of further tasks of \a spec of the job \a id that \a minion can execute. */
    std::uint64_t capacityFor(const Minion &minion, const std::string &id,
                              const StepSpec &spec) const
    {
        if (minion.downtime > Duration{})
            return 0;
        Claim claim;
        std::uint32_t here = 0;
        for (const auto &[key, run] : minion.runs) {
            claim.add(stepOf(key));
            here += key.first.job == id ? 1 : 0;
        }
        MinionReport room;
        room.milliCores = minion.milliCores;
        room.memoryMiB = MinionMemoryMiB;
        std::uint64_t fitting = 0;
        while (fitting < 2 && claim.leavesRoom(room, spec)
               && (spec.maxPerMinion == 0 || here + fitting < spec.maxPerMinion)) {
            claim.add(spec);
            ++fitting;
        }
        return fitting;
    }
    /** Ends the instance of \a minion and reports its youngest runs, as its agent does. */
    void crash(Minion &minion)
    {
        MinionCrash crash{minion.life, {}, true};
        for (const auto &[key, run] : minion.runs) {
            if (run.elapsed <= CrashWindow)
                crash.suspects.push_back({key.first, key.second, true});
        }
        minion.crashes.push_back(std::move(crash));
        minion.runs.clear();
        minion.finished.clear();
        minion.lastEnd = 0;
        minion.rejected.clear();
        ++minion.life.bornMs;
        minion.downtime = CrashDowntime;
    }
    void execute(Minion &minion)
    {
        minion.downtime -= Step;
        for (auto &[key, run] : minion.runs) {
            run.elapsed += Step;
            run.executed += Step * run.percent / 100;
            const StepSpec &spec = stepOf(key);
            if (spec.targetLatencyMs == 0)
                continue;
            servingTime_ += 1;
            overTarget_ += measurementOf(minion, key, run) > spec.targetLatencyMs ? 1 : 0;
        }
    }
    void pace(Minion &minion)
    {
        std::vector<PacedRun> runs;
        for (const auto &[key, run] : minion.runs) {
            const StepSpec &spec = stepOf(key);
            if (spec.filling || spec.targetLatencyMs > 0)
                runs.push_back({key, spec.filling, spec.image, spec.milliCores,
                                spec.targetLatencyMs, measurementOf(minion, key, run), run.weight});
        }
        for (const PaceOrder &order : minion.pace.update(leader_.clock.now(), runs))
            minion.runs.at(order.key).percent = order.percent;
    }
    void finish(Minion &minion, const RunKey &key, RunEndKind how)
    {
        minion.runs.erase(key);
        minion.finished.push_back({++minion.lastEnd, key.first, key.second, how, {}});
    }
    void endDone(Minion &minion)
    {
        std::vector<RunKey> done;
        for (const auto &[key, run] : minion.runs) {
            const StepSpec &spec = stepOf(key);
            if (!spec.longRunning && run.executed >= durationOf(key))
                done.push_back(key);
        }
        for (const RunKey &key : done)
            finish(minion, key, RunEndKind::Done);
    }
    MachineReport reportFor(const Minion &minion) const
    {
        const Duration up = leader_.clock.now().time_since_epoch() + std::chrono::seconds(1);
        MachineReport report =
            reportOf(minion.life,
                     static_cast<std::uint64_t>(
                         std::chrono::duration_cast<std::chrono::milliseconds>(up).count()),
                     minion.milliCores);
        report.minion.memoryMiB = MinionMemoryMiB;
        for (const auto &[key, run] : minion.runs) {
            RunStatus status;
            status.task = key.first;
            status.run = key.second;
            status.hasStartOrder = true;
            status.percent = isProgressHidden_ ? 0 : percentOf(key, run);
            status.latencyOrMilliCores = measurementOf(minion, key, run);
            report.running.push_back(status);
        }
        report.minion.zone = minion.zone;
        for (const auto &[task, run] : minion.rejected)
            report.refused.push_back({0, task, run, RunEndKind::Refused, {}});
        report.finished = minion.finished;
        report.hasMinion = minion.downtime <= Duration{};
        report.crashes = minion.crashes;
        for (const MinionCrash &crash : minion.crashes)
            report.ended.push_back(crash.life);
        return report;
    }
    void carryOut(Minion &minion, const MachineDirective &directive)
    {
        if (directive.acknowledgedReport > 0)
            minion.crashes.clear();
        if (directive.life != minion.life || minion.downtime > Duration{})
            return;
        std::erase_if(minion.finished,
                      [&](const RunEnd &end) { return end.number <= directive.acknowledgedEnd; });
        for (const StartOrder &order : directive.starts) {
            if (minion.rejected.contains({order.task, order.run}))
                continue;
            const auto [run, isNew] = minion.runs.try_emplace({order.task, order.run});
            run->second.weight = order.weight;
            minion.starts += isNew ? 1 : 0;
        }
        for (const ImageInterference &pair : directive.interference)
            minion.pace.learn(pair);
        for (const JobWeight &weight : directive.weights) {
            for (auto &[key, run] : minion.runs)
                run.weight = key.first.job == weight.job ? weight.weight : run.weight;
        }
        for (const StopOrder &order : directive.stops) {
            const RunKey key{order.task, order.run};
            if (!minion.runs.contains(key)) {
                const bool hasEnded = std::ranges::any_of(minion.finished, [&](const RunEnd &end) {
                    return end.task == order.task && end.run == order.run;
                });
                if (!hasEnded)
                    minion.rejected.insert(key);
                continue;
            }
            ++stops_;
            finish(minion, key, RunEndKind::Stopped);
        }
        for (const StartOrder &order : directive.starts) {
            if (!crashingJobs_.contains(order.task.job))
                continue;
            ++crashes_[order.task.job];
            return crash(minion);
        }
        std::uint64_t claimed = 0;
        for (const auto &[key, run] : minion.runs)
            claimed += stepOf(key).filling ? 0 : stepOf(key).milliCores;
        if (claimed > minion.milliCores)
            overCapacity_ = std::max(overCapacity_, claimed - minion.milliCores);
    }
    void carryOutDue(Minion &minion)
    {
        while (!minion.delayed.empty() && minion.delayed.front().due <= leader_.clock.now()) {
            carryOut(minion, minion.delayed.front().directive);
            minion.delayed.pop_front();
        }
    }
    void exchange()
    {
        const bool isPaceDue = leader_.clock.now() >= nextPace_;
        if (isPaceDue)
            nextPace_ = leader_.clock.now() + PaceInterval;
        for (Minion &minion : minions_) {
            carryOutDue(minion);
            endDone(minion);
            if (isPaceDue)
                pace(minion);
            leader_.report(minion.agent, reportFor(minion));
        }
        // Ends and starts are committed as separate batches.
        leader_.decide();
        leader_.decide();
        for (const AddressedDirective &addressed :
             leader_.scheduler.takeDirectives(leader_.clock.now(), leader_.nowMs)) {
            for (Minion &minion : minions_) {
                if (minion.agent == addressed.agent)
                    minion.delayed.push_back(
                        {leader_.clock.now() + orderDelay_, addressed.directive});
            }
        }
        for (Minion &minion : minions_)
            carryOutDue(minion);
    }

    SchedulerFixture leader_;
    std::vector<Minion> minions_;
    /** Number of minions so far. */
    std::size_t minionCount_ = 0;
    std::uint64_t term_ = SchedulerFixture::FirstTerm;
    Duration orderDelay_{};
    std::uint64_t overCapacity_ = 0;
    std::uint64_t stops_ = 0;
    std::set<std::string> crashingJobs_;
    std::map<std::string, unsigned> crashes_;
    /** Time for which each long-running task has had no run beside capacity for two of its kind. */
    std::map<TaskRef, Duration> waits_;
    /** Time for which each long-running task has had no run. */
    std::map<TaskRef, Duration> idleTimes_;
    std::set<TaskRef> lostTasks_;
    Duration longestWait_{};
    std::string longestWaitingTask_;
    Interference interference_;
    std::map<std::string, double> durationFactors_;
    bool isProgressHidden_ = false;
    TimePoint nextPace_{};
    double servingTime_ = 0;
    double overTarget_ = 0;
};

} // namespace Oleander::Testing
