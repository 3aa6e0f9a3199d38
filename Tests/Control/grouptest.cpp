#include "Control/simulation.h"

#include <catch2/catch.hpp>

using namespace Oleander;

namespace {

constexpr Duration SettleTime = std::chrono::seconds(5);

/** A network without message faults; the tests inject all other faults explicitly. */
SimulationFaults reliableNetwork()
{
    SimulationFaults faults;
    faults.dropPercent = 0;
    faults.duplicatePercent = 0;
    faults.slowPercent = 0;
    return faults;
}

/** Proposes a command at the leader and returns whether it is committed within a second. */
bool commits(Simulation &simulation)
{
    const std::uint64_t before = simulation.highestCommitted();
    const std::string leader = simulation.leader();
    if (leader.empty() || !simulation.propose(leader, "command"))
        return false;
    simulation.run(std::chrono::seconds(1));
    return simulation.highestCommitted() > before;
}

std::vector<std::string> othersThan(const std::string &name)
{
    std::vector<std::string> others;
    for (const std::string other : {"a", "b", "c"}) {
        if (other != name)
            others.push_back(other);
    }
    return others;
}

bool isVoter(Simulation &simulation, const std::string &name)
{
    return simulation.committedMembership().isVoter(name, simulation.replica(name).incarnation());
}

} // namespace

TEST_CASE("A leader that can send but not receive is replaced and serves no reads")
{
    Simulation simulation(1, reliableNetwork());
    simulation.run(SettleTime);
    const std::string isolated = simulation.leader();
    REQUIRE(commits(simulation));
    for (const std::string &other : othersThan(isolated))
        simulation.cut(other, isolated);
    simulation.run(SettleTime);
    const std::uint64_t served = simulation.readsServed();
    simulation.read(isolated);
    simulation.run(std::chrono::seconds(2));
    CHECK(simulation.readsServed() == served);
    CHECK(simulation.leader() != isolated);
    CHECK(commits(simulation));
    simulation.healLinks();
    simulation.run(SettleTime);
    CHECK(commits(simulation));
    CHECK(simulation.violations().empty());
}

TEST_CASE("A leader that can receive but not send is replaced")
{
    Simulation simulation(2, reliableNetwork());
    simulation.run(SettleTime);
    const std::string silenced = simulation.leader();
    for (const std::string &other : othersThan(silenced))
        simulation.cut(silenced, other);
    simulation.run(SettleTime);
    CHECK(simulation.leader() != silenced);
    CHECK(commits(simulation));
    CHECK(simulation.violations().empty());
}

TEST_CASE("A follower that receives nothing from the leader does not disrupt it")
{
    Simulation simulation(3, reliableNetwork());
    simulation.run(SettleTime);
    const std::string leader = simulation.leader();
    const std::uint64_t term = simulation.replica(leader).term();
    simulation.cut(leader, othersThan(leader).front());
    simulation.run(SettleTime);
    CHECK(simulation.leader() == leader);
    CHECK(simulation.replica(leader).term() == term);
    CHECK(commits(simulation));
}

TEST_CASE("A leader that resumes after being frozen for 30 seconds appends nothing and serves no "
          "stale read")
{
    Simulation simulation(4, reliableNetwork());
    simulation.run(SettleTime);
    const std::string frozen = simulation.leader();
    REQUIRE(commits(simulation));
    // Also isolated, so that it learns of no other leader and must step down by its clock alone.
    for (const std::string &other : othersThan(frozen)) {
        simulation.cut(frozen, other);
        simulation.cut(other, frozen);
    }
    simulation.freeze(frozen, std::chrono::seconds(30));
    simulation.run(std::chrono::seconds(15));
    REQUIRE(simulation.leader() != frozen);
    REQUIRE(commits(simulation));
    simulation.run(std::chrono::seconds(14));
    const std::uint64_t last = simulation.replica(frozen).log().lastIndex();
    const std::uint64_t served = simulation.readsServed();
    CHECK_FALSE(simulation.propose(frozen, "late"));
    simulation.read(frozen);
    simulation.run(std::chrono::seconds(2));
    CHECK(simulation.replica(frozen).log().lastIndex() == last);
    CHECK(simulation.readsServed() == served);
    simulation.healLinks();
    simulation.run(SettleTime);
    CHECK(commits(simulation));
    CHECK(simulation.applied(frozen) == simulation.highestCommitted());
    CHECK(simulation.violations().empty());
}

TEST_CASE("The group keeps committing when a second host is lost right after a repair")
{
    Simulation simulation(5, reliableNetwork());
    simulation.run(SettleTime);
    for (int round = 0; round < 6; ++round) {
        REQUIRE(commits(simulation));
        const std::string lost =
            round % 2 == 0 ? simulation.leader() : othersThan(simulation.leader()).front();
        simulation.loseDisk(lost);
        for (int wait = 0; wait < 100 && !isVoter(simulation, lost); ++wait)
            simulation.run(std::chrono::milliseconds(100));
        REQUIRE(isVoter(simulation, lost));
        const std::string second = othersThan(lost)[static_cast<std::size_t>(round / 2) % 2];
        simulation.crash(second);
        simulation.run(SettleTime);
        CHECK(commits(simulation));
        simulation.restart(second);
        simulation.run(SettleTime);
    }
    CHECK(simulation.violations().empty());
}

