#include "Placement/workerleases.h"

#include <catch2/catch.hpp>

using namespace Oleander;
using namespace Oleander::Placement;

TEST_CASE("A lease ends on the agent before the leader at the maximum drift of both clocks")
{
    const WorkerLeaseSettings settings;
    for (const double drift : {0.0, settings.maxDrift}) {
        // True time until the lease ends on a slow agent clock and until a fast leader clock shows
        // it as expired.
        const double agent = static_cast<double>(settings.length.count()) / (1.0 - drift);
        const double leader =
            static_cast<double>(leaderHoldTime(settings.length, settings).count()) / (1.0 + drift);
        CHECK(agent < leader);
    }
}

TEST_CASE("A new leader waits a full lease before any worker's lease counts as expired")
{
    WorkerLeases leases(WorkerLeaseSettings{});
    const TimePoint elected(std::chrono::seconds(100));
    leases.startTerm(elected, std::chrono::seconds(9));
    CHECK_FALSE(leases.hasExpired("w1", elected + std::chrono::seconds(9)));
    CHECK(leases.hasExpired("w1", elected + leaderHoldTime(std::chrono::seconds(9), {})
                                      + std::chrono::microseconds(1)));
}

TEST_CASE("A lease counts from its grant, and a later grant extends it")
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
