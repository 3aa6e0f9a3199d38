// Measures the time that the reservation planner takes for one plan at several numbers of minions,
// and prints it to standard error. There is no figure with a target.

#include "Base/clock.h"
#include "Jobs/jobbook.h"
#include "Jobs/machinetable.h"
#include "Jobs/reservationplanner.h"

#include <fmt/format.h>

#include <chrono>
#include <string>

using namespace Oleander;
using namespace Oleander::Jobs;

namespace {

constexpr std::uint32_t MinionMilliCores = 16'000;
constexpr std::uint32_t TaskMilliCores = 3'900;
constexpr std::uint32_t TasksPerMinion = 4;
constexpr std::uint32_t TasksPerJob = 14;
constexpr std::int64_t NowMs = 1'000'000;
constexpr int Plans = 20;

JobSubmission longRunningJob(const std::string &id)
{
    StepSpec step;
    step.count = TasksPerJob;
    step.milliCores = TaskMilliCores;
    step.memoryMiB = 1;
    step.longRunning = true;
    return {id, {}, {step}};
}

MachineReport reportOf(const MinionLife &life)
{
    MachineReport report;
    report.sequence = 1;
    report.hasMinion = true;
    report.minion.life = life;
    report.minion.service = "desk";
    report.minion.milliCores = MinionMilliCores;
    report.minion.memoryMiB = 1'000;
    report.minionClockMs = 1'000;
    report.hasRunList = true;
    return report;
}

/**
 * Returns the mean milliseconds of one plan for \a minions that are full of long-running tasks,
 * with a tenth as many further jobs waiting.
 */
double planMilliseconds(unsigned minions)
{
    JobBook book;
    QueueSpec queue;
    queue.name = "archive";
    queue.service = "desk";
    book.apply(Configure{{1, "document", {queue}}});
    const unsigned jobs = minions * TasksPerMinion / TasksPerJob;
    JobBatch batch;
    for (unsigned i = 0; i < jobs + jobs / 10; ++i)
        batch.submissions.push_back({"archive", longRunningJob(fmt::format("job-{:05}", i))});
    for (unsigned i = 0; i < jobs * TasksPerJob; ++i) {
        const TaskRef task{fmt::format("job-{:05}", i / TasksPerJob), 0, i % TasksPerJob};
        batch.starts.push_back({task, 1, {fmt::format("minion-{:05}", i / TasksPerMinion), 1}});
    }
    book.apply(batch);
    MachineTable machines{LeaseOptions{}};
    TimePoint now = TimePoint{} + std::chrono::seconds(10);
    for (unsigned i = 0; i < minions; ++i) {
        const MinionLife life{fmt::format("minion-{:05}", i), 1};
        machines.report(now, fmt::format("agent-{:05}", i), reportOf(life), book);
        machines.renewLease(now, *machines.find(life));
    }
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < Plans; ++i) {
        ReservationPlanner planner(book, machines);
        planner.update(now, NowMs);
    }
    const std::chrono::duration<double, std::milli> elapsed =
        std::chrono::steady_clock::now() - begin;
    return elapsed.count() / Plans;
}

} // namespace

int main()
{
    for (const unsigned minions : {70U, 280U, 700U})
        fmt::print(stderr, "plan for {} minions: {:.2f} ms\n", minions, planMilliseconds(minions));
    return 0;
}
