#include "jobfixture.h"

using namespace Oleander;
using namespace Oleander::Testing;

namespace {

const TaskRef First{"j", 0, 0};
const MinionLife Restarted{LifeA.name, LifeA.bornMs + 500};

RunStatus runningRow(const TaskRef &task, std::uint32_t run)
{
    RunStatus status;
    status.task = task;
    status.run = run;
    return status;
}

/** Reports a machine and grants it a lease. */
void registerMinion(SchedulerFixture &leader, const std::string &agent, const MachineReport &report)
{
    leader.report(agent, report);
    REQUIRE(leader.directive(agent).holdUntilMs > 0);
}

/** Starts the job "j" on LifeA, which then starts again and carries out the former life's start. */
MachineReport carryOutLateStart(SchedulerFixture &leader)
{
    registerMinion(leader, "agent-a", reportOf(LifeA, 1'000, 4'000));
    leader.submit("j", {step(1, 3'000)});
    REQUIRE(leader.decide().starts.size() == 1);
    MachineReport report = reportOf(Restarted, 10, 4'000);
    report.running = {runningRow(First, 1)};
    leader.report("agent-a", report);
    return report;
}

/** Commits the pending ends, and returns the starts that follow. */
std::vector<RunStart> decideStarts(SchedulerFixture &leader)
{
    JobBatch batch = leader.decide();
    return batch.ends.empty() ? batch.starts : leader.decide().starts;
}

} // namespace

TEST_CASE("A task does not start again while a restarted minion runs the late start of its former "
          "run")
{
    SchedulerFixture leader;
    registerMinion(leader, "agent-b", reportOf(LifeB, 1'000));
    MachineReport report = carryOutLateStart(leader);
    const MachineDirective directive = leader.directive("agent-a");
    REQUIRE(directive.stops.size() == 1);
    CHECK(directive.stops.front().task == First);
    CHECK(decideStarts(leader).empty());
    report.running.clear();
    leader.report("agent-a", report);
    const auto starts = decideStarts(leader);
    REQUIRE(starts.size() == 1);
    CHECK(starts.front().run == 2);
}

TEST_CASE("The late start of a former life counts towards the capacity of the restarted minion")
{
    SchedulerFixture leader;
    MachineReport report = carryOutLateStart(leader);
    leader.cancel("j");
    leader.directive("agent-a");
    leader.submit("k", {step(1, 3'000)});
    CHECK(decideStarts(leader).empty());
    report.running.clear();
    leader.report("agent-a", report);
    CHECK(decideStarts(leader).size() == 1);
}

TEST_CASE("A task whose former run a hung minion listed last starts again once its lease expired")
{
    // An agent repeats the last lists of a minion that does not answer.
    SchedulerFixture leader;
    const MachineReport report = carryOutLateStart(leader);
    leader.directive("agent-a");
    const bool isAgentSilent = GENERATE(true, false);
    const LeaseOptions lease;
    Duration waited{};
    std::vector<RunStart> starts;
    while (starts.empty() && waited < 20s) {
        leader.advance(100ms);
        waited += 100ms;
        if (!isAgentSilent)
            leader.report("agent-a", report);
        leader.report("agent-b", reportOf(LifeB, 1'000 + static_cast<std::uint64_t>(waited / 1ms)));
        leader.directive("agent-b");
        starts = decideStarts(leader);
    }
    REQUIRE(starts.size() == 1);
    CHECK(starts.front().minion == LifeB);
    CHECK(waited > lease.length);
    CHECK(waited < 2 * lease.length);
}

TEST_CASE(
    "A task whose late start ends as done in the next life of its minion does not start again")
{
    // The platform counts that end once it is acknowledged.
    SchedulerFixture leader;
    MachineReport report = carryOutLateStart(leader);
    REQUIRE(leader.decide().ends.size() == 1);
    leader.directive("agent-a");
    report.running.clear();
    report.finished = {{1, First, 1, RunEndKind::Done, {}}};
    leader.report("agent-a", report);
    CHECK(decideStarts(leader).empty());
    CHECK(leader.state("j") == JobState::Completed);
}

TEST_CASE("A finished late start counts although the report that lists it ends the former life")
{
    SchedulerFixture leader;
    leader.submit("j", {step(1)});
    leader.report("agent-a", reportOf(LifeA, 1'000));
    REQUIRE(leader.directive("agent-a").holdUntilMs > 0);
    REQUIRE(leader.decide().starts.size() == 1);
    const MinionLife next{LifeA.name, LifeA.bornMs + 1};
    MachineReport report = reportOf(next, 10);
    report.ended = {LifeA};
    SECTION("the next life lists it")
    {
        report.finished = {{1, First, 1, RunEndKind::Done, {}}};
    }
    SECTION("the next life had listed it before it crashed")
    {
        report = MachineReport{};
        report.sequence = 5;
        report.ended = {LifeA, next};
        report.lastEnds = {{next, {{1, First, 1, RunEndKind::Done, {}}}}};
    }
    leader.report("agent-a", report);
    CHECK(leader.decide().ends.size() == 2);
    CHECK(leader.decide().starts.empty());
    CHECK(leader.state("j") == JobState::Completed);
    CHECK(leader.book.activeRuns().empty());
}

TEST_CASE("A late start that ends as failed in the next life of its minion counts as an attempt")
{
    // The platform counts that end once it is acknowledged.
    SchedulerFixture leader;
    leader.book.apply(Configure{oneQueue(2, 1)});
    MachineReport report = carryOutLateStart(leader);
    REQUIRE(leader.decide().ends.size() == 1);
    leader.directive("agent-a");
    report.running.clear();
    report.finished = {{1, First, 1, RunEndKind::Failed, {}}};
    leader.report("agent-a", report);
    CHECK(decideStarts(leader).empty());
    CHECK(leader.state("j") == JobState::Failed);
}
