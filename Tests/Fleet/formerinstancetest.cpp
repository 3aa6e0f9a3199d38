#include "scriptedminion.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace Oleander;
using Oleander::Testing::First;
using Oleander::Testing::Json;
using Oleander::Testing::ScriptedMinion;

namespace {

/** Makes the agent send each kind of call to the current instance; returns the calls. */
std::vector<Json> sendCalls(ScriptedMinion &minion)
{
    minion.acknowledgedEnd = 7;
    minion.startStatus = 0;
    minion.sendDirective(6'000, true);
    minion.runUntil([&] { return !minion.starts.empty(); });
    minion.sendStop();
    minion.runUntil([&] { return minion.stops > 0 && minion.polls.back().at("ackCursor") == 7; });
    return minion.calls;
}

void restartTracked(ScriptedMinion &minion)
{
    minion.restart();
    minion.announce();
    minion.runUntil([&] { return minion.isTracked(); });
}

} // namespace

TEST_CASE("No call that outlives its instance is carried out by the next one under the same id")
{
    // Its cursor would acknowledge ends that nobody has read, and its start would run a lost run.
    ScriptedMinion minion;
    const std::vector<Json> late = sendCalls(minion);
    restartTracked(minion);
    minion.runPolls(1);
    for (const Json &call : late)
        CHECK(minion.isOutdated(call));
}

TEST_CASE("A start reaches the next instance only after every call to the former one is outdated")
{
    ScriptedMinion minion;
    const std::vector<Json> late = sendCalls(minion);
    restartTracked(minion);
    MachineDirective directive;
    directive.term = 1;
    directive.life = minion.life;
    directive.holdUntilMs = 6'000;
    StartOrder order;
    order.task = First;
    order.run = 2;
    directive.starts.push_back(order);
    minion.task.handleDirective(directive);
    minion.runUntil([&] { return !minion.starts.empty(); });
    for (const Json &call : late)
        CHECK(call.at("fence") < minion.starts.front().at("fence"));
}

TEST_CASE("A minion that has seen higher fences of an earlier agent process is polled on")
{
    // It would do nothing for this agent until the next change of the leader.
    ScriptedMinion minion;
    minion.sendDirective(6'000, false);
    minion.runUntil(
        [&] { return !minion.polls.empty() && minion.polls.back().contains("deadlineMs"); });
    const std::uint64_t seen = minion.fence + 3;
    const bool isNewInstance = GENERATE(false, true);
    if (isNewInstance) {
        minion.restart();
        minion.fence = seen;
        minion.announce();
        minion.runUntil([&] { return minion.isTracked(); });
    }
    minion.fence = std::max(minion.fence, seen);
    minion.runPolls(2);
    CHECK(minion.isTracked());
}
