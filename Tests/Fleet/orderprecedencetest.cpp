#include "scriptedminion.h"

#include <catch2/catch.hpp>

using namespace Oleander;
using Oleander::Testing::First;
using Oleander::Testing::FirstBirth;
using Oleander::Testing::ScriptedMinion;

namespace {

constexpr std::uint32_t Width = 40;
/** Number of starts that a MinionTask has under way at once. */
constexpr std::size_t StartsAtOnce = 4;

MachineDirective directiveOf(std::uint64_t holdUntilMs)
{
    MachineDirective directive;
    directive.term = 1;
    directive.life = {"i-1", FirstBirth};
    directive.holdUntilMs = holdUntilMs;
    return directive;
}

TaskRef taskOf(std::uint32_t index)
{
    return {First.job, 1, index};
}

void sendStarts(ScriptedMinion &minion, std::uint32_t run)
{
    MachineDirective directive = directiveOf(6'000);
    for (std::uint32_t index = 0; index < Width; ++index) {
        StartOrder order;
        order.task = taskOf(index);
        order.run = run;
        directive.starts.push_back(order);
    }
    minion.task.handleDirective(directive);
}

void sendWideStop(ScriptedMinion &minion)
{
    MachineDirective directive = directiveOf(0);
    for (std::uint32_t index = 0; index < Width; ++index)
        directive.stops.push_back({taskOf(index), 1});
    minion.task.handleDirective(directive);
}

/** True if a stop reached the minion before the unanswered starts that were sent before it timed
 * out; a start that times out is sent again. */
bool isStopSentBesideStarts()
{
    ScriptedMinion minion;
    minion.startStatus = 0;
    sendStarts(minion, 2);
    minion.runUntil([&] { return minion.starts.size() >= StartsAtOnce; });
    minion.sendStop();
    minion.runUntil([&] { return minion.stops > 0; });
    minion.startStatus = 200;
    minion.answerAll();
    minion.runUntil([&] { return minion.report().undelivered.empty(); });
    return minion.starts.size() == Width;
}

} // namespace

TEST_CASE("Unanswered starts never occupy all connections to the minion")
{
    // A stall of the process may let the starts time out first.
    constexpr int Attempts = 10;
    bool isSentBeside = false;
    for (int i = 0; i < Attempts && !isSentBeside; ++i)
        isSentBeside = isStopSentBesideStarts();
    CHECK(isSentBeside);
}

TEST_CASE("A stop does not wait for starts that the minion leaves unanswered")
{
    ScriptedMinion minion;
    // Opens the connections.
    sendWideStop(minion);
    minion.runUntil([&] { return minion.stops == Width; });
    minion.startStatus = 0;
    sendStarts(minion, 2);
    minion.sendStop();
    minion.runUntil([&] { return minion.starts.size() == StartsAtOnce; });
    minion.startStatus = 200;
    minion.runUntil([&] {
        minion.answerAll();
        return minion.stops > Width;
    });
    CHECK(minion.startsBeforeStop <= StartsAtOnce);
}

TEST_CASE("A start that waits for a connection is not sent once its run is ordered to stop")
{
    ScriptedMinion minion;
    minion.startStatus = 0;
    sendStarts(minion, 1);
    minion.runUntil([&] { return minion.starts.size() == StartsAtOnce; });
    sendWideStop(minion);
    minion.answerAll();
    minion.runUntil([&] { return minion.report().refused.size() == Width; });
    CHECK(minion.starts.size() == StartsAtOnce);
}

TEST_CASE("An unanswered stop is sent again although no leader is in touch")
{
    // The agent left the repetition to the leader.
    ScriptedMinion minion;
    minion.unansweredStops = 1;
    minion.sendStop();
    minion.runUntil([&] { return minion.stops == 2; });
    minion.runPolls(2);
    CHECK(minion.stops == 2);
}

TEST_CASE("An unanswered stop is left to the leader that has sent a directive since")
{
    ScriptedMinion minion;
    minion.unansweredStops = 1;
    minion.sendStop();
    minion.runUntil([&] { return minion.stops == 1; });
    minion.sendDirective(6'000, false);
    const TimePoint until = minion.loop.clock().now() + std::chrono::seconds(1);
    minion.runUntil([&] { return minion.loop.clock().now() > until; });
    CHECK(minion.stops == 1);
}
