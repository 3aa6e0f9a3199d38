// Measures what control costs the agent of a busy worker: 15 batch tasks run and 8 slots of its
// minion are taken by requests that last longer than the measurement, so all traffic is control.

#include "Support/cluster.h"
#include "Support/httpcall.h"
#include "Support/processusage.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>
#include <vector>

using namespace Oleander::Testing;

namespace {

constexpr int Tasks = 15;
constexpr int Slots = 8;
constexpr std::chrono::seconds Settling(5);
constexpr std::chrono::seconds Measured(20);
constexpr std::chrono::seconds RequestTime(55);
constexpr double MiB = 1024.0 * 1024.0;

const std::string Record = R"({"schema": 2, "team": "bench", "payload": "run",)"
                           R"( "resources": {"milli-cores": 900, "memory-mib": 2048}})";

bool submitTasks(const Cluster &cluster)
{
    for (int i = 0; i < Tasks; ++i) {
        const auto result =
            cluster.operate(0, {"submit", fmt::format("batch/job-{}", i), "-"}, Record);
        if (result.exitCode != 0) {
            fmt::print(stderr, "submit ended with {}: {}\n", result.exitCode, result.errors);
            return false;
        }
    }
    return true;
}

bool allRun(const Cluster &cluster)
{
    const auto tasks = httpCall(cluster.workerAddress(0), {"GET", "/tasks", {}, {}});
    if (!tasks)
        return false;
    std::size_t running = 0;
    for (auto at = tasks->body.find("\"running\""); at != std::string::npos;
         at = tasks->body.find("\"running\"", at + 1))
        ++running;
    return running >= Tasks;
}

HttpCall slowCall()
{
    const auto delay = std::chrono::milliseconds(RequestTime).count();
    return {"GET",
            "/notices/slow",
            {{"Standin-Delay-Ms", std::to_string(delay)},
             {"Oleander-Timeout-Ms", std::to_string(delay + 4000)}},
            {}};
}

} // namespace

int main()
{
    ClusterOptions options;
    options.agents = 1;
    options.minions = true;
    options.forwardLinks = true;
    Cluster cluster(options);
    if (!cluster.start() || !waitFor([&] {
            const auto reply = httpCall(cluster.callerDoor(0), {"GET", "/notices/x", {}, {}});
            return reply && reply->status == 200;
        })) {
        fmt::print(stderr, "the cluster did not start\n");
        return 1;
    }
    if (!submitTasks(cluster) || !waitFor([&] { return allRun(cluster); })) {
        fmt::print(stderr, "the tasks do not run\n");
        return 1;
    }
    std::vector<std::thread> callers;
    callers.reserve(Slots);
    std::atomic<int> ended = 0;
    for (int i = 0; i < Slots; ++i) {
        callers.emplace_back([&] {
            httpCall(cluster.callerDoor(0), slowCall(), RequestTime + Settling);
            ++ended;
        });
    }
    std::this_thread::sleep_for(Settling);
    const auto before = usageOf(cluster.agent(0).id());
    const auto bytesBefore = cluster.linkBytes("agent-1");
    std::this_thread::sleep_for(Measured);
    const auto after = usageOf(cluster.agent(0).id());
    const auto bytes = cluster.linkBytes("agent-1") - bytesBefore;
    const bool stillBusy = ended == 0 && allRun(cluster);

    const auto seconds = static_cast<double>(Measured.count());
    if (stillBusy) {
        fmt::print("figure agent.memory {:.1f} MiB target <=32\n",
                   static_cast<double>(after.residentBytes) / MiB);
        fmt::print("figure agent.network {:.2f} KiB/s target <=2\n",
                   static_cast<double>(bytes) / 1024.0 / seconds);
        fmt::print("figure agent.processor {:.2f} % target <=1.6\n",
                   (after.processorSeconds - before.processorSeconds) * 100 / seconds);
    } else {
        fmt::print(stderr, "requests ended before the measurement did: {}; records:\n{}",
                   ended.load(), cluster.operate(0, {"list"}).output);
    }
    // The callers' connections end with their entry.
    cluster.entry(0).kill();
    for (auto &caller : callers)
        caller.join();
    return stillBusy ? 0 : 1;
}
