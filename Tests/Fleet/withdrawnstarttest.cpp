#include "scriptedminion.h"

#include <catch2/catch.hpp>

using namespace Oleander;
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

TEST_CASE(
    "A withdrawn start counts as refused once its lease has expired, even if no stop is answered")
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
