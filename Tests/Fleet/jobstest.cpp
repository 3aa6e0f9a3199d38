#include "Support/fleetcluster.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <set>

using namespace Oleander::Testing;

namespace {

constexpr const char *FirstId = "00000000000000a1";
constexpr const char *TwoSteps =
    R"({"spec":"work","steps":[{"count":3,"cpu":1000,"memMb":100,"estimateMs":100},)"
    R"({"count":2,"cpu":1000,"memMb":100,"estimateMs":100,"dependsOn":[0]}]})";
constexpr const char *OneTask =
    R"({"spec":"work","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":100}]})";
constexpr const char *Failing =
    R"({"spec":"fail","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":100}]})";

std::string idOf(int number)
{
    std::string text = std::to_string(number);
    return std::string(16 - text.size(), '0') + text;
}

} // namespace

TEST_CASE("A job of two steps submitted at one entry runs completely and is visible at another")
{
    FleetCluster fleet;
    REQUIRE(fleet.start());
    REQUIRE(fleet.submit(0, FirstId, TwoSteps) == 200);
    CHECK(fleet.submit(1, FirstId, TwoSteps) == 200);
    CHECK(fleet.reachesState(FirstId, "completed"));
    CHECK(fleet.state(1, FirstId) == "completed");
    const auto starts = fleet.starts();
    CHECK(starts.size() == 5);
    CHECK(std::set<std::string>(starts.begin(), starts.end()).size() == 5);
    CHECK(fleet.call(0, "GET", "/press/").body == R"({"pending":0})");
    CHECK(fleet.state(0, "00000000000000ff") == "410");
    CHECK(fleet.call(0, "GET", "/other/").status == 404);
}

TEST_CASE("Each process serves its metrics at its own address")
{
    using Catch::Matchers::Contains;
    FleetCluster fleet;
    REQUIRE(fleet.start());
    REQUIRE(fleet.submit(0, FirstId, TwoSteps) == 200);
    REQUIRE(fleet.reachesState(FirstId, "completed"));
    const std::string metrics = fleet.metrics();
    CHECK_THAT(metrics, !Contains("no metrics at"));
    for (const char *line :
         {"oleander_call_seconds_count{call=\"submit\"} 1\n",
          "oleander_job_start_wait_seconds_count{after=\"acceptance\"} 1\n",
          "oleander_runs_ended_total{how=\"0\"} 5\n", "# TYPE oleander_commit_seconds histogram"})
        CHECK_THAT(metrics, Contains(line));
}

TEST_CASE("A job that always fails is attempted up to the limit of its queue")
{
    FleetCluster fleet;
    REQUIRE(fleet.start());
    REQUIRE(fleet.submit(0, FirstId, Failing) == 200);
    CHECK(fleet.reachesState(FirstId, "failed"));
    CHECK(fleet.starts().size() == 2);
}

