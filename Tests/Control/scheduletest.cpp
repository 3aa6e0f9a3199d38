#include "Control/simulation.h"

#include <catch2/catch.hpp>

using namespace Oleander;

namespace {

/** Schedules per test case; CTest runs the cases in parallel. */
constexpr std::uint64_t Schedules = 550;
constexpr Duration ScheduleLength = std::chrono::seconds(8);

void checkSchedules(std::uint64_t firstSeed, const SimulationFaults &faults)
{
    for (std::uint64_t seed = firstSeed; seed < firstSeed + Schedules; ++seed) {
        Simulation simulation(seed, faults);
        simulation.runWithFaults(ScheduleLength);
        simulation.healAndCheck();
        for (const std::string &violation : simulation.violations())
            FAIL_CHECK(violation);
        REQUIRE(simulation.violations().empty());
    }
}

} // namespace

TEST_CASE("Committed entries survive schedules with every kind of fault")
{
    checkSchedules(1, {});
}

TEST_CASE("Committed entries survive schedules with many crashes and lost disks")
{
    SimulationFaults faults;
    faults.crash = 50;
    faults.lostDisk = 40;
    faults.snapshot = 60;
    checkSchedules(10'001, faults);
}

TEST_CASE("Schedules with frozen and cut-off leaders never serve a stale read")
{
    SimulationFaults faults;
    faults.freeze = 50;
    faults.cut = 30;
    faults.oneWayCut = 40;
    checkSchedules(20'001, faults);
}

TEST_CASE("Committed entries survive schedules with an unreliable network")
{
    SimulationFaults faults;
    faults.dropPercent = 15;
    faults.duplicatePercent = 10;
    faults.slowPercent = 25;
    faults.fullDisk = 20;
    checkSchedules(30'001, faults);
}
