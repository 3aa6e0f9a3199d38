// Measures the time from the acceptance of a configuration until it is in force in every process,
// with one agent's links cut before the acceptance and healed a second after it. The figure is the
// longest time of several rounds.

#include "Support/cluster.h"
#include "Support/httpcall.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <thread>

using namespace Oleander::Testing;
using Clock = std::chrono::steady_clock;
using nlohmann::json;

namespace {

constexpr int Rounds = 5;
constexpr std::size_t Agents = 6;
constexpr std::size_t Entries = 3;
constexpr auto CutTime = std::chrono::seconds(1);
constexpr auto RoundLimit = std::chrono::seconds(30);
constexpr double TargetSeconds = 4.0;

json call(const Cluster &cluster, std::size_t entry, const std::string &method,
          const std::string &path, const std::string &body = {},
          std::vector<CallHeader> headers = {})
{
    const auto reply =
        httpCall(cluster.operatorDoor(entry), {method, path, std::move(headers), body});
    return reply && reply->status < 300 ? json::parse(reply->body) : json();
}

/** Returns whether \a entry reports \a version or a later one as in force in every process. */
bool isInForceEverywhere(const Cluster &cluster, std::size_t entry, std::uint64_t version)
{
    const auto status = call(cluster, entry, "GET", "/v1/status");
    if (status.is_null())
        return false;
    const auto &configuration = status["configuration"];
    return configuration["version"] >= version
           && configuration["in-force-at"].size() == Agents + Entries;
}

bool waitUntilInForceEverywhere(const Cluster &cluster, std::size_t entry, std::uint64_t version)
{
    const auto end = Clock::now() + RoundLimit;
    while (!isInForceEverywhere(cluster, entry, version)) {
        if (Clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

/** Returns the seconds of one round, or a negative value if it failed. */
double measureRound(Cluster &cluster, int round)
{
    const auto agent = "agent-" + std::to_string(static_cast<std::size_t>(round) % Agents + 1);
    const auto entry = static_cast<std::size_t>(round) % Entries;
    cluster.isolate(agent);
    std::vector<CallHeader> headers{{"Oleander-Operator", "bench"}};
    if (round > 0)
        headers.push_back({"If-Match", std::to_string(round)});
    const auto body = fmt::format(R"({{"schema":2,"values":{{"round":"{}"}}}})", round);
    const auto accepted =
        call(cluster, entry, "PUT", "/v1/records/configuration/bench", body, headers);
    if (accepted.is_null())
        return -1;
    const auto start = Clock::now();
    std::this_thread::sleep_for(CutTime);
    cluster.heal();
    if (!waitUntilInForceEverywhere(cluster, entry, accepted["index"].get<std::uint64_t>()))
        return -1;
    return std::chrono::duration<double>(Clock::now() - start).count();
}

} // namespace

int main()
{
    ClusterOptions options;
    options.entries = Entries;
    options.agents = Agents;
    options.workers = false;
    options.forwardLinks = true;
    Cluster cluster(options);
    if (!cluster.start() || !waitUntilInForceEverywhere(cluster, 0, 0)) {
        fmt::print(stderr, "config bench: the cluster did not start\n");
        return EXIT_FAILURE;
    }
    double longest = 0;
    for (int round = 0; round < Rounds; ++round) {
        const double seconds = measureRound(cluster, round);
        if (seconds < 0) {
            fmt::print(stderr, "config bench: round {} failed\n", round + 1);
            return EXIT_FAILURE;
        }
        fmt::print(stderr, "config bench: round {}: {:.2f} s, including {} s with the links cut\n",
                   round + 1, seconds, CutTime.count());
        longest = std::max(longest, seconds);
    }
    fmt::print("figure config.in_force {:.2f} s target <={}\n", longest, TargetSeconds);
    return EXIT_SUCCESS;
}
