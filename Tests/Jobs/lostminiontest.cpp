#include "jobfixture.h"

#include <map>
#include <string>

using namespace Oleander;
using namespace Oleander::Testing;

namespace {

const TaskRef First{"j", 0, 0};

StepSpec longRunningStep()
{
    StepSpec spec = step(1);
    spec.longRunning = true;
    return spec;
}

/** Reports a minion and grants it a lease. */
void registerMinion(SchedulerFixture &fixture, const std::string &agent, const MinionLife &life)
{
    fixture.report(agent, reportOf(life, 1'000));
    REQUIRE(fixture.directive(agent).holdUntilMs > 0);
}

/** Places the only task of "j" on LifeA, which then stays silent until its lease has expired. */
void cutOffWithRun(SchedulerFixture &leader)
{
    leader.submit("j", {step(1)});
    registerMinion(leader, "agent-a", LifeA);
    REQUIRE(leader.decide().starts.size() == 1);
    leader.advance(2 * LeaseOptions{}.length);
}

/** Report of LifeA that lists the run of cutOffWithRun() as done. */
MachineReport reportDone()
{
    MachineReport report = reportOf(LifeA, 20'000);
    report.finished.push_back({7, First, 1, RunEndKind::Done, {}});
    return report;
}

} // namespace

TEST_CASE("Runs of a minion that returns with an earlier birth start again once its lease expired")
{
    SchedulerFixture leader;
    const MinionLife earlier{LifeA.name, LifeA.bornMs - 50};
    leader.submit("j", {longRunningStep()});
    SECTION("the leader stays the same")
    {
        registerMinion(leader, "agent-a", LifeA);
        REQUIRE(leader.decide().starts.size() == 1);
    }
    SECTION("the leader is new")
    {
        REQUIRE(leader.start(First, 1, LifeA));
        leader.scheduler.startTerm(leader.clock.now(), 4);
    }
    const Duration pause = 100ms;
    Duration waited{};
    while (!leader.book.activeRuns().contains(earlier) && waited < 20s) {
        leader.advance(pause);
        waited += pause;
        leader.report("agent-a",
                      reportOf(earlier, static_cast<std::uint64_t>(waited.count() / 1000)));
        leader.directive("agent-a");
        leader.decide();
    }
    CHECK(leader.book.activeRuns().contains(earlier));
    CHECK_FALSE(leader.book.activeRuns().contains(LifeA));
    CHECK(leader.state("j") == JobState::Running);
}

TEST_CASE("A long-running task outlives any number of lost minions that no crash was reported of")
{
    SchedulerFixture leader;
    leader.submit("j", {longRunningStep()});
    const LeaseOptions lease;
    for (std::uint64_t life = 1; life <= 8; ++life) {
        const MinionLife minion{"minion-" + std::to_string(life), 100};
        const std::string agent = "agent-" + std::to_string(life);
        leader.scheduler.startTerm(leader.clock.now(), 3 + life);
        leader.advance(lease.length + lease.margin + 300ms);
        leader.decide();
        registerMinion(leader, agent, minion);
        REQUIRE(leader.decide().starts.size() == 1);
    }
    CHECK(leader.state("j") == JobState::Running);
}

TEST_CASE("A lost run ends although the lease of the leader lapses again and again in one term")
{
    SchedulerFixture leader;
    leader.submit("j", {longRunningStep()});
    REQUIRE(leader.start(First, 1, LifeA));
    // No other leader can have granted a lease within the term.
    const LeaseOptions lease;
    for (int lapse = 0; lapse < 5; ++lapse) {
        leader.scheduler.startTerm(leader.clock.now(), SchedulerFixture::FirstTerm);
        leader.advance(lease.length);
        leader.decide();
    }
    CHECK_FALSE(leader.book.activeRuns().contains(LifeA));
}

TEST_CASE("A minion whose lease has expired receives no task although its agent goes on reporting")
{
    SchedulerFixture leader;
    registerMinion(leader, "agent-a", LifeA);
    const LeaseOptions lease;
    for (Duration waited{}; waited < 2 * lease.length; waited += 500ms) {
        leader.advance(500ms);
        // An agent repeats the last clock of an instance that another one has replaced unnoticed.
        leader.report("agent-a", reportOf(LifeA, 1'000));
        leader.directive("agent-a");
    }
    leader.submit("j", {longRunningStep()});
    CHECK(leader.decide().starts.empty());
}

TEST_CASE(
    "A run under a lease that its leader granted before a lapse is not lost before that lease ends")
{
    SchedulerFixture leader;
    leader.submit("j", {longRunningStep()});
    const LeaseOptions lease;
    leader.advance(2 * lease.length);
    leader.decide();
    registerMinion(leader, "agent-a", LifeA);
    REQUIRE(leader.decide().starts.size() == 1);
    for (int lapse = 0; lapse < 2; ++lapse) {
        leader.advance(lease.length / 2 - 100ms);
        leader.scheduler.startTerm(leader.clock.now(), SchedulerFixture::FirstTerm);
        leader.decide();
        CHECK(leader.book.activeRuns().contains(LifeA));
    }
    leader.advance(lease.length);
    leader.decide();
    CHECK_FALSE(leader.book.activeRuns().contains(LifeA));
}

TEST_CASE(
    "Work that a minion finished while it was cut off for longer than its lease is not repeated")
{
    SchedulerFixture leader;
    cutOffWithRun(leader);
    REQUIRE(leader.decide().ends.size() == 1);
    REQUIRE(leader.book.activeRuns().empty());
    const bool hasNextRun = GENERATE(false, true);
    if (hasNextRun) {
        registerMinion(leader, "agent-b", LifeB);
        REQUIRE(leader.decide().starts.size() == 1);
    }
    leader.report("agent-a", reportDone());
    CHECK(leader.decide().ends.size() == 1);
    CHECK(leader.state("j") == JobState::Completed);
    CHECK(leader.scheduler.takeIgnoredEnds().empty());
    std::map<std::string, MachineDirective> directives;
    for (AddressedDirective &addressed :
         leader.scheduler.takeDirectives(leader.clock.now(), leader.nowMs))
        directives[addressed.agent] = addressed.directive;
    CHECK(directives["agent-a"].acknowledgedEnd == 7);
    CHECK(directives["agent-b"].stops.size() == (hasNextRun ? 1 : 0));
    // The agent repeats the end until its acknowledgement arrives.
    leader.report("agent-a", reportDone());
    CHECK(leader.decide().empty());
}

TEST_CASE(
    "The end of a finished run is applied although it is reported while its loss is committed")
{
    SchedulerFixture leader;
    cutOffWithRun(leader);
    const auto lost = leader.scheduler.takeEnds(leader.clock.now(), leader.nowMs);
    REQUIRE(lost.batch.ends.size() == 1);
    leader.report("agent-a", reportDone());
    const auto done = leader.scheduler.takeEnds(leader.clock.now(), leader.nowMs);
    leader.apply(lost.batch);
    leader.apply(done.batch);
    CHECK(leader.state("j") == JobState::Completed);
}

TEST_CASE("Work that a minion had finished before it crashed is not repeated")
{
    SchedulerFixture leader;
    leader.submit("j", {step(2)});
    registerMinion(leader, "agent-a", LifeA);
    REQUIRE(leader.decide().starts.size() == 2);
    const bool isLeaseExpired = GENERATE(false, true);
    if (isLeaseExpired) {
        leader.advance(2 * LeaseOptions{}.length);
        REQUIRE(leader.decide().ends.size() == 2);
    }
    MachineReport crashed;
    crashed.sequence = 9;
    crashed.ended.push_back(LifeA);
    crashed.lastEnds.push_back({LifeA, {{7, First, 1, RunEndKind::Done, {}}}});
    leader.report("agent-a", crashed);
    leader.decide();
    const Job &job = *leader.book.find("j");
    CHECK(job.doneCounts.at(0) == 1);
    CHECK(job.tasks.at(0).at(0).done);
    CHECK(leader.book.activeRuns().empty());
    CHECK(leader.directive("agent-a").acknowledgedReport == crashed.sequence);
    leader.report("agent-a", crashed);
    CHECK(leader.decide().empty());
}

TEST_CASE("The repeated end of a long-running run is not taken for finished work that is ignored")
{
    SchedulerFixture leader;
    leader.submit("j", {longRunningStep()});
    registerMinion(leader, "agent-a", LifeA);
    REQUIRE(leader.decide().starts.size() == 1);
    MachineReport report = reportOf(LifeA, 2'000);
    report.finished.push_back({7, First, 1, RunEndKind::Done, {}});
    for (int repeats = 0; repeats < 2; ++repeats) {
        leader.report("agent-a", report);
        leader.decide();
        CHECK(leader.scheduler.takeIgnoredEnds().empty());
    }
}
