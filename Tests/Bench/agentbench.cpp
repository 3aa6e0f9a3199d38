// Measures the control overhead of an agent whose worker is busy: 15 batch tasks run, and 8
// requests that outlast the measurement occupy the minion's slots, so that all traffic is control
// traffic.

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
constexpr std::chrono::seconds SettlingTime(5);
constexpr std::chrono::seconds MeasurementTime(20);
constexpr std::chrono::seconds RequestDuration(55);
constexpr double MiB = 1024.0 * 1024.0;

const std::string TaskRecord = R"({"schema": 2, "team": "bench", "payload": "run",)"
                               R"( "resources": {"milli-cores": 900, "memory-mib": 2048}})";

bool submitTasks(const Cluster &cluster)
{
    for (int i = 0; i < Tasks; ++i) {
        const auto result =
            cluster.operate(0, {"submit", fmt::format("batch/job-{}", i), "-"}, TaskRecord);
        if (result.exitCode != 0) {
            fmt::print(stderr, "submit failed with exit code {}: {}\n", result.exitCode,
                       result.errors);
            return false;
        }
    }
    return true;
}

bool allTasksRunning(const Cluster &cluster)
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
    const auto delay = std::chrono::milliseconds(RequestDuration).count();
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
    if (!submitTasks(cluster) || !waitFor([&] { return allTasksRunning(cluster); })) {
        fmt::print(stderr, "the tasks did not start\n");
        return 1;
    }
    std::vector<std::thread> callers;
    callers.reserve(Slots);
    std::atomic<int> endedCalls = 0;
    for (int i = 0; i < Slots; ++i) {
        callers.emplace_back([&] {
            httpCall(cluster.callerDoor(0), slowCall(), RequestDuration + SettlingTime);
            ++endedCalls;
        });
    }
    std::this_thread::sleep_for(SettlingTime);
    const auto before = usageOf(cluster.agent(0).id());
    const auto bytesBefore = cluster.linkBytes("agent-1");
    std::this_thread::sleep_for(MeasurementTime);
    const auto after = usageOf(cluster.agent(0).id());
    const auto linkBytesDuringMeasurement = cluster.linkBytes("agent-1") - bytesBefore;
    const bool isStillBusy = endedCalls == 0 && allTasksRunning(cluster);

    const auto seconds = static_cast<double>(MeasurementTime.count());
    if (isStillBusy) {
        fmt::print("figure agent.memory {:.1f} MiB target <=32\n",
                   static_cast<double>(after.residentBytes) / MiB);
        fmt::print("figure agent.network {:.2f} KiB/s target <=2\n",
                   static_cast<double>(linkBytesDuringMeasurement) / 1024.0 / seconds);
        fmt::print("figure agent.processor {:.2f} % target <=1.6\n",
                   (after.processorSeconds - before.processorSeconds) * 100 / seconds);
    } else {
        fmt::print(stderr,
                   "{} requests ended, or tasks stopped, during the measurement; records:\n{}",
                   endedCalls.load(), cluster.operate(0, {"list"}).output);
    }
    // Killing the entry closes the callers' connections, which ends their threads.
    cluster.entry(0).kill();
    for (auto &caller : callers)
        caller.join();
    return isStillBusy ? 0 : 1;
}
