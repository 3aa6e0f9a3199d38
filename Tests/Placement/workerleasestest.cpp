#include "Placement/workerleases.h"

#include <catch2/catch.hpp>

using namespace Oleander;
using namespace Oleander::Placement;

TEST_CASE("The agent's end comes first at the worst drift of both clocks")
{
    const WorkerLeaseSettings settings;
    for (const double drift : {0.0, settings.maxDrift}) {
        // True time that a slow agent keeps working, and true time that a fast leader waits.
        const double agent = static_cast<double>(settings.length.count()) / (1.0 - drift);
        const double leader =
            static_cast<double>(leaderHoldTime(settings.length, settings).count()) / (1.0 + drift);
        CHECK(agent < leader);
    }
}

TEST_CASE("A new leader waits a whole lease before any worker counts as over")
{
    WorkerLeases leases(WorkerLeaseSettings{});
    const TimePoint elected(std::chrono::seconds(100));
    leases.startTerm(elected, std::chrono::seconds(9));
    CHECK_FALSE(leases.hasExpired("w1", elected + std::chrono::seconds(9)));
    CHECK(leases.hasExpired("w1", elected + leaderHoldTime(std::chrono::seconds(9), {})
                                      + std::chrono::microseconds(1)));
}

TEST_CASE("A promise is counted from when it was noted, and a later one prolongs it")
{
    WorkerLeases leases(WorkerLeaseSettings{});
    const TimePoint start(std::chrono::seconds(100));
    leases.startTerm(start, {});
    const TimePoint granted = start + std::chrono::seconds(50);
    CHECK(leases.grant("w1", granted) == WorkerLeaseSettings{}.length);
    CHECK_FALSE(leases.hasExpired("w1", granted + WorkerLeaseSettings{}.length));
    CHECK(leases.hasExpired("w1", granted + 2 * WorkerLeaseSettings{}.length));
    leases.grant("w1", granted + std::chrono::seconds(4));
    CHECK_FALSE(leases.hasExpired("w1", granted + std::chrono::seconds(9)));
}
