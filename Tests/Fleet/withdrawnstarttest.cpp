#include "scriptedminion.h"

#include <catch2/catch.hpp>

using namespace Oleander;
using Oleander::Testing::First;
using Oleander::Testing::ScriptedMinion;

TEST_CASE("A start is not sent again once its run is ordered to stop")
{
    // With stops left unanswered, the start of a cancelled job was sent again until its lease
    // ended.
    ScriptedMinion minion;
    minion.startStatus = 0;
    minion.answersStops = false;
    minion.sendDirective(6'000, true);
    minion.runUntil([&] { return minion.starts.size() == 1; });
    minion.sendStop();
    minion.runUntil([&] { return minion.stops == 3; });
    // A leader that has not heard of the stop yet repeats its orders.
    minion.sendDirective(6'000, true);
    minion.runUntil([&] { return minion.stops == 5; });
    CHECK(minion.starts.size() == 1);
    CHECK_FALSE(minion.reportsRefusal());
    minion.answersStops = true;
    minion.runUntil([&] { return minion.reportsRefusal(); });
    CHECK(minion.starts.size() == 1);
}

TEST_CASE("A start is not sent again while no leader confirms that its run is to start")
{
    // Without a leader in touch, the start of a cancelled job was sent again until its lease ended.
    constexpr Duration CancelTime = std::chrono::seconds(3);
    ScriptedMinion minion;
    minion.startStatus = 500;
    minion.sendDirective(6'000, true);
    const TimePoint orderedAt = minion.loop.clock().now();
    minion.runUntil([&] { return minion.loop.clock().now() > orderedAt + CancelTime; });
    const std::size_t starts = minion.starts.size();
    CHECK(starts > 1);
    minion.runPolls(20);
    CHECK(minion.starts.size() == starts);
}

TEST_CASE("A start order that is old on arrival is sent only after the leader has renewed it")
{
    // The agent or the link may have stood still while the job was cancelled.
    ScriptedMinion minion;
    const std::int64_t stamp = minion.report().stamp;
    MachineDirective directive;
    directive.term = 1;
    directive.life = minion.life;
    directive.holdUntilMs = 6'000;
    directive.reportStamp = stamp - Duration(std::chrono::seconds(3)).count();
    StartOrder order;
    order.task = First;
    order.run = 1;
    directive.starts.push_back(order);
    minion.task.handleDirective(directive);
    minion.runPolls(5);
    CHECK(minion.starts.empty());
    REQUIRE(minion.report().undelivered.size() == 1);
    directive.starts.clear();
    directive.renewals.push_back({First, 1});
    directive.reportStamp = minion.report().stamp;
    minion.task.handleDirective(directive);
    minion.runUntil([&] { return minion.starts.size() == 1; });
}

TEST_CASE("The age of an order counts from the agent's latest report before it")
{
    // Unstamped reports would make every order a new one, and a stamp from the future one for ever.
    constexpr Duration CancelTime = std::chrono::seconds(3);
    ScriptedMinion minion;
    const TimePoint reportedAt = minion.loop.clock().now();
    const std::int64_t stamp = minion.report().stamp;
    CHECK(stamp >= reportedAt.time_since_epoch().count());
    CHECK(stamp <= minion.loop.clock().now().time_since_epoch().count());
    minion.startStatus = 500;
    MachineDirective directive;
    directive.term = 1;
    directive.life = minion.life;
    directive.holdUntilMs = 6'000;
    directive.reportStamp = stamp + 2 * CancelTime.count();
    StartOrder order;
    order.task = First;
    order.run = 1;
    directive.starts.push_back(order);
    minion.task.handleDirective(directive);
    const TimePoint orderedAt = minion.loop.clock().now();
    minion.runUntil([&] { return minion.loop.clock().now() > orderedAt + CancelTime; });
    const std::size_t starts = minion.starts.size();
    CHECK(starts > 1);
    minion.runPolls(20);
    CHECK(minion.starts.size() == starts);
}

TEST_CASE("A withdrawn start counts as refused once its lease has expired, even if no stop is "
          "answered")
{
    // The run stayed active and its task waited until a stop was answered, up to 20 s.
    constexpr std::uint64_t LeaseEnd = 6'000;
    ScriptedMinion minion;
    minion.startStatus = 0;
    minion.answersStops = false;
    minion.sendDirective(LeaseEnd, true);
    minion.runUntil([&] { return minion.starts.size() == 1; });
    minion.sendStop();
    minion.clockMs = LeaseEnd;
    minion.runUntil([&] { return minion.stops == 3; });
    // The minion may still carry out the call.
    CHECK_FALSE(minion.reportsRefusal());
    minion.clockMs = LeaseEnd + 1;
    minion.runUntil([&] { return minion.reportsRefusal(); });
    CHECK(minion.starts.size() == 1);
}

TEST_CASE("A start that its minion has not confirmed is not sent again once the minion drains")
{
    ScriptedMinion minion;
    minion.startStatus = 0;
    minion.answersStops = false;
    minion.sendDirective(6'000, true);
    minion.runUntil([&] { return minion.starts.size() == 1; });
    const bool isAnnounced = GENERATE(false, true);
    if (isAnnounced)
        minion.announceInstance(minion.life, 2, 1'000, true);
    else
        minion.task.handleDeparture({"i-1"});
    minion.runUntil([&] { return minion.stops == 2; });
    minion.sendDirective(6'000, true);
    minion.runUntil([&] { return minion.stops == 4; });
    CHECK(minion.starts.size() == 1);
    minion.answersStops = true;
    minion.runUntil([&] { return minion.reportsRefusal(); });
}

TEST_CASE("A repeated start order counts as refused only after the minion has stopped the run")
{
    // An earlier process of the agent may have sent the start without an answer. A restarted agent
    // reported the refusal without a stop, and the minion executed the call beside the next run.
    ScriptedMinion minion;
    minion.ordersAreFirst = false;
    minion.answersStops = false;
    const bool isDraining = GENERATE(false, true);
    if (isDraining)
        minion.announceInstance(minion.life, 2, 1'000, true);
    else
        minion.startStatus = 503;
    minion.sendDirective(6'000, true);
    minion.runUntil([&] { return minion.stops == 2; });
    minion.runPolls(2);
    CHECK_FALSE(minion.reportsRefusal());
    minion.answersStops = true;
    minion.runUntil([&] { return minion.reportsRefusal(); });
    CHECK(minion.starts.size() == (isDraining ? 0 : 1));
}

TEST_CASE("The first start order of a run is refused without a stop while the minion drains")
{
    // No call of the start can be on its way, so the task need not wait for an answered stop.
    ScriptedMinion minion;
    minion.announceInstance(minion.life, 2, 1'000, true);
    minion.sendDirective(6'000, true);
    minion.runUntil([&] { return minion.reportsRefusal(); });
    CHECK(minion.starts.empty());
    CHECK(minion.stops == 0);
}

TEST_CASE("A repeated start order is refused once the lease of every earlier call has expired")
{
    constexpr std::uint64_t LeaseEnd = 6'000;
    ScriptedMinion minion;
    minion.ordersAreFirst = false;
    minion.answersStops = false;
    minion.announceInstance(minion.life, 2, 1'000, true);
    minion.sendDirective(LeaseEnd, true);
    minion.clockMs = LeaseEnd;
    minion.runUntil([&] { return minion.stops == 2; });
    CHECK_FALSE(minion.reportsRefusal());
    minion.clockMs = LeaseEnd + 1;
    minion.runUntil([&] { return minion.reportsRefusal(); });
}
