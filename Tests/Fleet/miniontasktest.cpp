#include "scriptedminion.h"

#include <catch2/catch.hpp>

using namespace Oleander;
using namespace Oleander::Fleet;
using Oleander::Testing::First;
using Oleander::Testing::FirstBirth;
using Oleander::Testing::Json;
using Oleander::Testing::ScriptedMinion;

TEST_CASE("A start is not sent again after the lease under which it was ordered has expired")
{
    // By then the leader may have marked the run as lost and started the task elsewhere.
    ScriptedMinion minion;
    minion.startStatus = 0;
    minion.sendDirective(6'000, true);
    minion.runUntil([&] { return minion.starts.size() == 2; });
    minion.sendDirective(12'000, false);
    minion.clockMs = 7'000;
    minion.runUntil([&] { return minion.stops > 0 && minion.reportsRefusal(); });
    for (const Json &start : minion.starts)
        CHECK(start.at("deadlineMs") == 6'000);
}

TEST_CASE("An unanswered start counts as refused only after the minion has stopped it")
{
    // The minion may execute an unanswered call after later ones.
    ScriptedMinion minion;
    minion.startStatus = 0;
    minion.answersStops = false;
    minion.sendDirective(6'000, true);
    minion.runUntil([&] { return minion.starts.size() == 1; });
    minion.startStatus = 503;
    minion.runUntil([&] { return minion.stops == 1; });
    CHECK_FALSE(minion.reportsRefusal());
    minion.answersStops = true;
    minion.runUntil([&] {
        minion.sendDirective(6'000, true);
        return minion.stops > 1 && minion.reportsRefusal();
    });
}

TEST_CASE("A start whose every call was refused counts as refused without a stop")
{
    ScriptedMinion minion;
    minion.startStatus = 503;
    minion.sendDirective(6'000, true);
    minion.runUntil([&] { return minion.reportsRefusal(); });
    CHECK(minion.starts.size() == 1);
    CHECK(minion.stops == 0);
}

TEST_CASE("A stop that is ordered again and again does not delay the refusal of its start forever")
{
    ScriptedMinion minion;
    minion.startStatus = 0;
    minion.sendDirective(6'000, true);
    minion.runUntil([&] { return minion.starts.size() == 1; });
    // The leader repeats a stop until the reports show its effect.
    minion.runUntil([&] {
        minion.sendStop();
        return minion.reportsRefusal();
    });
}

TEST_CASE("A crash is reported with the runs that the minion had just started")
{
    ScriptedMinion minion;
    minion.sendDirective(6'000, true);
    minion.runUntil([&] { return minion.starts.size() == 1; });
    minion.replaceBy({"i-2", FirstBirth + 1});
    minion.announce();
    minion.runUntil([&] { return minion.isTracked(); });
    const MachineReport report = minion.report();
    REQUIRE(report.crashes.size() == 1);
    CHECK(report.crashes.front().life == MinionLife{"i-1", FirstBirth});
    REQUIRE(report.crashes.front().suspects.size() == 1);
    CHECK(report.crashes.front().suspects.front().task == First);
}

TEST_CASE("The end of a minion that announced its departure is not reported as a crash")
{
    ScriptedMinion minion;
    minion.sendDirective(6'000, true);
    minion.runUntil([&] { return minion.starts.size() == 1; });
    minion.task.handleDeparture({"i-1"});
    minion.replaceBy({"i-2", FirstBirth + 1});
    minion.announce();
    minion.runUntil([&] { return minion.isTracked(); });
    const MachineReport report = minion.report();
    CHECK(report.ended.size() == 1);
    CHECK(report.crashes.empty());
}

TEST_CASE("A start is never carried out by a later instance under the same id")
{
    // Its runs count as lost, so the leader starts the task elsewhere.
    ScriptedMinion minion;
    const bool isConnected = GENERATE(false, true);
    const bool isAnnounced = GENERATE(false, true);
    minion.sendDirective(6'000, isConnected);
    minion.runUntil([&] { return !minion.polls.empty() && minion.starts.empty() != isConnected; });
    minion.restart();
    minion.sendDirective(6'000, true, 2);
    if (isAnnounced)
        minion.announce();
    minion.runUntil([&] { return !minion.polls.empty() && !minion.report().ended.empty(); });
    CHECK(minion.starts.empty());
}

TEST_CASE("An instance never gets the lease or the acknowledged end of an earlier one")
{
    ScriptedMinion minion;
    minion.acknowledgedEnd = 7;
    minion.sendDirective(6'000, false);
    minion.runUntil(
        [&] { return !minion.polls.empty() && minion.polls.back().contains("deadlineMs"); });
    minion.restart();
    minion.runUntil([&] { return !minion.report().ended.empty(); });
    CHECK_FALSE(minion.polls.empty());
    for (const Json &poll : minion.polls) {
        CHECK_FALSE(poll.contains("deadlineMs"));
        CHECK(poll.at("ackCursor") == 0);
    }
}

TEST_CASE("A start that waits for its delivery is given up when the minion announces less capacity")
{
    // The leader has decided it for the larger capacity, and it may wait as long as the lease.
    ScriptedMinion minion;
    minion.startStatus = 0;
    minion.sendDirective(6'000, true);
    minion.runUntil([&] { return minion.starts.size() == 1; });
    minion.announce(2, 500);
    minion.runUntil([&] { return minion.starts.size() > 1 || minion.reportsRefusal(); });
    CHECK(minion.starts.size() == 1);
    CHECK(minion.stops == 1);
}

TEST_CASE("A start that may still reach a shrunken minion counts as refused only after a stop")
{
    ScriptedMinion minion;
    minion.startStatus = 0;
    minion.answersStops = false;
    minion.sendDirective(6'000, true);
    minion.announce(2, 500);
    minion.runUntil([&] { return minion.stops == 1; });
    CHECK_FALSE(minion.reportsRefusal());
    minion.answersStops = true;
    minion.runUntil([&] {
        minion.sendStop();
        return minion.reportsRefusal();
    });
}

TEST_CASE("An announcement that arrives late does not bring back an old capacity")
{
    ScriptedMinion minion;
    minion.announce(3, 500);
    minion.announce(2, 1'000);
    CHECK(minion.report().minion.milliCores == 500);
}

TEST_CASE("A change of the capacity is reported at once")
{
    ScriptedMinion minion;
    unsigned emitted = 0;
    minion.task.reportNeeded.connect([&] { ++emitted; });
    minion.announce(2, 500);
    CHECK(emitted == 1);
    minion.announce(3, 500);
    CHECK(emitted == 1);
    minion.announce(4, 1'000);
    CHECK(emitted == 2);
}

TEST_CASE("The acknowledgement of an earlier report does not drop a crash that none has contained")
{
    ScriptedMinion minion;
    const auto replaceBy = [&](const MinionLife &life) {
        minion.replaceBy(life);
        minion.announce();
        minion.runUntil([&] { return minion.isTracked(); });
    };
    replaceBy({"i-2", FirstBirth + 1});
    const MachineReport first = minion.report();
    REQUIRE(first.crashes.size() == 1);
    const std::uint64_t firstReport = minion.reports;
    replaceBy({"i-3", FirstBirth + 2});
    MachineDirective directive;
    directive.term = 1;
    directive.acknowledgedReport = firstReport;
    minion.task.handleDirective(directive);
    const MachineReport report = minion.report();
    REQUIRE_FALSE(report.crashes.empty());
    CHECK(report.crashes.back().life == MinionLife{"i-2", FirstBirth + 1});
    CHECK(report.ended.back() == MinionLife{"i-2", FirstBirth + 1});
    directive.acknowledgedReport = minion.reports;
    minion.task.handleDirective(directive);
    CHECK(minion.report().ended.empty());
}

TEST_CASE("A run is not reported as refused while more ends wait than the minion lists")
{
    // Its own end may be one of them. Tasks that had ended were started again.
    ScriptedMinion minion;
    minion.addEnds(Testing::MaxListedEnds);
    minion.ends.push_back(
        Json::array({Testing::MaxListedEnds + 1, First.job + ".0.0.0", 1, "done", ""}));
    const bool isStopped = GENERATE(false, true);
    if (isStopped) {
        minion.sendStop();
        minion.runUntil([&] { return minion.stops == 1; });
    } else {
        minion.startStatus = 409;
        minion.sendDirective(6'000, true);
        minion.runUntil([&] { return minion.starts.size() == 1; });
    }
    minion.runPolls(3);
    CHECK_FALSE(minion.reportsRefusal());
    CHECK(minion.report().hasMoreEnds);
    minion.acknowledgedEnd = Testing::MaxListedEnds;
    minion.sendDirective(6'000, false);
    minion.runUntil([&] { return !minion.report().hasMoreEnds; });
    minion.runPolls(2);
    CHECK_FALSE(minion.reportsRefusal());
    REQUIRE(minion.report().finished.size() == 1);
    CHECK(minion.report().finished.front().task == First);
}

TEST_CASE("A run that never started is reported as refused once the minion lists all its ends")
{
    ScriptedMinion minion;
    minion.addEnds(Testing::MaxListedEnds + 1);
    minion.startStatus = 409;
    minion.sendDirective(6'000, true);
    minion.runUntil([&] { return minion.starts.size() == 1; });
    minion.runPolls(3);
    CHECK_FALSE(minion.reportsRefusal());
    minion.acknowledgedEnd = 2;
    minion.sendDirective(6'000, false);
    minion.runUntil([&] { return minion.reportsRefusal(); });
}

TEST_CASE("A confirmed run that its minion lists neither as running nor as ended is refused")
{
    // Its end was acknowledged unread. The leader orders the start again until the run ends.
    ScriptedMinion minion;
    minion.sendDirective(6'000, true);
    minion.runUntil([&] { return !minion.starts.empty(); });
    minion.runUntil([&] { return minion.report().undelivered.empty(); });
    minion.runPolls(2);
    CHECK_FALSE(minion.reportsRefusal());
    minion.startStatus = GENERATE(0U, 400U, 409U, 429U, 503U);
    minion.ordersAreFirst = false;
    minion.sendDirective(6'000, true);
    if (minion.startStatus == 0) {
        minion.runUntil([&] { return minion.starts.size() > 1; });
        minion.clockMs = 6'000;
    }
    minion.runUntil([&] { return minion.reportsRefusal(); });
    CHECK(minion.stops == 1);
}

TEST_CASE("Runs that outlive the lease that the leader granted are stopped")
{
    // A call to the former instance may have extended the lease, in the time of another clock.
    constexpr std::uint64_t LeaseEnd = 6'000;
    ScriptedMinion minion;
    minion.sendDirective(LeaseEnd, false);
    minion.running.push_back(Json::array({First.job + ".0.0.0", 1, "", 50, 0}));
    minion.clockMs = LeaseEnd;
    minion.runPolls(3);
    CHECK(minion.stops == 0);
    minion.clockMs = LeaseEnd + 1;
    minion.runUntil([&] { return minion.stops > 0; });
}
