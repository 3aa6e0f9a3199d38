// Measures the load that agents put on three real entries: SIZE stand-in agents send heartbeats
// like agents of busy workers; memory and processor time of the entries and the traffic are
// measured.
//
//   capacity-links SIZE [SECONDS]

#include "Runtime/messenger.h"
#include "Support/cluster.h"
#include "Support/loopback.h"
#include "Support/processusage.h"

#include <fmt/format.h>

#include <array>
#include <cstdlib>
#include <memory>
#include <string_view>
#include <vector>

using namespace Oleander;
using Testing::Cluster;
using Testing::ClusterOptions;

namespace {

constexpr std::size_t Entries = 3;
constexpr Duration HeartbeatInterval = std::chrono::milliseconds(500);
constexpr int HeartbeatsPerUsageReport = 4;
constexpr int TasksPerWorker = 15;
constexpr Duration SettlingTime = std::chrono::seconds(5);

std::string entryName(std::size_t number)
{
    return fmt::format("entry-{}", number + 1);
}

/** Stand-in for the agent of a worker that runs tasks, with one minion. */
class StandinAgent
{
public:
    StandinAgent(EventLoop &loop, const Cluster &cluster, std::size_t number)
        : number_(number)
        , messenger_(loop, fmt::format("agent-{}", number), 1)
        , timer_(loop, [this] { sendHeartbeat(); })
    {
        const auto inbox = messenger_.listen("127.0.3.1:0");
        if (!inbox)
            std::abort();
        inbox_ = *inbox;
        for (std::size_t i = 0; i < Entries; ++i)
            messenger_.addPeer(entryName(i), cluster.linkAddress(i));
        messenger_.on<HeartbeatReply>([this](const Sender &, HeartbeatReply &&reply) {
            ++replies_;
            leases_ += reply.lease > Duration::zero() ? 1 : 0;
            if (!reply.leader.empty())
                leader_ = reply.leader;
        });
        timer_.startEvery(HeartbeatInterval);
    }

    std::uint64_t bytes() const { return messenger_.bytesSent() + messenger_.bytesReceived(); }
    std::uint64_t sent() const { return sent_; }
    std::uint64_t replies() const { return replies_; }
    std::uint64_t leases() const { return leases_; }

private:
    void sendHeartbeat()
    {
        Heartbeat heartbeat;
        heartbeat.stamp = ++stamp_;
        heartbeat.inbox = inbox_;
        heartbeat.location = {"region-1", fmt::format("domain-{}", number_ % 3),
                              fmt::format("rack-{}", number_ / 3)};
        heartbeat.capacity = {16'000, 61'440, 1};
        heartbeat.minions.push_back(
            {fmt::format("minion-{}", number_), "notices", MinionState::Serving, 8, 64, 8, 0});
        for (std::size_t i = 0; i < Entries; ++i)
            sent_ += messenger_.send(entryName(i),
                                     entryName(i) == leader_ ? withTasks(heartbeat) : heartbeat)
                         ? 1
                         : 0;
    }

