#include "jobfixture.h"

using namespace Oleander;
using namespace Oleander::Testing;

namespace {

StepSpec filling(std::uint32_t count, std::uint32_t milliCores)
{
    StepSpec spec = step(count, milliCores);
    spec.estimateMs = 10'000;
    spec.filling = true;
    spec.image = "loud";
    spec.checkpointing = true;
    return spec;
}

StepSpec serving(std::uint32_t milliCores)
{
    StepSpec spec = step(1, milliCores);
    spec.longRunning = true;
    spec.targetLatencyMs = 100;
    spec.image = "web";
    return spec;
}

/** Scheduler with a filling run on one minion. */
struct FillingFixture : SchedulerFixture
{
    std::uint64_t clockMs = 1'000;

    void registerMinion(const std::string &agent, const MinionLife &life)
    {
        report(agent, reportOf(life, clockMs));
        directive(agent);
    }
    /** Advances by half a second in which the run reports \a percent and uses \a milliCores;
     * returns the stop orders for its agent. */
    std::vector<StopOrder> pass(std::uint32_t percent, std::uint32_t milliCores, bool otherThere)
    {
        advance(500ms);
        clockMs += 500;
        MachineReport here = reportOf(LifeA, clockMs);
        here.minion.zone = "west";
        here.running = {{{"f", 0, 0}, 1, "", percent, milliCores, true}};
        if (otherThere)
            report("agent-b", reportOf(LifeB, clockMs));
        report("agent-a", here);
        decide();
        return directive("agent-a").stops;
    }
};

} // namespace

TEST_CASE("A stalled filling run moves to another minion once one has capacity for it")
{
    FillingFixture leader;
    leader.registerMinion("agent-a", LifeA);
    leader.submit("f", {filling(1, 4'000)});
    REQUIRE(leader.decide().starts.size() == 1);
    for (std::uint32_t percent : {10U, 30U, 40U})
        CHECK(leader.pass(percent, 4'000, false).empty());
    // No other minion is available.
    for (int i = 0; i < 5; ++i)
        CHECK(leader.pass(40, 0, false).empty());
    leader.registerMinion("agent-b", LifeB);
    std::vector<StopOrder> stops;
    for (int i = 0; i < 3 && stops.empty(); ++i)
        stops = leader.pass(40, 0, true);
    REQUIRE(stops.size() == 1);
    CHECK(stops.at(0).task == TaskRef{"f", 0, 0});
    CHECK(leader.scheduler.takeMoves().size() == 1);
}

// Guards against stalled runs that cannot leave a minion which takes no new tasks.
TEST_CASE("A stalled filling run leaves an evacuated minion")
{
    FillingFixture leader;
    leader.registerMinion("agent-a", LifeA);
    leader.submit("f", {filling(1, 4'000)});
    REQUIRE(leader.decide().starts.size() == 1);
    leader.registerMinion("agent-b", LifeB);
    leader.book.apply(ChangeEvacuation{"west", true, 0, leader.nowMs});
    for (std::uint32_t percent : {10U, 30U, 40U})
        CHECK(leader.pass(percent, 4'000, true).empty());
    std::vector<StopOrder> stops;
    for (int i = 0; i < 4 && stops.empty(); ++i)
        stops = leader.pass(40, 0, true);
    CHECK(stops.size() == 1);
    CHECK(leader.scheduler.takeMoves().size() == 1);
}

TEST_CASE("A filling run is not moved while it makes progress or if a move would lose its work")
{
    const bool saves = GENERATE(true, false);
    FillingFixture leader;
    leader.registerMinion("agent-a", LifeA);
    StepSpec spec = filling(1, 4'000);
    spec.checkpointing = saves;
    leader.submit("f", {spec});
    REQUIRE(leader.decide().starts.size() == 1);
    leader.registerMinion("agent-b", LifeB);
    for (std::uint32_t i = 0; i < 10; ++i)
        CHECK(leader.pass(saves ? 10 + i : 40, saves ? 100 : 0, true).empty());
}

TEST_CASE(
    "Filling tasks are placed by the current latency of the services, not by their average latency")
{
    SchedulerFixture leader;
    leader.scheduler.interference().importLearned({{{"loud", "web", 0.05}}, {{"web", 0.4}}});
    const MinionLife &busy = GENERATE(LifeA, LifeB);
    leader.submit("s", {serving(6'000), serving(6'000)});
    for (const auto &[agent, life] : {std::pair{"agent-a", LifeA}, std::pair{"agent-b", LifeB}}) {
        leader.report(agent, reportOf(life, 1'000));
        leader.directive(agent);
    }
    REQUIRE(leader.decide().starts.size() == 2);
    leader.advance(500ms);
    for (const auto &[agent, life] : {std::pair{"agent-a", LifeA}, std::pair{"agent-b", LifeB}}) {
        MachineReport report = reportOf(life, 1'500);
        for (const RunKey &key : leader.book.activeRuns().at(life)) {
            const std::uint32_t tailMs = life == busy ? 80 : 20;
            report.running.push_back({key.first, key.second, "", 100, tailMs, true});
        }
        leader.report(agent, report);
        leader.directive(agent);
    }
    leader.submit("f", {filling(1, 2'000)});
    const JobBatch batch = leader.decide();
    REQUIRE(batch.starts.size() == 1);
    CHECK(batch.starts.at(0).minion != busy);
}
