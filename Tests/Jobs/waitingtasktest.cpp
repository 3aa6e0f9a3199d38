#include "simulatedfleet.h"

#include <random>

using namespace Oleander;
using namespace Oleander::Testing;

namespace {

/** Draws jobs like those of a large fleet whose long-running jobs request more than it has. */
class RandomLoad
{
public:
    explicit RandomLoad(std::uint32_t seed) : random_(seed) {}

    std::uint32_t between(std::uint32_t low, std::uint32_t high)
    {
        return low + static_cast<std::uint32_t>(random_()) % (high - low + 1);
    }
    std::vector<std::uint32_t> minions(std::size_t count)
    {
        std::vector<std::uint32_t> sizes;
        for (std::size_t i = 0; i < count; ++i)
            sizes.push_back(between(0, 2) == 0 ? 96'000 : 64'000);
        return sizes;
    }
    StepSpec longRunningStep()
    {
        // Compilers evaluate the arguments of one call in different orders.
        const std::uint32_t tasks = between(8, 32);
        StepSpec spec = step(tasks, between(60, 200) * 100);
        spec.estimateMs = 0;
        spec.longRunning = true;
        spec.memoryMiB = 26'000;
        if (between(0, 1) == 1)
            spec.maxPerMinion = between(1, 3);
        return spec;
    }
    StepSpec shortStep()
    {
        const std::uint32_t tasks = between(2, 18);
        StepSpec spec = step(tasks, between(10, 70) * 100);
        spec.estimateMs = between(300, 1'500);
        spec.memoryMiB = 7'600;
        return spec;
    }
    StepSpec fillingStep()
    {
        const std::uint32_t tasks = between(10, 60);
        StepSpec spec = step(tasks, between(40, 100) * 100);
        spec.estimateMs = between(800, 3'500);
        spec.memoryMiB = 13'000;
        spec.filling = true;
        return spec;
    }

private:
    std::mt19937 random_;
};

/** Age of a task's last run from which the platform counts its wait. */
constexpr Duration RestartGrace = 6s;
/** Wait beside capacity for two of its kind that the platform counts as a violation. */
constexpr Duration LongestWait = 3s;
/** Time from a loss of power to the next leader: processes are back within 1 s, and a leader is
 * elected within 1.6 s. */
constexpr Duration Outage = 2'600ms;

} // namespace

TEST_CASE("No long-running task waits for 3 s beside capacity for two of its kind")
{
    const std::uint32_t seed = GENERATE(3U, 11U, 12U, 24U, 49U, 56U);
    CAPTURE(seed);
    RandomLoad load(seed);
    SimulatedFleet fleet(load.minions(40));
    int number = 0;
    const auto submit = [&](const char *kind, const StepSpec &spec) {
        fleet.leader().submit(kind + std::to_string(++number), {spec});
    };
    for (int i = 0; i < 9; ++i)
        submit("lasting-", load.longRunningStep());
    int steps = 0;
    fleet.pass(30s, [&] {
        ++steps;
        fleet.recordWaits();
        if (load.between(1, 6) == 1)
            submit("short-", load.shortStep());
        if (load.between(1, 20) == 1)
            submit("filling-", load.fillingStep());
        // A burst, as of callers that all react to one event.
        if (steps > 140 && steps <= 260 && load.between(1, 20) == 1)
            submit("late-", load.longRunningStep());
        if (load.between(1, 8) == 1)
            fleet.failAny(load.between(0, 1'000'000));
    });
    INFO(fleet.longestWaitingTask());
    CHECK(fleet.longestWaitBesideCapacity() < LongestWait);
    CHECK(fleet.overCapacity() == 0);
}

TEST_CASE("All long-running tasks of a full service run again in time after a loss of power")
{
    constexpr std::size_t Minions = 40;
    constexpr std::uint32_t TasksPerMinion = 8;
    constexpr std::uint32_t Tasks = Minions * TasksPerMinion;
    SimulatedFleet fleet(std::vector<std::uint32_t>(Minions, TasksPerMinion * 1'000));
    StepSpec spec = step(Tasks, 1'000);
    spec.estimateMs = 0;
    spec.longRunning = true;
    fleet.leader().submit("lasting", {spec});
    fleet.pass(10s);
    REQUIRE(fleet.runCount() == Tasks);
    fleet.losePower(Outage);
    REQUIRE(fleet.runCount() == 0);
    fleet.pass(RestartGrace + LongestWait - Outage);
    CHECK(fleet.runCount() == Tasks);
    CHECK(fleet.overCapacity() == 0);
}

TEST_CASE("No long-running task waits beside capacity after a loss of power under short jobs")
{
    const std::uint32_t seed = GENERATE(1U, 2U, 3U, 4U, 5U, 6U);
    CAPTURE(seed);
    RandomLoad load(seed);
    SimulatedFleet fleet(load.minions(40));
    int number = 0;
    const auto submit = [&](const char *kind, const StepSpec &spec) {
        fleet.leader().submit(kind + std::to_string(++number), {spec});
    };
    for (int i = 0; i < 9; ++i)
        submit("lasting-", load.longRunningStep());
    const auto submitShort = [&] {
        if (load.between(1, 6) == 1)
            submit("short-", load.shortStep());
        if (load.between(1, 20) == 1)
            submit("filling-", load.fillingStep());
    };
    fleet.pass(10s, submitShort);
    fleet.losePower(Outage);
    fleet.pass(RestartGrace - Outage, submitShort);
    fleet.pass(20s, [&] {
        fleet.recordWaits();
        submitShort();
    });
    INFO(fleet.longestWaitingTask());
    CHECK(fleet.longestWaitBesideCapacity() < LongestWait);
    CHECK(fleet.overCapacity() == 0);
}

TEST_CASE("Evictions on a large full service leave no long-running task waiting beside capacity")
{
    const std::uint32_t seed = GENERATE(2U, 3U);
    CAPTURE(seed);
    RandomLoad load(seed);
    SimulatedFleet fleet(load.minions(160));
    // Together with the wait for the next report, a run that takes the place of a stopped one is
    // seen on the minion 300 ms after the stop.
    fleet.setOrderDelay(250ms);
    int number = 0;
    const auto submit = [&](const char *kind, const StepSpec &spec) {
        fleet.leader().submit(kind + std::to_string(++number), {spec});
    };
    for (int i = 0; i < 31; ++i)
        submit("lasting-", load.longRunningStep());
    int steps = 0;
    fleet.pass(24s, [&] {
        ++steps;
        fleet.recordWaits();
        if (load.between(1, 2) == 1)
            submit("short-", load.shortStep());
        // The jobs of this burst request more than is free.
        if (steps > 100 && steps <= 220 && load.between(1, 5) == 1)
            submit("late-", load.longRunningStep());
    });
    CAPTURE(fleet.stops());
    CHECK(fleet.lostTasks().empty());
    CHECK(fleet.overCapacity() == 0);
}
