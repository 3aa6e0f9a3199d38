#include "Routing/miniontable.h"

#include "Routing/minionselector.h"

#include <catch2/catch.hpp>

#include <set>

using namespace Oleander;
using namespace std::chrono_literals;

namespace {

Heartbeat heartbeat(std::uint64_t stamp, const std::string &domain,
                    std::vector<MinionStatus> minions)
{
    Heartbeat result;
    result.stamp = stamp;
    result.location = {"south", domain, "r1"};
    result.minions = std::move(minions);
    return result;
}

MinionStatus status(const std::string &name, std::uint32_t running = 0)
{
    return {name, "notices", MinionState::Serving, 8, 64, running, 0};
}

struct Fixture
{
    MinionTable table{MinionTableSettings{}};
    MinionSelector selector{{"south", "a", "r1"}, 7};
    TimePoint now{10s};

    Minion *select(const std::vector<const Minion *> &tried = {})
    {
        return selector.select(table.eligible("notices", now), tried, now);
    }
};

} // namespace

TEST_CASE("Stale heartbeats are ignored")
{
    Fixture f;
    REQUIRE(f.table.update("agent-1", 2, heartbeat(5, "a", {status("m1", 3)}), f.now));
    CHECK_FALSE(f.table.update("agent-1", 2, heartbeat(4, "a", {}), f.now));
    CHECK_FALSE(f.table.update("agent-1", 1, heartbeat(9, "a", {}), f.now));
    REQUIRE(f.table.find("agent-1", "m1") != nullptr);
    CHECK(f.table.find("agent-1", "m1")->load() == 3);
    CHECK(f.table.update("agent-1", 3, heartbeat(1, "a", {}), f.now));
    CHECK(f.table.find("agent-1", "m1") == nullptr);
}

TEST_CASE("A minion that is draining, lapsed or at a silent agent gets no new requests")
{
    Fixture f;
    auto draining = status("m1");
    draining.state = MinionState::Draining;
    auto lapsed = status("m2");
    lapsed.state = MinionState::Lapsed;
    f.table.update("agent-1", 1, heartbeat(1, "a", {draining, lapsed, status("m3")}), f.now);
    REQUIRE(f.table.eligible("notices", f.now).size() == 1);
    CHECK(f.select()->status.name == "m3");
    f.now += MinionTableSettings{}.agentTimeout;
    CHECK(f.select() == nullptr);
    CHECK(f.table.knowsService("notices"));
    f.table.expire(f.now + MinionTableSettings{}.forgetAfter);
    CHECK_FALSE(f.table.knowsService("notices"));
}

TEST_CASE("Minions in the same failure domain are preferred while one has a free slot")
{
    Fixture f;
    f.table.update("far", 1, heartbeat(1, "b", {status("m1")}), f.now);
    f.table.update("near", 1, heartbeat(1, "a", {status("m2", 7)}), f.now);
    for (int i = 0; i < 20; ++i)
        CHECK(f.select()->agent == "near");
    f.table.started(*f.table.find("near", "m2"), f.now);
    for (int i = 0; i < 20; ++i)
        CHECK(f.select()->agent == "far");
}

TEST_CASE(
    "Own attempts add to the reported load, and are counted once when the report includes them")
{
    Fixture f;
    f.table.update("agent-1", 1, heartbeat(1, "a", {status("m1", 2)}), f.now);
    Minion &minion = *f.table.find("agent-1", "m1");
    f.table.started(minion, f.now);
    f.table.started(minion, f.now);
    CHECK(minion.load() == 4);
    f.table.update("agent-1", 1, heartbeat(2, "a", {status("m1", 4)}), f.now);
    CHECK(minion.load() == 4);
    f.table.succeeded(minion, 1ms, f.now);
    CHECK(minion.load() == 3);
}

TEST_CASE("Power of two choices balances the load and avoids a slow minion")
{
    Fixture f;
    f.table.update("agent-1", 1,
                   heartbeat(1, "a", {status("m1"), status("m2"), status("m3"), status("m4")}),
                   f.now);
    for (int i = 0; i < 16; ++i)
        f.table.started(*f.select(), f.now);
    for (const Minion *minion : f.table.all())
        CHECK(minion->inFlight <= 6);

    Minion &slow = *f.table.find("agent-1", "m1");
    const auto before = slow.inFlight;
    f.table.succeeded(slow, 2s, f.now);
    for (int i = 0; i < 8; ++i)
        f.table.started(*f.select(), f.now);
    CHECK(slow.inFlight <= before);
}

TEST_CASE("Minions that were tried or are full are not selected")
{
    Fixture f;
    f.table.update("agent-1", 1, heartbeat(1, "a", {status("m1"), status("m2")}), f.now);
    const Minion *first = f.select();
    const Minion *second = f.select({first});
    REQUIRE(second != nullptr);
    CHECK(second != first);
    CHECK(f.select({first, second}) == nullptr);
    f.table.update("agent-1", 1, heartbeat(2, "a", {status("m1", 64)}), f.now);
    CHECK(f.select() == nullptr);
}

TEST_CASE("Consecutive failures eject a minion until a probe succeeds")
{
    Fixture f;
    const OutlierSettings outlier;
    f.table.update("agent-1", 1, heartbeat(1, "a", {status("m1"), status("m2")}), f.now);
    Minion &bad = *f.table.find("agent-1", "m1");
    for (std::uint32_t i = 0; i < outlier.consecutiveFailures; ++i) {
        f.table.started(bad, f.now);
        f.table.failed(bad, f.now);
    }
    CHECK(f.table.eligible("notices", f.now).size() == 1);

    f.now += outlier.ejectionTime;
    f.table.update("agent-1", 1, heartbeat(2, "a", {status("m1"), status("m2")}), f.now);
    REQUIRE(f.table.eligible("notices", f.now).size() == 2);
    f.table.started(bad, f.now);
    CHECK(f.table.eligible("notices", f.now).size() == 1);
    SECTION("a failed probe doubles the ejection time")
    {
        f.table.failed(bad, f.now);
        CHECK(bad.health.state(f.now + outlier.ejectionTime) == OutlierEjection::State::Ejected);
        CHECK(bad.health.state(f.now + 2 * outlier.ejectionTime)
              == OutlierEjection::State::Probing);
    }
    SECTION("a successful probe restores the minion")
    {
        f.table.succeeded(bad, 1ms, f.now);
        CHECK(f.table.eligible("notices", f.now).size() == 2);
    }
    SECTION("an abandoned probe allows another probe")
    {
        f.table.abandoned(bad);
        CHECK(f.table.eligible("notices", f.now).size() == 2);
    }
}

TEST_CASE("Ejection is limited to its share of minions and never ejects the last one")
{
    Fixture f;
    std::vector<MinionStatus> minions;
    minions.reserve(10);
    for (int i = 0; i < 10; ++i)
        minions.push_back(status("m" + std::to_string(i)));
    f.table.update("agent-1", 1, heartbeat(1, "a", minions), f.now);
    for (const auto &named : minions) {
        Minion &minion = *f.table.find("agent-1", named.name);
        for (int i = 0; i < 20; ++i) {
            f.table.started(minion, f.now);
            f.table.failed(minion, f.now);
        }
    }
    CHECK(f.table.eligible("notices", f.now).size() == 5);
    CHECK(maxEjectedMinions({}, 1) == 0);
    CHECK(maxEjectedMinions({}, 2) == 1);
    CHECK(maxEjectedMinions({.maxEjectedShare = 1.0}, 3) == 2);
}
