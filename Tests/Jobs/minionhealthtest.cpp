#include "Jobs/minionhealth.h"

#include <catch2/catch.hpp>

#include <random>

using namespace Oleander;
using namespace Oleander::Jobs;
using namespace std::chrono_literals;

namespace {

/** Ends a run of a different job every 150 ms for \a time, with failures at the rate \a failing,
 * and returns the fraction of the time during which the minion is suspended. */
double suspendedShare(double failing, Duration time)
{
    std::mt19937 random(7);
    std::bernoulli_distribution fails(failing);
    MinionHealth health;
    int suspended = 0;
    int ends = 0;
    for (TimePoint now{}; now < TimePoint{} + time; now += 150ms) {
        ++ends;
        suspended += health.isSuspended(now) ? 1 : 0;
        health.recordRunEnd(now, std::to_string(ends),
                            fails(random) ? RunEndKind::Failed : RunEndKind::Done);
    }
    return static_cast<double>(suspended) / ends;
}

} // namespace

TEST_CASE("A minion with the failure rate of healthy queues is hardly ever suspended")
{
    CHECK(suspendedShare(0.05, 2h) < 0.01);
}

TEST_CASE("A minion that fails half of its runs is suspended most of the time")
{
    CHECK(suspendedShare(0.5, 1h) > 0.5);
}

TEST_CASE("A minion that fails every run is suspended after three jobs")
{
    MinionHealth health;
    const TimePoint now = TimePoint{} + 10s;
    health.recordRunEnd(now, "a", RunEndKind::Failed);
    health.recordRunEnd(now, "b", RunEndKind::Failed);
    CHECK_FALSE(health.isSuspended(now));
    health.recordRunEnd(now, "c", RunEndKind::Failed);
    CHECK(health.isSuspended(now));
    CHECK_FALSE(health.isSuspended(now + 4s));
}

TEST_CASE("A suspended minion accepts long-running tasks before they have waited too long")
{
    MinionHealth health;
    const TimePoint now = TimePoint{} + 10s;
    for (const char *job : {"a", "b", "c"})
        health.recordRunEnd(now, job, RunEndKind::Failed);
    CHECK(health.isSuspendedForLongRunning(now + 900ms));
    // The platform counts a violation after 3 s.
    CHECK_FALSE(health.isSuspendedForLongRunning(now + 1'500ms));
    CHECK(health.isSuspended(now + 1'500ms));
}

TEST_CASE("A job that fails everywhere does not suspend the minions on which it runs")
{
    MinionHealth health;
    const TimePoint now = TimePoint{} + 10s;
    for (int i = 0; i < 20; ++i)
        health.recordRunEnd(now, "poison", RunEndKind::Failed);
    CHECK_FALSE(health.isSuspended(now));
}
