#include "scriptedminion.h"
#include "Support/descriptorlimit.h"
#include "Support/resettinglistener.h"

#include <catch2/catch.hpp>

using namespace Oleander;
using Oleander::Testing::DescriptorLimit;
using Oleander::Testing::FirstBirth;
using Oleander::Testing::ResettingListener;
using Oleander::Testing::ScriptedMinion;

namespace {

const MinionLife Foreign{"i-other", FirstBirth + 1'000};

/** Restarts the minion, whose next instance has ended no run, until its agent tracks it. */
void restartWithoutEnds(ScriptedMinion &minion)
{
    minion.ends.clear();
    minion.restart();
    minion.runUntil([&] {
        minion.announce();
        return minion.isTracked();
    });
}

} // namespace

TEST_CASE("An announcement of another writer does not end the minion that runs")
{
    // Its runs would be started elsewhere beside those that go on.
    ScriptedMinion minion;
    // Without as<>, the generator keeps references to its temporary arguments.
    const MinionLife announced = GENERATE(
        as<MinionLife>(), Foreign, MinionLife{"i-1", FirstBirth + 1'000}, MinionLife{"i-0", 1});
    minion.announceInstance(announced);
    minion.runPolls(3);
    CHECK(minion.isTracked());
    CHECK(minion.report().ended.empty());
    minion.restart();
    minion.announce();
    minion.runUntil([&] { return minion.isTracked(); });
}

TEST_CASE("An announcement from the far future does not displace the minion")
{
    ScriptedMinion minion;
    const auto now = minion.loop.clock().wallNow().time_since_epoch();
    const auto ahead = [&](std::chrono::milliseconds difference) {
        return MinionLife{"i-1", static_cast<std::uint64_t>((now + difference).count())};
    };
    const MinionLife life = minion.life;
    minion.announceInstance(ahead(std::chrono::hours(48)));
    minion.announceInstance(ahead(std::chrono::hours(24 * 365 * 1000)));
    minion.runPolls(3);
    CHECK(minion.report().minion.life == life);
    minion.replaceBy(ahead(std::chrono::minutes(1)));
    minion.announce();
    minion.runUntil([&] { return minion.isTracked(); });
}

TEST_CASE("A minion is used although another writer announced itself before it")
{
    // An agent that has just started knows no instance.
    ScriptedMinion minion;
    minion.crash();
    minion.runUntil([&] { return !minion.report().hasMinion; });
    minion.announceInstance(Foreign);
    minion.replaceBy({"i-2", FirstBirth + 1});
    minion.announce();
    minion.runUntil([&] { return minion.isTracked(); });
    CHECK(minion.report().ended.size() == 1);
}

TEST_CASE("A minion that starts again with an earlier birth is used")
{
    // The clock of its machine was set back between the two starts.
    ScriptedMinion minion;
    const std::string name = GENERATE("i-1", "i-2");
    minion.replaceBy({name, FirstBirth - 1});
    minion.runUntil([&] {
        minion.announce();
        return minion.isTracked();
    });
    REQUIRE(minion.report().ended.size() == 1);
    CHECK(minion.report().ended.front() == MinionLife{"i-1", FirstBirth});
}

TEST_CASE("The delayed announcement of an ended instance does not displace its successor")
{
    ScriptedMinion minion;
    const MinionLife earlier = minion.life;
    minion.restart();
    minion.announce();
    minion.runUntil([&] { return minion.isTracked(); });
    minion.announceInstance(earlier, 2);
    minion.runPolls(3);
    CHECK(minion.isTracked());
}

TEST_CASE("A minion that refused connections for a while is used again once its end is committed")
{
    ScriptedMinion minion;
    minion.crash();
    minion.runUntil([&] { return !minion.report().hasMinion; });
    minion.listen();
    // The leader still counts every run on this instance as ended.
    for (std::uint64_t sequence = 2; sequence < 5; ++sequence) {
        minion.announce(sequence);
        minion.runPolls(1);
        CHECK_FALSE(minion.isTracked());
    }
    MachineDirective directive;
    directive.term = 1;
    directive.acknowledgedReport = minion.reports;
    minion.task.handleDirective(directive);
    minion.runUntil([&] {
        minion.announce(5);
        return minion.isTracked();
    });
    CHECK(minion.report().ended.empty());
}

TEST_CASE("A minion whose process resets every connection to it has not ended")
{
    // Its runs would be started elsewhere beside those that go on.
    constexpr std::size_t ManyPolls = 10;
    ScriptedMinion minion;
    minion.crash();
    {
        ResettingListener listener(minion.loop, minion.address);
        minion.runUntil(
            [&] { return listener.connections() >= ManyPolls || !minion.report().hasMinion; });
        CHECK(minion.isTracked());
        CHECK(minion.report().ended.empty());
    }
    minion.runUntil([&] { return !minion.report().hasMinion; });
    CHECK(minion.report().ended.size() == 1);
}

TEST_CASE("A minion has not ended because its agent can open no connection")
{
    // Its runs would be started elsewhere beside those that go on.
    ScriptedMinion minion;
    minion.crash();
    minion.runUntil([&] { return !minion.report().minion.reachable; });
    minion.listen();
    {
        const DescriptorLimit limit;
        const TimePoint start = minion.loop.clock().now();
        minion.runUntil(
            [&] { return minion.loop.clock().now() > start + std::chrono::seconds(1); });
        CHECK_FALSE(minion.report().minion.reachable);
        CHECK(minion.report().ended.empty());
    }
    minion.runPolls(1);
    CHECK(minion.isTracked());
}

TEST_CASE("A minion that announced its departure keeps its runs as long as it answers")
{
    // A minion whose call was not acknowledged in time goes on for some seconds.
    ScriptedMinion minion;
    minion.task.handleDeparture({"i-1"});
    const TimePoint start = minion.loop.clock().now();
    minion.runUntil([&] { return minion.loop.clock().now() > start + std::chrono::seconds(2); });
    minion.runPolls(3);
    CHECK(minion.isTracked());
    CHECK(minion.report().minion.draining);
    CHECK(minion.report().ended.empty());
    minion.crash();
    minion.runUntil([&] { return !minion.report().hasMinion; });
    CHECK(minion.report().ended.size() == 1);
    CHECK(minion.report().crashes.empty());
}

TEST_CASE("The ends that a minion had listed are reported after its crash until they are committed")
{
    ScriptedMinion minion;
    minion.addEnds(3);
    minion.runUntil([&] { return minion.report().finished.size() == 3; });
    const MinionLife earlier = minion.life;
    restartWithoutEnds(minion);
    const MachineReport report = minion.report();
    CHECK(report.finished.empty());
    REQUIRE(report.lastEnds.size() == 1);
    CHECK(report.lastEnds.front().life == earlier);
    CHECK(report.lastEnds.front().ends.size() == 3);
    MachineDirective directive;
    directive.term = 1;
    directive.acknowledgedReport = minion.reports;
    minion.task.handleDirective(directive);
    CHECK(minion.report().lastEnds.empty());
}

TEST_CASE("A minion that starts again and again without a leader leaves a bounded report")
{
    ScriptedMinion minion;
    std::size_t reported = 0;
    for (int restarts = 0; restarts < 5; ++restarts) {
        minion.addEnds(Oleander::Testing::MaxListedEnds);
        minion.runUntil([&] { return !minion.report().finished.empty(); });
        restartWithoutEnds(minion);
        const MachineReport report = minion.report();
        reported = 0;
        for (const ListedEnds &listed : report.lastEnds)
            reported += listed.ends.size();
    }
    CHECK(reported == 2 * Oleander::Testing::MaxListedEnds);
}
