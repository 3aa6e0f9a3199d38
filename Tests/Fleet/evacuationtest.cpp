#include "Support/fleetcluster.h"

#include <catch2/catch.hpp>

using namespace Oleander::Testing;
using Catch::Matchers::Contains;

namespace {

constexpr std::size_t Hosts = FleetCluster::Controls;

/** Three control hosts that know two failure domains, without other processes. */
struct ControlGroup
{
    FleetCluster cluster;

    ControlGroup()
    {
        cluster.setFailureDomains("east,west");
        for (std::size_t i = 0; i < Hosts; ++i)
            cluster.startControl(i, true);
        waitForLeader();
    }

    void waitForLeader()
    {
        REQUIRE(waitFor([this] { return cluster.leader() < Hosts; }));
    }

    /** Repeats a call as operators do until it gets a conclusive response; returns its status. */
    int change(std::size_t control, const std::string &method, const std::string &name)
    {
        int status = 0;
        waitFor([&] {
            status = cluster.operate(control, method, "/oleanderusher/evacuations/" + name).status;
            return status != 0 && status < 500;
        });
        return status;
    }

    std::string list(std::size_t control)
    {
        HttpReply reply;
        waitFor([&] {
            reply = cluster.operate(control, "GET", "/v1/evacuations");
            return reply.status == 200;
        });
        return reply.body;
    }

    /** Part of the list that shows the state of \a name. */
    static std::string entry(const std::string &name, bool requested, int revision)
    {
        return R"("failure-domain":")" + name + R"(","requested":)" + (requested ? "true" : "false")
               + R"(,"revision":)" + std::to_string(revision);
    }
};

} // namespace

TEST_CASE("An acknowledged evacuation outlives a restart of all control hosts and its leader")
{
    // Guards against a request that is kept in memory, or in the settings, of one process only.
    ControlGroup group;
    REQUIRE(group.change(0, "POST", "west") == 200);
    for (std::size_t i = 0; i < Hosts; ++i)
        group.cluster.control(i).kill();
    for (std::size_t i = 0; i < Hosts; ++i)
        group.cluster.startControl(i, false);
    group.waitForLeader();
    CHECK_THAT(group.list(1), Contains(ControlGroup::entry("west", true, 1)));

    const std::size_t killed = group.cluster.leader();
    REQUIRE(killed < Hosts);
    group.cluster.control(killed).kill();
    const std::size_t other = (killed + 1) % Hosts;
    CHECK_THAT(group.list(other), Contains(ControlGroup::entry("west", true, 1)));
    CHECK(group.change(other, "DELETE", "west") == 200);
    CHECK_THAT(group.list(other), Contains(ControlGroup::entry("west", false, 2)));
}

TEST_CASE("A control host without a data folder takes requests for several failure domains")
{
    // Guards against a call that depends on a local copy of the state: this host knows no revision.
    ControlGroup group;
    const std::size_t diskless = group.cluster.addControl();
    group.cluster.startDiskless(diskless);
    REQUIRE(group.change(diskless, "POST", "west") == 200);
    CHECK(group.change(diskless, "POST", "west") == 200);
    CHECK(group.change(1, "POST", "east") == 200);
    CHECK_THAT(group.list(diskless), Contains(ControlGroup::entry("west", true, 1))
                                         && Contains(ControlGroup::entry("east", true, 1)));
    CHECK(group.change(2, "DELETE", "west") == 200);
    CHECK(group.change(diskless, "DELETE", "west") == 200);
    CHECK(group.change(diskless, "POST", "west") == 200);
    CHECK_THAT(group.list(0), Contains(ControlGroup::entry("west", true, 3)));

    const HttpReply unknown =
        group.cluster.operate(diskless, "POST", "/oleanderusher/evacuations/north");
    CHECK(unknown.status == 422);
    CHECK_THAT(unknown.body, Contains("'north'") && Contains("east, west"));
    CHECK(group.change(0, "DELETE", "north") == 422);
    CHECK(group.change(0, "POST", "") == 400);
    CHECK_THAT(group.list(0), !Contains("north"));
}

TEST_CASE("A resumed control host does not act on a request whose caller has gone")
{
    // Without the check the host evacuated the failure domain again after its withdrawal.
    ControlGroup group;
    const std::size_t frozen = (group.cluster.leader() + 1) % Hosts;
    const std::size_t other = (frozen + 1) % Hosts;
    group.cluster.control(frozen).freeze();
    CHECK(group.cluster
              .operate(frozen, "POST", "/oleanderusher/evacuations/west",
                       std::chrono::milliseconds(300))
              .status
          == 0);
    REQUIRE(group.change(other, "POST", "west") == 200);
    REQUIRE(group.change(other, "DELETE", "west") == 200);
    group.cluster.control(frozen).resume();
    CHECK(waitFor([&] {
        return group.cluster.control(frozen).standardOutput().find("name=evacuation.abandoned")
               != std::string::npos;
    }));
    CHECK_THAT(group.list(frozen), Contains(ControlGroup::entry("west", false, 2)));
}

TEST_CASE("Without a quorum a request is refused and changes nothing")
{
    // Guards against a request that takes effect after its caller was told that it did not run.
    FleetCluster cluster;
    cluster.setFailureDomains("west");
    cluster.startControl(0, true);
    const auto status = [&](const std::string &method, const std::string &path) {
        return cluster.operate(0, method, path).status;
    };
    REQUIRE(waitFor([&] { return status("GET", "/metrics") == 200; }));
    CHECK(status("POST", "/oleanderusher/evacuations/west") == 503);
    CHECK(status("POST", "/v1/evacuations/west") == 503);
    for (std::size_t i = 1; i < Hosts; ++i)
        cluster.startControl(i, true);
    REQUIRE(waitFor([&] { return status("GET", "/v1/evacuations") == 200; }));
    CHECK_THAT(cluster.operate(0, "GET", "/v1/evacuations").body, Contains(R"("evacuations":[])"));
}

TEST_CASE("Evacuations are not offered without failure domains in the settings")
{
    // Guards against a deployment whose behaviour changes although its settings did not.
    FleetCluster cluster;
    cluster.startControl(0, true);
    const auto status = [&](const std::string &method, const std::string &path) {
        return cluster.operate(0, method, path).status;
    };
    REQUIRE(waitFor([&] { return status("GET", "/metrics") == 200; }));
    CHECK(status("POST", "/oleanderusher/evacuations/west") == 404);
    CHECK(status("DELETE", "/v1/evacuations/west") == 404);
    CHECK(status("GET", "/v1/evacuations") == 404);
}

TEST_CASE("The command line requests, lists and withdraws an evacuation")
{
    ControlGroup group;
    const auto run = [&](std::vector<std::string> words) {
        words.insert(words.begin(), OLEANDER_PROGRAM);
        words.push_back("--server=" + group.cluster.operatorAddress(1));
        return runCommand(std::move(words));
    };
    const auto listed = [&] { return run({"evacuations"}).output; };
    REQUIRE(run({"evacuate", "west"}).exitCode == 0);
    CHECK_THAT(listed(), Contains("west") && Contains("yes") && Contains("east"));
    REQUIRE(run({"end-evacuation", "west"}).exitCode == 0);
    CHECK_THAT(listed(), !Contains("yes"));
    const CommandResult unknown = run({"evacuate", "north"});
    CHECK(unknown.exitCode == 1);
    CHECK_THAT(unknown.errors, Contains("known are east, west"));
    CHECK(run({"evacuate", "a b"}).exitCode == 2);
}