TEST_CASE("A cancelled job is shown as cancelled, and its tasks are stopped")
{
    FleetCluster fleet;
    REQUIRE(fleet.start());
    for (std::size_t i = 0; i < FleetCluster::Machines; ++i)
        fleet.startMinion(i, 600'000);
    REQUIRE(fleet.submit(0, FirstId, OneTask) == 200);
    REQUIRE(waitFor([&] { return fleet.starts().size() == 1; }));
    CHECK(fleet.call(1, "DELETE", std::string("/press/") + FirstId).status == 200);
    CHECK(fleet.state(0, FirstId) == "cancelled");
    CHECK(fleet.call(0, "DELETE", std::string("/press/") + FirstId).status == 200);
    CHECK(fleet.call(0, "DELETE", "/press/00000000000000ff").status == 410);
}

TEST_CASE("Invalid input is answered with an error and changes nothing")
{
    FleetCluster fleet;
    REQUIRE(fleet.start());
    CHECK(fleet.submit(0, FirstId, "{\"spec\":") == 400);
    CHECK(fleet.submit(0, FirstId, R"({"spec":"x","steps":[]})") == 400);
    CHECK(fleet.submit(0, "not-an-id", OneTask) == 400);
    CHECK(fleet.state(0, FirstId) == "410");
    const std::string body = FleetCluster::configuration(9);
    CHECK(fleet.configure(1, body.substr(0, body.size() / 2)) == 400);
    CHECK(fleet.configure(1, R"({"version":9,"routes":[],"services":"none","limits":{}})") == 400);
    CHECK(fleet.readConfiguration(2) == FleetCluster::configuration(1));
}

TEST_CASE("Every control host returns the highest version of the configuration")
{
    FleetCluster fleet;
    REQUIRE(fleet.start());
    CHECK(waitFor([&] { return fleet.configure(1, FleetCluster::configuration(7)) == 200; }));
    CHECK(waitFor([&] { return fleet.configure(2, FleetCluster::configuration(3)) == 200; }));
    CHECK(waitFor([&] { return fleet.configure(0, FleetCluster::configuration(7)) == 200; }));
    CHECK(waitFor([&] { return fleet.configure(0, FleetCluster::configuration(7, 5)) == 409; }));
    for (std::size_t i = 0; i < FleetCluster::Controls; ++i)
        CHECK(fleet.readConfiguration(i) == FleetCluster::configuration(7));
}

TEST_CASE("Jobs continue when the leader is killed, and no task runs twice")
{
    FleetCluster fleet;
    REQUIRE(fleet.start());
    for (int i = 1; i <= 10; ++i)
        REQUIRE(fleet.submit(0, idOf(i), TwoSteps) == 200);
    const std::size_t leader = fleet.leader();
    REQUIRE(leader < FleetCluster::Controls);
    fleet.control(leader).kill();
    for (int i = 11; i <= 20; ++i)
        REQUIRE(fleet.submit(1, idOf(i), TwoSteps) == 200);
    fleet.startControl(leader, false);
    for (int i = 1; i <= 20; ++i)
        CHECK(fleet.reachesState(idOf(i), "completed"));
    const auto starts = fleet.starts();
    CHECK(starts.size() == 100);
    CHECK(std::set<std::string>(starts.begin(), starts.end()).size() == 100);
}

TEST_CASE("No task starts again when more ends wait at a minion than it lists at a time")
{
    // The unlisted runs were taken for runs that had never started.
    constexpr std::size_t Tasks = 3'000;
    const std::string wide = R"({"spec":"work","steps":[{"count":)" + std::to_string(Tasks)
                             + R"(,"cpu":1,"memMb":1,"estimateMs":100}]})";
    FleetCluster fleet;
    REQUIRE(fleet.start());
    for (std::size_t i = 0; i < FleetCluster::Machines; ++i)
        fleet.startMinion(i, 600'000);
    REQUIRE(fleet.submit(0, FirstId, wide) == 200);
    REQUIRE(waitFor([&] { return fleet.starts().size() == Tasks; }));
    REQUIRE(fleet.finishRuns());
    CHECK(fleet.reachesState(FirstId, "completed"));
    CHECK(fleet.starts().size() == Tasks);
}

TEST_CASE("Accepted jobs and configurations survive when every control host is killed")
{
    FleetCluster fleet;
    REQUIRE(fleet.start());
    REQUIRE(fleet.submit(0, FirstId, TwoSteps) == 200);
    // An operator sends an order without an answer in time again.
    REQUIRE(waitFor([&] { return fleet.configure(0, FleetCluster::configuration(4)) == 200; }));
    for (std::size_t i = 0; i < FleetCluster::Controls; ++i)
        fleet.control(i).kill();
    for (std::size_t i = 0; i < FleetCluster::Controls; ++i)
        fleet.startControl(i, false);
    CHECK(fleet.reachesState(FirstId, "completed"));
    CHECK(waitFor([&] { return fleet.readConfiguration(1) == FleetCluster::configuration(4); }));
}

TEST_CASE("A control host with an emptied disk rejoins as a voter and completes the quorum")
{
    FleetCluster fleet;
    REQUIRE(fleet.start());
    REQUIRE(fleet.submit(0, FirstId, OneTask) == 200);
    fleet.control(2).kill();
    std::filesystem::remove_all(fleet.dataFolder(2));
    REQUIRE(waitFor([&] { return fleet.configure(0, FleetCluster::configuration(2)) == 200; }));
    fleet.startControl(2, false);
    REQUIRE(waitFor([&] {
        return fleet.readConfiguration(2) == FleetCluster::configuration(2)
               && fleet.control(2).standardOutput().find("control.leader-followed")
                      != std::string::npos;
    }));
    // Once the restored host votes, the group tolerates the loss of another host.
    REQUIRE(waitFor([&] { return fleet.voterCountAt(2) == FleetCluster::Controls; }));
    fleet.control(1).kill();
    CHECK(waitFor([&] { return fleet.configure(0, FleetCluster::configuration(3)) == 200; }));
    CHECK(fleet.reachesState(FirstId, "completed"));
}

TEST_CASE("A voter that was removed while it was silent is a voter again after its return")
{
    FleetCluster fleet;
    REQUIRE(fleet.start());
    fleet.startControl(fleet.addControl(), false);
    REQUIRE(waitFor([&] { return fleet.voterCountAt(0) == FleetCluster::Controls + 1; }));
    const std::size_t leader = fleet.leader();
    REQUIRE(leader < FleetCluster::Controls);
    const std::size_t silent = (leader + 1) % FleetCluster::Controls;
    const auto reachesVoterCount = [&](std::size_t count) {
        if (waitFor([&] { return fleet.voterCountAt(leader) == count; }))
            return true;
        UNSCOPED_INFO("leader " << leader << ", silent " << silent);
        for (std::size_t host = 0; host <= FleetCluster::Controls; ++host) {
            UNSCOPED_INFO("control host " << host << " wrote:\n"
                                          << fleet.control(host).standardOutput());
        }
        return false;
    };
    fleet.control(silent).freeze();
    REQUIRE(reachesVoterCount(FleetCluster::Controls));
    fleet.control(silent).resume();
    CHECK(reachesVoterCount(FleetCluster::Controls + 1));
}

TEST_CASE("A restarted agent resumes tracking the runs of its minion")
{
    FleetCluster fleet;
    REQUIRE(fleet.start());
    for (std::size_t i = 0; i < FleetCluster::Machines; ++i)
        fleet.startMinion(i, 1'500);
    for (int i = 1; i <= 6; ++i)
        REQUIRE(fleet.submit(0, idOf(i), OneTask) == 200);
    REQUIRE(waitFor([&] { return fleet.starts().size() == 6; }));
    for (std::size_t i = 0; i < FleetCluster::Machines; ++i) {
        fleet.agent(i).kill();
        fleet.startAgent(i);
    }
    for (int i = 1; i <= 6; ++i)
        CHECK(fleet.reachesState(idOf(i), "completed"));
    CHECK(fleet.starts().size() == 6);
}

TEST_CASE("SIGHUP reloads the settings, and SIGTERM ends each process with exit code 0")
{
    FleetCluster fleet;
    REQUIRE(fleet.start());
    fleet.control(0).signal(SIGHUP);
    fleet.entry(0).signal(SIGHUP);
    fleet.agent(0).signal(SIGHUP);
    for (auto *process : {&fleet.control(0), &fleet.entry(0), &fleet.agent(0)}) {
        CHECK(waitFor([&] {
            return process->standardOutput().find("settings.reloaded") != std::string::npos;
        }));
        process->signal(SIGTERM);
        const auto end = process->wait();
        REQUIRE(end.has_value());
        CHECK(end->exitCode == 0);
    }
    CHECK(fleet.submit(1, FirstId, OneTask) == 200);
}
