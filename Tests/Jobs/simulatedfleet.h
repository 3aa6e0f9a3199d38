#pragma once

#include "jobfixture.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace Oleander::Testing {

/**
 * \class SimulatedFleet
 * \brief Minions that execute a leader's orders in steps of simulated time.
 *
 * Tasks that end by themselves are done after their estimate; long-running tasks are at work after
 * their startup.
 */
class SimulatedFleet
{
public:
    static constexpr Duration Step = std::chrono::milliseconds(50);
    static constexpr Duration Startup = std::chrono::milliseconds(300);

    explicit SimulatedFleet(const std::vector<std::uint32_t> &milliCores)
    {
        for (std::size_t i = 0; i < milliCores.size(); ++i) {
            const std::string number = std::to_string(100 + i);
            minions_.push_back({"agent-" + number, {"minion-" + number, 100}, milliCores[i]});
        }
        exchange();
    }

    SchedulerFixture &leader() { return leader_; }

    /** Advances by \a time in steps and calls \a each before every step. */
    template<typename F>
    void pass(Duration time, F &&each)
    {
        for (Duration passed{}; passed < time; passed += Step) {
            each();
            leader_.advance(Step);
            exchange();
        }
    }
    void pass(Duration time)
    {
        pass(time, [] {});
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
    /** Share of the tasks of the long-running job \a id that are at work. */
    double shareAtWork(const std::string &id) const
    {
        const Job &job = *leader_.book.find(id);
        double tasks = 0;
        double atWork = 0;
        for (const StepSpec &spec : job.steps)
            tasks += spec.count;
        for (const Minion &minion : minions_) {
            for (const auto &[key, begun] : minion.runs)
                atWork += key.first.job == id && leader_.clock.now() >= begun + Startup ? 1 : 0;
        }
        return atWork / tasks;
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
    struct Minion
    {
        std::string agent;
        MinionLife life;
        std::uint32_t milliCores = 0;
        std::uint64_t lastEnd = 0;
        std::map<RunKey, TimePoint> runs;
        std::vector<RunEnd> finished;
    };

    const StepSpec &stepOf(const RunKey &key) const
    {
        return leader_.book.find(key.first.job)->steps[key.first.step];
    }
    void finish(Minion &minion, const RunKey &key, RunEndKind how)
    {
        minion.runs.erase(key);
        minion.finished.push_back({++minion.lastEnd, key.first, key.second, how, {}});
    }
    void endDone(Minion &minion)
    {
        std::vector<RunKey> done;
        for (const auto &[key, begun] : minion.runs) {
            const StepSpec &spec = stepOf(key);
            if (!spec.longRunning
                && leader_.clock.now() >= begun + std::chrono::milliseconds(spec.estimateMs))
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
        report.minion.memoryMiB = 1'000'000;
        for (const auto &[key, begun] : minion.runs) {
            RunStatus status;
            status.task = key.first;
            status.run = key.second;
            status.hasStartOrder = true;
            status.percent = leader_.clock.now() >= begun + Startup ? 100 : 0;
            report.running.push_back(status);
        }
        report.finished = minion.finished;
        return report;
    }
    void carryOut(Minion &minion, const MachineDirective &directive)
    {
        std::erase_if(minion.finished,
                      [&](const RunEnd &end) { return end.number <= directive.acknowledgedEnd; });
        for (const StartOrder &order : directive.starts)
            minion.runs.try_emplace({order.task, order.run}, leader_.clock.now());
        for (const StopOrder &order : directive.stops) {
            const RunKey key{order.task, order.run};
            if (!minion.runs.contains(key))
                continue;
            ++stops_;
            finish(minion, key, RunEndKind::Stopped);
        }
        std::uint64_t claimed = 0;
        for (const auto &[key, begun] : minion.runs)
            claimed += stepOf(key).filling ? 0 : stepOf(key).milliCores;
        if (claimed > minion.milliCores)
            overCapacity_ = std::max(overCapacity_, claimed - minion.milliCores);
    }
    void exchange()
    {
        for (Minion &minion : minions_) {
            endDone(minion);
            leader_.report(minion.agent, reportFor(minion));
        }
        // Ends and starts are committed as separate batches.
        leader_.decide();
        leader_.decide();
        for (const AddressedDirective &addressed :
             leader_.scheduler.takeDirectives(leader_.clock.now(), leader_.nowMs)) {
            for (Minion &minion : minions_) {
                if (minion.agent == addressed.agent)
                    carryOut(minion, addressed.directive);
            }
        }
    }

    SchedulerFixture leader_;
    std::vector<Minion> minions_;
    std::uint64_t overCapacity_ = 0;
    std::uint64_t stops_ = 0;
};

} // namespace Oleander::Testing
