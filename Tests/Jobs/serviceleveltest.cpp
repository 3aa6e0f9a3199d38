#include "Jobs/servicelevel.h"

#include "jobfixture.h"

using namespace Oleander;
using namespace Oleander::Testing;

namespace {

RunStatus atWork(const TaskRef &task, std::uint32_t latencyMs)
{
    RunStatus status;
    status.task = task;
    status.run = 1;
    status.percent = 100;
    status.latencyOrMilliCores = latencyMs;
    return status;
}

StepSpec serving(std::uint32_t count, std::uint32_t milliCores)
{
    StepSpec spec = step(count, milliCores);
    spec.longRunning = true;
    spec.targetLatencyMs = 20;
    return spec;
}

} // namespace

TEST_CASE("A service level distinguishes waiting tasks from tasks over their latency target")
{
    SchedulerFixture leader;
    leader.report("agent-a", reportOf(LifeA, 1'000, 8'000));
    leader.directive("agent-a");
    leader.submit("s", {serving(3, 3'000)});
    REQUIRE(leader.decide().starts.size() == 2);
    StepSpec filling = step(1, 1'000);
    filling.filling = true;
    leader.submit("f", {filling});
    leader.decide();
    MachineReport report = reportOf(LifeA, 1'500, 8'000);
    report.running = {atWork({"s", 0, 0}, 30), atWork({"s", 0, 1}, 10), atWork({"f", 0, 0}, 900)};
    leader.report("agent-a", report);
    const auto levels = serviceLevels(leader.book, leader.scheduler.machines(), leader.clock.now());
    REQUIRE(levels.size() == 1);
    const ServiceLevel &level = levels.front();
    CHECK(level.job == "s");
    CHECK(level.tasks == 3);
    CHECK(level.atWork == 2);
    CHECK(level.waiting == 1);
    CHECK(level.waitingMilliCores == 3'000);
    CHECK(level.overTarget == 1);
    CHECK(level.overTargetWithFilling == 1);
    CHECK(level.capacity.freeMilliCores == 2'000);
    CHECK(level.capacity.largestFreeMilliCores == 2'000);
    CHECK(level.capacity.minionsUnavailable == 0);
    CHECK_FALSE(level.isMet());
}

TEST_CASE("A long-running task is not at work before its startup has ended")
{
    SchedulerFixture leader;
    leader.report("agent-a", reportOf(LifeA, 1'000, 8'000));
    leader.directive("agent-a");
    leader.submit("s", {serving(1, 3'000)});
    leader.decide();
    const auto level = [&] {
        return serviceLevels(leader.book, leader.scheduler.machines(), leader.clock.now()).at(0);
    };
    CHECK(level().starting == 1);
    MachineReport report = reportOf(LifeA, 1'500, 8'000);
    report.running = {atWork({"s", 0, 0}, 10)};
    report.running[0].percent = 50;
    leader.report("agent-a", report);
    CHECK(level().starting == 1);
    report.running[0].percent = 100;
    leader.report("agent-a", report);
    CHECK(level().isMet());
}