    /** Adds the tasks to the heartbeat; only the leader needs them. */
    Heartbeat withTasks(Heartbeat heartbeat) const
    {
        for (int task = 0; task < TasksPerWorker; ++task) {
            const std::string id = fmt::format("job-{}-{}", number_, task);
            heartbeat.attempts.push_back({id, 1, AttemptState::Running, {}, stamp_ / 100});
            if (stamp_ % HeartbeatsPerUsageReport == 0)
                heartbeat.usage.push_back(
                    {id, 1, std::chrono::seconds(5), {900, 2'048, 0}, Duration::zero(), 0.9});
        }
        return heartbeat;
    }

    std::size_t number_;
    Messenger messenger_;
    Timer timer_;
    std::string inbox_;
    std::string leader_;
    std::uint64_t stamp_ = 0;
    std::uint64_t sent_ = 0;
    std::uint64_t replies_ = 0;
    std::uint64_t leases_ = 0;
};

struct Totals
{
    std::uint64_t bytes = 0;
    std::uint64_t sent = 0;
    std::uint64_t replies = 0;
    std::uint64_t leases = 0;
};

Totals totalsOf(const std::vector<std::unique_ptr<StandinAgent>> &agents)
{
    Totals totals;
    for (const auto &agent : agents) {
        totals.bytes += agent->bytes();
        totals.sent += agent->sent();
        totals.replies += agent->replies();
        totals.leases += agent->leases();
    }
    return totals;
}

void runFor(EventLoop &loop, Duration time)
{
    Timer end(loop, [&] { loop.stop(); });
    end.startOnce(time);
    loop.run();
}

void print(std::string_view name, std::size_t size, double value, std::string_view unit)
{
    fmt::print("capacity {} {} {:.4g} {}\n", name, size, value, unit);
}

std::size_t leaderOf(Cluster &cluster)
{
    std::size_t leader = 0;
    Testing::waitFor([&] {
        for (std::size_t i = 0; i < Entries; ++i) {
            const std::string log = cluster.entry(i).standardOutput();
            const auto elected = log.rfind("name=control.leader-elected");
            const auto stood = log.rfind("name=control.leader-stood-down");
            if (elected == std::string::npos || (stood != std::string::npos && stood > elected))
                continue;
            leader = i;
            return true;
        }
        return false;
    });
    return leader;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2) {
        fmt::print(stderr, "usage: capacity-links SIZE [SECONDS]\n");
        return 2;
    }
    const std::size_t size = std::strtoul(argv[1], nullptr, 10);
    const std::chrono::seconds time(argc > 2 ? std::strtol(argv[2], nullptr, 10) : 10);
    ClusterOptions options;
    options.agents = 0;
    Cluster cluster(options);
    if (!cluster.start()) {
        fmt::print(stderr, "the entries did not start:\n{}\n", cluster.entry(0).standardOutput());
        return 1;
    }
    leaderOf(cluster);

    EventLoop loop;
    std::vector<std::unique_ptr<StandinAgent>> agents;
    for (std::size_t i = 0; i < size; ++i)
        agents.push_back(std::make_unique<StandinAgent>(loop, cluster, i));
    runFor(loop, SettlingTime);

    const auto before = totalsOf(agents);
    std::array<Testing::ProcessUsage, Entries> usageBefore;
    for (std::size_t i = 0; i < Entries; ++i)
        usageBefore.at(i) = Testing::usageOf(cluster.entry(i).id());
    runFor(loop, time);
    const auto after = totalsOf(agents);
    const auto seconds = static_cast<double>(time.count());
    const auto rate = [&](std::uint64_t first, std::uint64_t last) {
        return static_cast<double>(last - first) / seconds;
    };
    const std::size_t leader = leaderOf(cluster);
    double followerProcessor = 0;
    double followerMemory = 0;
    for (std::size_t i = 0; i < Entries; ++i) {
        const auto usage = Testing::usageOf(cluster.entry(i).id());
        const double cores =
            (usage.processorSeconds - usageBefore.at(i).processorSeconds) / seconds;
        const auto memory = static_cast<double>(usage.residentBytes);
        if (i == leader) {
            print("links.leader_processor", size, cores * 100, "%");
            print("links.leader_memory", size, memory, "B");
        } else {
            followerProcessor = std::max(followerProcessor, cores * 100);
            followerMemory = std::max(followerMemory, memory);
        }
    }
    print("links.follower_processor", size, followerProcessor, "%");
    print("links.follower_memory", size, followerMemory, "B");
    print("links.heartbeats", size, rate(before.sent, after.sent), "1/s");
    print("links.replies", size, rate(before.replies, after.replies), "1/s");
    print("links.leases", size, rate(before.leases, after.leases), "1/s");
    print("links.bytes_per_agent", size,
          rate(before.bytes, after.bytes) / static_cast<double>(size), "B/s");
    return 0;
}