TEST_CASE("A replica that is far behind catches up from a snapshot during writes")
{
    Simulation simulation(6, reliableNetwork());
    simulation.run(SettleTime);
    const std::string leader = simulation.leader();
    const std::string behind = othersThan(leader).front();
    simulation.crash(behind);
    for (int i = 0; i < 100; ++i) {
        REQUIRE(simulation.propose(leader, "while it was away"));
        simulation.run(std::chrono::milliseconds(10));
        simulation.takeSnapshot(leader);
    }
    simulation.run(std::chrono::seconds(1));
    REQUIRE(simulation.replica(leader).log().baseIndex() > 50);
    simulation.restart(behind);
    for (int i = 0; i < 100; ++i) {
        simulation.propose(leader, "while it catches up");
        simulation.run(std::chrono::milliseconds(10));
    }
    simulation.run(SettleTime);
    CHECK(simulation.applied(behind) == simulation.highestCommitted());
    CHECK(simulation.replica(behind).snapshotIndex() > 50);
    CHECK(simulation.violations().empty());
}

TEST_CASE("A new host replaces another, one membership change at a time")
{
    Simulation simulation(7, reliableNetwork());
    simulation.run(SettleTime);
    REQUIRE(commits(simulation));
    REQUIRE(simulation.addToGroup("d"));
    CHECK_FALSE(simulation.removeFromGroup("c"));
    simulation.addNode("d");
    simulation.run(SettleTime);
    REQUIRE(isVoter(simulation, "d"));
    REQUIRE(simulation.removeFromGroup("c"));
    simulation.run(SettleTime);
    CHECK(simulation.committedMembership().voterCount() == 3);
    CHECK(simulation.committedMembership().find("c") == nullptr);
    // The removed host does not disrupt the others, which tolerate the loss of one member.
    simulation.crash(simulation.leader() == "a" ? "b" : "a");
    simulation.run(SettleTime);
    CHECK(commits(simulation));
    CHECK(simulation.violations().empty());
}

TEST_CASE("Another leader is elected when the leader is removed from the group")
{
    Simulation simulation(8, reliableNetwork());
    simulation.run(SettleTime);
    const std::string removed = simulation.leader();
    REQUIRE(simulation.removeFromGroup(removed));
    simulation.run(SettleTime);
    CHECK(simulation.leader() != removed);
    CHECK(simulation.committedMembership().find(removed) == nullptr);
    CHECK(commits(simulation));
    CHECK(simulation.violations().empty());
}

TEST_CASE("A leader that resigns is replaced at once and its committed entries are kept")
{
    // Well under the election timeout of 400 ms: two round trips and a sync.
    constexpr Duration Handover = std::chrono::milliseconds(100);
    for (const std::uint64_t seed : {21U, 22U, 23U}) {
        Simulation simulation(seed, reliableNetwork());
        simulation.run(SettleTime);
        const std::string before = simulation.leader();
        REQUIRE(commits(simulation));
        const std::uint64_t committed = simulation.highestCommitted();
        simulation.resign(before);
        CHECK_FALSE(simulation.replica(before).holdsLease(simulation.localNow(before)));
        simulation.run(Handover);
        CHECK_FALSE(simulation.leader().empty());
        CHECK(simulation.leader() != before);
        CHECK(simulation.highestCommitted() >= committed);
        CHECK(commits(simulation));
        CHECK(simulation.violations().empty());
    }
}

TEST_CASE("Resigning leaders combined with other faults violate no invariant")
{
    for (std::uint64_t seed = 31; seed < 51; ++seed) {
        Simulation simulation(seed);
        for (int round = 0; round < 8; ++round) {
            simulation.runWithFaults(std::chrono::milliseconds(1'500));
            // This includes a leader that has been replaced without noticing.
            for (const std::string node : {"a", "b", "c"}) {
                if (simulation.isUp(node))
                    simulation.resign(node);
            }
        }
        simulation.healAndCheck();
        INFO("seed " << seed);
        CHECK(simulation.violations().empty());
    }
}

TEST_CASE("Nothing is committed while every disk is full, and writes resume once there is space")
{
    Simulation simulation(9, reliableNetwork());
    simulation.run(SettleTime);
    REQUIRE(commits(simulation));
    for (const std::string name : {"a", "b", "c"})
        simulation.setDiskFull(name, true);
    const std::uint64_t before = simulation.highestCommitted();
    simulation.run(SettleTime);
    CHECK(simulation.leader().empty());
    CHECK_FALSE(simulation.propose("a", "refused"));
    CHECK(simulation.highestCommitted() == before);
    for (const std::string name : {"a", "b", "c"})
        simulation.setDiskFull(name, false);
    simulation.run(SettleTime);
    CHECK(commits(simulation));
    CHECK(simulation.violations().empty());
}
