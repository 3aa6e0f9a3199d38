#include "Support/cluster.h"
#include "Support/httpcall.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace Oleander::Testing;

namespace {

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("Every process serves its state and metrics, and dumps its state on SIGUSR1")
{
    ClusterOptions options;
    options.entries = 1;
    options.agents = 1;
    Cluster cluster(options);
    REQUIRE(cluster.start());
    for (const auto &door : {cluster.operatorDoor(0), cluster.agentOperatorDoor(0)}) {
        const auto dump = httpCall(door, {"GET", "/v1/dump", {}, {}});
        REQUIRE(dump);
        CHECK(dump->status == 200);
        CHECK(contains(dump->body, "process self id="));
        const auto shown = cluster.run({"dump", door});
        CHECK(shown.exitCode == 0);
        CHECK(contains(shown.output, "process self id="));
        const auto metrics = httpCall(door, {"GET", "/metrics", {}, {}});
        REQUIRE(metrics);
        CHECK(metrics->status == 200);
    }
    for (auto *process : {&cluster.entry(0), &cluster.agent(0)}) {
        process->signal(SIGUSR1);
        CHECK(waitFor([&] { return process->standardError().starts_with("process self id="); }));
        process->signal(SIGTERM);
        const auto end = process->wait();
        REQUIRE(end);
        CHECK(end->exitCode == 0);
        CHECK(contains(process->standardOutput(), "name=process.stopping"));
        CHECK(contains(process->standardOutput(), "name=process.stopped"));
    }
}

TEST_CASE("An address in use makes the start fail with an exit code and a log line naming it")
{
    ClusterOptions options;
    options.entries = 1;
    options.agents = 0;
    Cluster cluster(options);
    REQUIRE(cluster.start());
    const auto second = cluster.startAnotherEntry(0);
    CHECK(second.exitCode != 0);
    CHECK(second.exitCode != -1);
    CHECK(contains(second.output, "name=process.start-failed"));
    CHECK(contains(second.output, cluster.linkAddress(0)));
}
