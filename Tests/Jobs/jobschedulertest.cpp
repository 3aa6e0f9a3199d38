#include "jobfixture.h"
#include "Jobs/servicelevel.h"

#include <algorithm>

using namespace Oleander;
using namespace Oleander::Testing;

namespace {

const TaskRef First{"j", 0, 0};

RunStatus runningRow(const TaskRef &task, std::uint32_t run)
{
    RunStatus status;
    status.task = task;
    status.run = run;
    status.hasStartOrder = true;
    return status;
}

RunEnd endRow(std::uint64_t number, const TaskRef &task, std::uint32_t run, RunEndKind kind)
{
    return {number, task, run, kind, {}};
}

/** Reports a machine and grants it a lease. */
void registerMinion(SchedulerFixture &fixture, const std::string &agent, const MinionLife &life,
                    std::uint32_t milliCores = 8'000)
{
    fixture.report(agent, reportOf(life, 1'000, milliCores));
    REQUIRE(fixture.directive(agent).holdUntilMs > 0);
}

} // namespace

TEST_CASE("A run is ordered only after its start has been committed")
{
    SchedulerFixture leader;
    registerMinion(leader, "agent-a", LifeA);
    leader.submit("j", {step(1)});
    const JobBatch batch = leader.scheduler.takeStarts(leader.clock.now(), leader.nowMs);
    REQUIRE(batch.starts.size() == 1);
    CHECK(leader.directive("agent-a").starts.empty());
    leader.apply(batch);
    leader.scheduler.startsResolved();
    const MachineDirective directive = leader.directive("agent-a");
    REQUIRE(directive.starts.size() == 1);
    CHECK(directive.term == 3);
    CHECK(directive.starts.at(0).spec == "spec of j");
    CHECK(directive.starts.at(0).run == 1);
}

TEST_CASE("Tasks start although every report brings more ends")
{
    // A service with many minions has an end to commit at any time; starts must not wait for the
    // commit of ends.
    SchedulerFixture leader;
    registerMinion(leader, "agent-a", LifeA);
    leader.submit("j", {step(4)});
    REQUIRE(leader.decide().starts.size() == 4);
    leader.submit("k", {step(4)});
    MachineReport report = reportOf(LifeA, 1'200);
    report.finished = {endRow(1, First, 1, RunEndKind::Done)};
    leader.report("agent-a", report);
    const auto ends = leader.scheduler.takeEnds(leader.clock.now(), leader.nowMs);
    CHECK(ends.batch.ends.size() == 1);
    CHECK(leader.scheduler.takeStarts(leader.clock.now(), leader.nowMs).starts.size() == 4);
    CHECK(leader.scheduler.takeStarts(leader.clock.now(), leader.nowMs).empty());
}

TEST_CASE("A job is pending until a minion has started one of its tasks")
{
    // An order may stay without an answer for seconds.
    SchedulerFixture leader;
    registerMinion(leader, "agent-a", LifeA);
    leader.submit("j", {step(2)});
    CHECK(leader.scheduler.pendingJobs("press") == 1);
    CHECK(leader.scheduler.pendingJobs("other") == 0);
    REQUIRE(leader.decide().starts.size() == 2);
    MachineReport report = reportOf(LifeA, 1'100);
    report.undelivered = {endRow(0, First, 1, RunEndKind::Lost)};
    leader.report("agent-a", report);
    CHECK(leader.scheduler.pendingJobs("press") == 1);
    const bool isRunning = GENERATE(true, false);
    if (isRunning)
        report.running = {runningRow(First, 1)};
    else
        report.finished = {endRow(1, First, 1, RunEndKind::Done)};
    report.undelivered.clear();
    leader.report("agent-a", report);
    CHECK(leader.scheduler.pendingJobs("press") == 0);
    // The end of the only run that has started does not make the job pending again.
    report.running.clear();
    report.finished = {endRow(1, First, 1, RunEndKind::Failed)};
    leader.report("agent-a", report);
    REQUIRE(leader.decide().ends.size() == (isRunning ? 1 : 2));
    CHECK(leader.scheduler.pendingJobs("press") == 0);
}

TEST_CASE("Only the undelivered starts of runs that are to start are renewed")
{
    SchedulerFixture leader;
    registerMinion(leader, "agent-a", LifeA);
    leader.submit("j", {step(1)});
    leader.submit("k", {step(1)});
    REQUIRE(leader.decide().starts.size() == 2);
    const TaskRef first{"j", 0, 0};
    const TaskRef second{"k", 0, 0};
    leader.advance(1s);
    leader.cancel("k");
    MachineReport report = reportOf(LifeA, 2'200);
    report.stamp = 77;
    report.undelivered = {endRow(0, first, 1, RunEndKind::Lost),
                          endRow(0, second, 1, RunEndKind::Lost)};
    leader.report("agent-a", report);
    const MachineDirective directive = leader.directive("agent-a");
    CHECK(directive.reportStamp == 77);
    REQUIRE(directive.renewals.size() == 1);
    CHECK(directive.renewals.front().task == first);
    REQUIRE(directive.stops.size() == 1);
    CHECK(directive.stops.front().task == second);
}

TEST_CASE("The undelivered start of a run that is no longer active is ordered to stop")
{
    // Without the order, the agent would deliver it until the lease ends.
    SchedulerFixture leader;
    registerMinion(leader, "agent-a", LifeA);
    leader.submit("j", {step(1)});
    REQUIRE(leader.decide().starts.size() == 1);
    const TaskRef task{"j", 0, 0};
    leader.end(task, 1, LifeA, RunEndKind::Lost);
    leader.cancel("j");
    MachineReport report = reportOf(LifeA, 1'200);
    report.undelivered = {endRow(0, task, 1, RunEndKind::Lost)};
    leader.report("agent-a", report);
    const MachineDirective directive = leader.directive("agent-a");
    REQUIRE(directive.stops.size() == 1);
    CHECK(directive.stops.front().task == task);
    CHECK(directive.starts.empty());
}

TEST_CASE("The stop of a run does not wait until its start may be ordered again")
{
    SchedulerFixture leader;
    registerMinion(leader, "agent-a", LifeA);
    leader.submit("j", {step(1)});
    REQUIRE(leader.decide().starts.size() == 1);
    REQUIRE(leader.directive("agent-a").starts.size() == 1);
    leader.cancel("j");
    leader.advance(10ms);
    CHECK(leader.directive("agent-a").stops.size() == 1);
    leader.advance(10ms);
    CHECK(leader.directive("agent-a").stops.empty());
}

TEST_CASE("A minion without a lease receives no task")
{
    SchedulerFixture leader;
    leader.submit("j", {step(1)});
    leader.report("agent-a", reportOf(LifeA, 1'000));
    CHECK(leader.decide().starts.empty());
    REQUIRE(leader.directive("agent-a").holdUntilMs == 6'000);
    CHECK(leader.decide().starts.size() == 1);
}

TEST_CASE("Runs that are being stopped still count towards the capacity of their minion")
{
    SchedulerFixture leader;
    registerMinion(leader, "agent-a", LifeA, 4'000);
    leader.submit("j", {step(10)});
    CHECK(leader.decide().starts.size() == 4);
    leader.cancel("j");
    leader.submit("k", {step(3)});
    // The minion still lists all four runs, so nothing is free.
    MachineReport report = reportOf(LifeA, 1'100, 4'000);
    for (std::uint32_t i = 0; i < 4; ++i)
        report.running.push_back(runningRow({"j", 0, i}, 1));
    leader.report("agent-a", report);
    CHECK(leader.decide().starts.empty());
    CHECK(leader.directive("agent-a").stops.size() == 4);
    report.running.resize(2);
    report.finished = {endRow(1, {"j", 0, 2}, 1, RunEndKind::Stopped),
                       endRow(2, {"j", 0, 3}, 1, RunEndKind::Stopped)};
    leader.report("agent-a", report);
    CHECK(leader.decide().ends.size() == 2);
    CHECK(leader.decide().starts.size() == 2);
}

TEST_CASE("Memory and accelerators limit the tasks on a minion like processor time")
{
    SchedulerFixture leader;
    registerMinion(leader, "agent-a", LifeA);
    StepSpec wide = step(10, 100);
    wide.memoryMiB = 3'000;
    leader.submit("j", {wide});
    CHECK(leader.decide().starts.size() == 2);
    StepSpec accelerated = step(1, 100);
    accelerated.accelerators = 1;
    leader.submit("k", {accelerated});
    CHECK(leader.decide().starts.empty());
}

TEST_CASE("Filling tasks claim memory but no processor time")
{
    SchedulerFixture leader;
    registerMinion(leader, "agent-a", LifeA, 4'000);
    StepSpec filling = step(1, 4'000);
    filling.filling = true;
    leader.submit("f", {filling});
    CHECK(leader.decide().starts.size() == 1);
    leader.submit("j", {step(5)});
    CHECK(leader.decide().starts.size() == 4);
}

TEST_CASE("An end is acknowledged only after it has been committed")
{
    SchedulerFixture leader;
    registerMinion(leader, "agent-a", LifeA);
    leader.submit("j", {step(1)});
    leader.decide();
    leader.directive("agent-a");
    MachineReport report = reportOf(LifeA, 1'200);
    report.finished = {endRow(7, First, 1, RunEndKind::Done)};
    leader.report("agent-a", report);
    const auto taken = leader.scheduler.takeEnds(leader.clock.now(), leader.nowMs);
    REQUIRE(taken.batch.ends.size() == 1);
    CHECK(leader.directive("agent-a").acknowledgedEnd == 0);
    SECTION("committed")
    {
        leader.apply(taken.batch);
        leader.scheduler.endsCommitted(taken.acknowledgements);
        CHECK(leader.directive("agent-a").acknowledgedEnd == 7);
        CHECK(leader.state("j") == JobState::Completed);
    }
    SECTION("not committed")
    {
        leader.advance(1s);
        leader.report("agent-a", reportOf(LifeA, 2'200));
        CHECK(leader.directive("agent-a").acknowledgedEnd == 0);
    }
}

TEST_CASE("An end that is reported again before its commit is counted once")
{
    SchedulerFixture leader;
    registerMinion(leader, "agent-a", LifeA);
    leader.submit("j", {step(2)});
    REQUIRE(leader.decide().starts.size() == 2);
    MachineReport report = reportOf(LifeA, 1'200);
    report.finished = {endRow(1, First, 1, RunEndKind::Done)};
    leader.report("agent-a", report);
    leader.report("agent-a", report);
    const auto first = leader.scheduler.takeEnds(leader.clock.now(), leader.nowMs);
    REQUIRE(first.firstEnds.size() == 1);
    CHECK(first.firstEnds.at(0).end.task == First);
    report.sequence += 1;
    leader.report("agent-a", report);
    const auto second = leader.scheduler.takeEnds(leader.clock.now(), leader.nowMs);
    CHECK(second.batch.ends.size() == 1);
    CHECK(second.firstEnds.empty());
    // The acknowledgement waits for the commit although the end is known.
    CHECK(leader.directive("agent-a").acknowledgedEnd == 0);
    leader.report("agent-a", report);
    SECTION("committed")
    {
        leader.apply(first.batch);
        leader.scheduler.endsCommitted(first.acknowledgements);
        leader.advance(1s);
        const auto later = leader.scheduler.takeEnds(leader.clock.now(), leader.nowMs);
        CHECK(later.batch.ends.empty());
        CHECK(later.firstEnds.empty());
        CHECK(leader.directive("agent-a").acknowledgedEnd == 1);
    }
    SECTION("not committed")
    {
        leader.scheduler.endsFailed(first.batch.ends);
        leader.advance(1s);
        const auto later = leader.scheduler.takeEnds(leader.clock.now(), leader.nowMs);
        CHECK(!later.batch.ends.empty());
        CHECK(later.firstEnds.empty());
    }
}

TEST_CASE("Tasks of a silent minion start elsewhere only after its lease has certainly expired")
{
    SchedulerFixture leader;
    registerMinion(leader, "agent-a", LifeA);
    leader.submit("j", {step(1)});
    REQUIRE(leader.decide().starts.size() == 1);
    const Duration step = 100ms;
    Duration waited{};
    bool moved = false;
    while (!moved && waited < 20s) {
        leader.advance(step);
        waited += step;
        leader.report("agent-b",
                      reportOf(LifeB, 1'000 + static_cast<std::uint64_t>(waited.count() / 1000)));
        leader.directive("agent-b");
        moved = !leader.decide().starts.empty();
    }
    REQUIRE(moved);
    // The minion's clock may be 2 % slow.
    CHECK(waited > LeaseOptions{}.length * 102 / 100);
    CHECK(leader.book.activeRuns().contains(LifeB));
}

TEST_CASE("A new leader waits for the leases of its predecessor to expire")
{
    SchedulerFixture leader;
    leader.submit("j", {step(1)});
    REQUIRE(leader.start(First, 1, LifeA));
    leader.scheduler.startTerm(leader.clock.now(), 4);
    leader.advance(LeaseOptions{}.length);
    leader.report("agent-b", reportOf(LifeB, 1'000));
    leader.directive("agent-b");
    CHECK(leader.decide().empty());
    leader.advance(1s);
    CHECK(leader.decide().ends.size() == 1);
}

TEST_CASE("A new leader repeats the start orders that its predecessor committed")
{
    SchedulerFixture leader;
    leader.submit("j", {step(2)});
    REQUIRE(leader.start(First, 1, LifeA));
    REQUIRE(leader.start({"j", 0, 1}, 1, LifeA));
    leader.scheduler.startTerm(leader.clock.now(), 4);
    MachineReport report = reportOf(LifeA, 1'000);
    report.running = {runningRow(First, 1)};
    leader.report("agent-a", report);
    const MachineDirective directive = leader.directive("agent-a");
    REQUIRE(directive.starts.size() == 1);
    CHECK(directive.starts.at(0).task == TaskRef{"j", 0, 1});
    CHECK(directive.term == 4);
}

TEST_CASE("Only the first order that any leader sends for a run is marked as the first")
{
    // Without the mark an agent assumes that an earlier process of it may have sent the start.
    SchedulerFixture leader;
    registerMinion(leader, "agent-a", LifeA);
    leader.submit("j", {step(1)});
    REQUIRE(leader.decide().starts.size() == 1);
    const auto sendOrder = [&](std::uint64_t clockMs) {
        leader.report("agent-a", reportOf(LifeA, clockMs));
        const MachineDirective directive = leader.directive("agent-a");
        REQUIRE(directive.starts.size() == 1);
        return directive.starts.front().isFirstOrder;
    };
    CHECK(sendOrder(1'100));
    leader.advance(500ms);
    CHECK_FALSE(sendOrder(1'600));
    // The record of the latest order is dropped after some seconds.
    constexpr int Steps = 30;
    for (int i = 0; i < Steps; ++i) {
        leader.advance(500ms);
        MachineReport report = reportOf(LifeA, 2'000 + 500 * static_cast<std::uint64_t>(i));
        report.running.push_back(runningRow(First, 1));
        leader.report("agent-a", report);
        leader.decide();
        leader.directive("agent-a");
    }
    CHECK_FALSE(sendOrder(20'000));
    leader.scheduler.startTerm(leader.clock.now(), SchedulerFixture::FirstTerm + 1);
    CHECK_FALSE(sendOrder(20'100));
}

TEST_CASE("A run whose end the minion may not have listed yet is not ordered again")
{
    SchedulerFixture leader;
    registerMinion(leader, "agent-a", LifeA);
    leader.submit("j", {step(1)});
    REQUIRE(leader.decide().starts.size() == 1);
    MachineReport report = reportOf(LifeA, 1'100);
    report.hasMoreEnds = true;
    // No order has reached the minion, so the run cannot have ended there.
    leader.report("agent-a", report);
    CHECK(leader.directive("agent-a").starts.size() == 1);
    const bool isNewTerm = GENERATE(false, true);
    if (isNewTerm)
        leader.scheduler.startTerm(leader.clock.now(), SchedulerFixture::FirstTerm + 1);
    leader.advance(500ms);
    leader.report("agent-a", report);
    CHECK(leader.directive("agent-a").starts.empty());
    report.hasMoreEnds = false;
    leader.report("agent-a", report);
    CHECK(leader.directive("agent-a").starts.size() == 1);
}

TEST_CASE("A run whose end the minion may not have listed yet is stopped with its job")
{
    SchedulerFixture leader;
    registerMinion(leader, "agent-a", LifeA);
    leader.submit("j", {step(1)});
    REQUIRE(leader.decide().starts.size() == 1);
    // A run that was never ordered cannot have ended.
    REQUIRE(leader.directive("agent-a").starts.size() == 1);
    leader.cancel("j");
    MachineReport report = reportOf(LifeA, 1'100);
    report.hasMoreEnds = true;
    leader.report("agent-a", report);
    CHECK(leader.directive("agent-a").stops.size() == 1);
}

TEST_CASE("A run that is not active in the book is stopped")
{
    SchedulerFixture leader;
    leader.submit("j", {step(1)});
    MachineReport report = reportOf(LifeA, 1'000);
    report.running = {runningRow(First, 1)};
    leader.report("agent-a", report);
    const MachineDirective directive = leader.directive("agent-a");
    REQUIRE(directive.stops.size() == 1);
    CHECK(directive.stops.at(0).task == First);
}

TEST_CASE("A restarted minion has lost the runs of its earlier life")
{
    SchedulerFixture leader;
    registerMinion(leader, "agent-a", LifeA);
    leader.submit("j", {step(1)});
    REQUIRE(leader.decide().starts.size() == 1);
    const MinionLife again{LifeA.name, LifeA.bornMs + 500};
    leader.report("agent-a", reportOf(again, 10));
    leader.directive("agent-a");
    CHECK(leader.decide().ends.size() == 1);
    const JobBatch batch = leader.decide();
    REQUIRE(batch.starts.size() == 1);
    CHECK(batch.starts.at(0).run == 2);
    CHECK(batch.starts.at(0).minion == again);
}

TEST_CASE("A draining minion receives no task, and long-running tasks leave it at once")
{
    SchedulerFixture leader;
    registerMinion(leader, "agent-a", LifeA);
    StepSpec longRunningStep = step(1);
    longRunningStep.longRunning = true;
    leader.submit("l", {longRunningStep});
    leader.submit("j", {step(1)});
    REQUIRE(leader.decide().starts.size() == 2);
    leader.submit("k", {step(1)});
    MachineReport report = reportOf(LifeA, 1'200);
    report.minion.draining = true;
    report.running = {runningRow({"l", 0, 0}, 1), runningRow(First, 1)};
    leader.report("agent-a", report);
    CHECK(leader.decide().starts.empty());
    const MachineDirective directive = leader.directive("agent-a");
    REQUIRE(directive.stops.size() == 1);
    CHECK(directive.stops.at(0).task.job == "l");
}

TEST_CASE("A refused start frees its resources and the task gets a new run")
{
    SchedulerFixture leader;
    registerMinion(leader, "agent-a", LifeA);
    leader.submit("j", {step(1)});
    leader.decide();
    MachineReport report = reportOf(LifeA, 1'300);
    report.refused = {endRow(0, First, 1, RunEndKind::Refused)};
    leader.report("agent-a", report);
    CHECK(leader.decide().ends.size() == 1);
    const JobBatch batch = leader.decide();
    REQUIRE(batch.starts.size() == 1);
    CHECK(batch.starts.at(0).run == 2);
    CHECK(leader.directive("agent-a").acknowledgedReport == report.sequence);
}

TEST_CASE("A minion that fails several jobs receives no task for some seconds")
{
    SchedulerFixture leader;
    registerMinion(leader, "agent-a", LifeA);
    for (const char *id : {"j", "k", "l", "m"})
        leader.submit(id, {step(2)});
    REQUIRE(leader.decide().starts.size() == 8);
    MachineReport report = reportOf(LifeA, 1'200);
    for (const char *id : {"j", "k", "l"})
        report.finished.push_back(
            endRow(report.finished.size() + 1, {id, 0, 0}, 1, RunEndKind::Failed));
    leader.report("agent-a", report);
    leader.decide();
    CHECK(leader.decide().starts.empty());
    leader.advance(4s);
    leader.report("agent-a", reportOf(LifeA, 5'200));
    leader.directive("agent-a");
    CHECK_FALSE(leader.decide().starts.empty());
}

TEST_CASE("Checkpointing tasks leave a slow minion, and no new task is placed there")
{
    SchedulerFixture leader;
    registerMinion(leader, "agent-a", LifeA, 20'000);
    StepSpec serving = step(1, 6'000);
    serving.longRunning = true;
    serving.targetLatencyMs = 100;
    serving.image = "web";
    StepSpec filling = step(1, 2'000);
    filling.filling = true;
    filling.checkpointing = true;
    leader.submit("s", {serving});
    leader.submit("f", {filling});
    REQUIRE(leader.decide().starts.size() == 2);
    leader.directive("agent-a");
    std::vector<StopOrder> stops;
    for (std::uint64_t clockMs = 1'400; clockMs < 4'000; clockMs += 400) {
        leader.advance(400ms);
        MachineReport report = reportOf(LifeA, clockMs, 20'000);
        report.running = {runningRow({"s", 0, 0}, 1), runningRow({"f", 0, 0}, 1)};
        report.running[0].latencyOrMilliCores = 900;
        leader.report("agent-a", report);
        for (const StopOrder &order : leader.directive("agent-a").stops)
            stops.push_back(order);
    }
    REQUIRE_FALSE(stops.empty());
    CHECK(stops.at(0).task.job == "f");
    leader.submit("j", {step(1)});
    CHECK(leader.decide().starts.empty());
}

TEST_CASE("A minion is not considered slow right after its filling tasks stopped")
{
    // The tail latency of a service takes about a second to fall after the filling tasks stop.
    SchedulerFixture leader;
    registerMinion(leader, "agent-a", LifeA, 20'000);
    StepSpec serving = step(1, 6'000);
    serving.longRunning = true;
    serving.targetLatencyMs = 100;
    serving.image = "web";
    StepSpec filling = step(1, 4'000);
    filling.filling = true;
    leader.submit("s", {serving});
    leader.submit("f", {filling});
    REQUIRE(leader.decide().starts.size() == 2);
    std::uint64_t clockMs = 1'000;
    std::string job = "j";
    for (const auto &[tailMs, usedMilliCores] :
         {std::pair{900U, 4'000U}, {900U, 0U}, {400U, 0U}, {50U, 0U}}) {
        leader.advance(500ms);
        clockMs += 500;
        MachineReport report = reportOf(LifeA, clockMs, 20'000);
        report.running = {runningRow({"s", 0, 0}, 1), runningRow({"f", 0, 0}, 1)};
        report.running[0].latencyOrMilliCores = tailMs;
        report.running[1].latencyOrMilliCores = usedMilliCores;
        leader.report("agent-a", report);
        leader.directive("agent-a");
        leader.submit(job, {step(1)});
        CHECK(leader.decide().starts.size() == 1);
        job += "j";
    }
}

TEST_CASE("No sequence of reports exceeds the capacity of a minion or runs a task twice at once")
{
    // A linear congruential generator makes the sequence the same on every platform.
    std::uint64_t state = GENERATE(range<std::uint64_t>(1, 21));
    const auto pick = [&](std::uint64_t bound) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        return (state >> 33U) % bound;
    };
    SchedulerFixture leader;
    std::map<MinionLife, std::map<RunKey, bool>> atWork;
    std::map<MinionLife, std::vector<RunEnd>> ended;
    std::map<MinionLife, std::uint64_t> numbers;
    std::vector<MinionLife> lives = {LifeA, LifeB, {"minion-c", 100}};
    std::uint64_t clockMs = 1'000;
    for (int round = 0; round < 200; ++round) {
        leader.advance(50ms);
        clockMs += 50;
        if (pick(4) == 0) {
            leader.submit("job" + std::to_string(round),
                          {step(static_cast<std::uint32_t>(1 + pick(6)),
                                static_cast<std::uint32_t>(500 + pick(3'000))),
                           step(2, 700, {0})});
        }
        if (pick(12) == 0 && !leader.book.openJobs().empty())
            leader.cancel(*leader.book.openJobs().begin());
        for (MinionLife &life : lives) {
            const std::string agent = "agent of " + life.name;
            if (pick(40) == 0) {
                atWork.erase(life);
                ended.erase(life);
                life.bornMs += 1;
            }
            auto &runs = atWork[life];
            for (auto it = runs.begin(); it != runs.end();) {
                if (pick(10) != 0) {
                    ++it;
                    continue;
                }
                const auto kind = pick(5) == 0 ? RunEndKind::Failed : RunEndKind::Done;
                ended[life].push_back(
                    endRow(++numbers[life], it->first.first, it->first.second, kind));
                it = runs.erase(it);
            }
            if (pick(3) == 0)
                continue;
            MachineReport report = reportOf(life, clockMs);
            for (const auto &[key, unused] : runs)
                report.running.push_back(runningRow(key.first, key.second));
            report.finished = ended[life];
            leader.report(agent, report);
        }
        leader.decide();
        leader.decide();
        for (const AddressedDirective &addressed :
             leader.scheduler.takeDirectives(leader.clock.now(), leader.nowMs)) {
            const MachineDirective &directive = addressed.directive;
            if (!atWork.contains(directive.life) || pick(5) == 0)
                continue;
            std::erase_if(ended[directive.life], [&](const RunEnd &end) {
                return end.number <= directive.acknowledgedEnd;
            });
            for (const StopOrder &order : directive.stops) {
                if (atWork[directive.life].erase({order.task, order.run}) > 0)
                    ended[directive.life].push_back(endRow(++numbers[directive.life], order.task,
                                                           order.run, RunEndKind::Stopped));
            }
            for (const StartOrder &order : directive.starts)
                atWork[directive.life][{order.task, order.run}] = true;
        }
        std::map<TaskRef, int> copies;
        for (const auto &[life, runs] : atWork) {
            std::uint64_t used = 0;
            for (const auto &[key, unused] : runs) {
                const Job *job = leader.book.find(key.first.job);
                REQUIRE(job != nullptr);
                used += job->steps.at(key.first.step).milliCores;
                REQUIRE(++copies[key.first] == 1);
            }
            REQUIRE(used <= 8'000);
        }
    }
}

TEST_CASE("A run with an expired lease is not ordered while its end is being committed")
{
    // The agent loses its connection when the start is committed and reports again as the lease
    // expires. Ordering the run then would start it although its end is about to be committed.
    SchedulerFixture leader;
    registerMinion(leader, "agent-a", LifeA);
    leader.submit("j", {step(1)});
    REQUIRE(leader.decide().starts.size() == 1);
    REQUIRE(leader.directive("agent-a").starts.size() == 1);
    leader.advance(6s);
    leader.report("agent-a", reportOf(LifeA, 7'000));
    const auto ends = leader.scheduler.takeEnds(leader.clock.now(), leader.nowMs);
    REQUIRE(ends.batch.ends.size() == 1);
    REQUIRE(ends.batch.ends.at(0).end.kind == RunEndKind::Lost);
    const MachineDirective directive = leader.directive("agent-a");
    CHECK(directive.holdUntilMs == 12'000);
    CHECK(directive.starts.empty());
    leader.scheduler.endsFailed(ends.batch.ends);
    CHECK(leader.decide().ends.size() == 1);
    CHECK(leader.book.activeRuns().empty());
}

TEST_CASE("A listed run with a step that its job does not have is stopped without other effects")
{
    SchedulerFixture leader;
    registerMinion(leader, "agent-a", LifeA);
    StepSpec longRunningStep = step(1);
    longRunningStep.longRunning = true;
    longRunningStep.targetLatencyMs = 10;
    leader.submit("j", {longRunningStep});
    REQUIRE(leader.decide().starts.size() == 1);
    const TaskRef malformed{"j", 4'000'000'000, 0};
    std::size_t stops = 0;
    for (std::uint64_t clockMs = 1'500; clockMs <= 4'000; clockMs += 500) {
        leader.advance(500ms);
        MachineReport report = reportOf(LifeA, clockMs);
        RunStatus service = runningRow(First, 1);
        service.percent = 100;
        service.latencyOrMilliCores = 50;
        RunStatus row = runningRow(malformed, 1);
        row.percent = static_cast<std::uint32_t>(clockMs / 50);
        row.latencyOrMilliCores = 1'000;
        report.running = {service, row};
        report.finished = {endRow(1, malformed, 2, RunEndKind::Done)};
        leader.report("agent-a", report);
        leader.decide();
        for (const StopOrder &order : leader.directive("agent-a").stops)
            stops += order.task == malformed ? 1 : 0;
        CHECK(serviceLevels(leader.book, leader.scheduler.machines(), leader.clock.now()).size()
              == 1);
    }
    CHECK(stops > 0);
}
