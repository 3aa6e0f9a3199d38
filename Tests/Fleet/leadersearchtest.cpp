#include "Support/fleetcluster.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Oleander::Testing;

namespace {

/** A fleet of three voters, one of which has been replaced, and control hosts without disks. */
struct SearchingFleet : FleetCluster
{
    std::vector<std::size_t> voters;
    std::vector<std::size_t> diskless;
    int version = 1;

    explicit SearchingFleet(std::size_t disklessHosts)
    {
        REQUIRE(start());
        const std::size_t replacement = addControl();
        startControl(replacement, false);
        REQUIRE(waitFor([&] { return voterCountAt(0) == Controls + 1; }));
        control(2).kill();
        REQUIRE(waitFor([&] { return voterCountAt(0) == Controls; }));
        voters = {0, 1, replacement};
        for (std::size_t i = 0; i < disklessHosts; ++i) {
            diskless.push_back(addControl());
            startDiskless(diskless.back());
        }
        // A process that has just started does not handle SIGHUP yet.
        REQUIRE(othersAreConnected());
    }

    void killAll()
    {
        for (const std::size_t host : allControls())
            control(host).kill();
        for (std::size_t i = 0; i < Entries; ++i)
            entry(i).kill();
        for (std::size_t i = 0; i < Machines; ++i)
            agent(i).kill();
    }
    void startVoters()
    {
        for (const std::size_t host : voters)
            startControl(host, false);
    }
    void startOthers()
    {
        for (const std::size_t host : diskless)
            startDiskless(host);
        for (std::size_t i = 0; i < Entries; ++i)
            startEntry(i);
        for (std::size_t i = 0; i < Machines; ++i)
            startAgent(i);
    }
    /** Waits until every process but the voters has connected to another, so that it has asked. */
    bool othersAreConnected()
    {
        return waitFor([&] {
            return std::ranges::all_of(others(), [](ChildProcess *process) {
                return process->standardOutput().find("peer.connected") != std::string::npos;
            });
        });
    }
    /** Waits until every process reaches the leader; returns false after a timeout. */
    bool everyProcessFindsLeader()
    {
        ++version;
        const std::string body = configuration(version);
        for (const std::size_t host : allControls()) {
            if (!waitFor([&] { return configure(host, body) == 200; })) {
                UNSCOPED_INFO("control host " << host << " reaches no leader:\n"
                                              << control(host).standardOutput());
                return false;
            }
        }
        for (std::size_t i = 0; i < Entries; ++i) {
            if (call(i, "GET", "/press/").status != 200) {
                UNSCOPED_INFO("entry " << i << " reaches no leader:\n"
                                       << entry(i).standardOutput());
                return false;
            }
        }
        return waitFor([&] {
            return std::ranges::all_of(others(), [](ChildProcess *process) {
                return process->standardOutput().find("control.leader-followed")
                       != std::string::npos;
            });
        });
    }

private:
    std::vector<std::size_t> allControls() const
    {
        std::vector<std::size_t> all = voters;
        all.insert(all.end(), diskless.begin(), diskless.end());
        return all;
    }
    std::vector<ChildProcess *> others()
    {
        std::vector<ChildProcess *> all;
        for (const std::size_t host : diskless)
            all.push_back(&control(host));
        for (std::size_t i = 0; i < Entries; ++i)
            all.push_back(&entry(i));
        for (std::size_t i = 0; i < Machines; ++i)
            all.push_back(&agent(i));
        return all;
    }
};

} // namespace

TEST_CASE("Every process finds the leader through seeds without disks that start before it leads")
{
    SearchingFleet fleet(4);
    fleet.setSeeds({fleet.diskless[0], fleet.diskless[1]});
    fleet.killAll();
    const bool seedsFirst = GENERATE(true, false);
    if (seedsFirst) {
        fleet.startOthers();
        REQUIRE(fleet.othersAreConnected());
        fleet.startVoters();
    } else {
        fleet.startVoters();
        fleet.startOthers();
    }
    REQUIRE(fleet.everyProcessFindsLeader());

    fleet.setSeeds({fleet.diskless[2], fleet.diskless[3]});
    fleet.startEntry(0);
    REQUIRE(fleet.everyProcessFindsLeader());
    fleet.killAll();
    fleet.startOthers();
    REQUIRE(fleet.othersAreConnected());
    fleet.startVoters();
    CHECK(fleet.everyProcessFindsLeader());
}

TEST_CASE("A seed without a disk that restarts alone names the leader to a process that starts")
{
    SearchingFleet fleet(2);
    fleet.setSeeds({fleet.diskless[0], fleet.diskless[1]});
    REQUIRE(fleet.everyProcessFindsLeader());
    fleet.control(fleet.diskless[0]).kill();
    fleet.control(fleet.diskless[1]).kill();
    fleet.startEntry(0);
    fleet.startAgent(0);
    fleet.startDiskless(fleet.diskless[0]);
    CHECK(fleet.call(0, "GET", "/press/").status == 200);
    CHECK(waitFor([&] {
        return fleet.agent(0).standardOutput().find("control.leader-followed") != std::string::npos;
    }));
}

TEST_CASE("A seed that was frozen while the leader changed misleads no process when it resumes")
{
    SearchingFleet fleet(2);
    fleet.setSeeds({fleet.diskless[0], fleet.diskless[1]});
    REQUIRE(fleet.everyProcessFindsLeader());
    fleet.control(fleet.diskless[0]).freeze();
    const std::size_t leader = fleet.leader();
    fleet.control(leader < FleetCluster::Controls ? leader : fleet.voters[2]).kill();
    fleet.startEntry(0);
    fleet.startAgent(0);
    fleet.control(fleet.diskless[0]).resume();
    CHECK(fleet.call(0, "GET", "/press/").status == 200);
    CHECK(fleet.call(1, "GET", "/press/").status == 200);
    const std::string body = FleetCluster::configuration(9);
    for (const std::size_t host : fleet.diskless)
        CHECK(waitFor([&] { return fleet.configure(host, body) == 200; }));
    CHECK(waitFor([&] {
        return fleet.agent(0).standardOutput().find("control.leader-followed") != std::string::npos;
    }));
}

TEST_CASE("A control host with an empty disk whose seeds hold no disk joins the group")
{
    SearchingFleet fleet(2);
    fleet.setSeeds({fleet.diskless[0], fleet.diskless[1]});
    const std::size_t added = fleet.addControl();
    fleet.startControl(added, false);
    CHECK(waitFor([&] { return fleet.voterCountAt(added) == FleetCluster::Controls + 1; }));
}
