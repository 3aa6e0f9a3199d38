#include "systemunderload.h"

#include "Support/processusage.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

namespace Oleander::Testing {

namespace {

/** Bytes that a process may hold for the requests and answers of all its HTTP servers. */
constexpr std::size_t RequestBudget = 32 * MiB;
/** Twice the budget: buffers and decoded values take more than their bytes. */
constexpr std::size_t MemoryBound = 2 * RequestBudget;
constexpr std::size_t MaxConnections = 256;
/** For connections that are being closed, and those between the processes. */
constexpr std::size_t SpareDescriptors = 64;
/** Longer than the first retry of a connection that did not fit into the listen queue. */
constexpr std::chrono::milliseconds SettleTime(1'500);
constexpr std::chrono::milliseconds SettleLimit(20'000);
constexpr std::chrono::milliseconds SamplePause(50);
constexpr std::chrono::milliseconds CallLimit(4'000);

std::string limitLines(const std::vector<std::string> &sections, std::size_t maxBody)
{
    std::string lines = "[http]\nrequest-budget = " + std::to_string(RequestBudget) + "B\n";
    for (const std::string &section : sections) {
        lines += '[' + section + "]\nmax-body = " + std::to_string(maxBody)
                 + "B\nmax-connections = " + std::to_string(MaxConnections)
                 + "\nidle-timeout = 5s\nrequest-timeout = 5s\nmax-header-fields = 100\n";
    }
    return lines;
}

struct Peak
{
    std::uint64_t residentBytes = 0;
    std::size_t descriptors = 0;
};

/** Returns the peak use of the process \a id until \a crowd has settled. */
Peak observe(pid_t id, const Crowd &crowd)
{
    const auto begin = std::chrono::steady_clock::now();
    auto now = begin;
    auto changedAt = begin;
    Peak peak;
    std::uint64_t lastSum = 0;
    while (now - changedAt < SettleTime && now - begin < SettleLimit) {
        peak.residentBytes = std::max(peak.residentBytes, peakResidentBytes(id));
        peak.descriptors = std::max(peak.descriptors, openDescriptors(id));
        const std::uint64_t sum = peak.residentBytes + peak.descriptors + crowd.sentBytes();
        if (std::exchange(lastSum, sum) != sum)
            changedAt = now;
        std::this_thread::sleep_for(SamplePause);
        now = std::chrono::steady_clock::now();
    }
    return peak;
}

} // namespace

void SystemUnderLoad::start(Host host)
{
    if (host == Host::Serve && !serve_) {
        ClusterOptions options;
        options.entries = 1;
        options.agents = 1;
        options.workers = false;
        options.minions = true;
        options.moreEntrySettings = limitLines({"caller-limits", "operator-limits"}, 2 * MiB);
        serve_ = std::make_unique<Cluster>(options);
        REQUIRE(serve_->start());
    }
    if (host == Host::Serve || fleet_)
        return;
    FleetOptions options;
    options.moreEntrySettings = limitLines({"caller-limits"}, 2 * MiB);
    // A configuration and a heartbeat of a minion may have 4 MiB.
    options.moreControlSettings = limitLines({"operator-limits"}, 4 * MiB);
    options.moreAgentSettings = limitLines({"minion-limits"}, 4 * MiB);
    fleet_ = std::make_unique<FleetCluster>(options);
    for (std::size_t i = 0; i < FleetCluster::Controls; ++i)
        fleet_->startControl(i, true);
    fleet_->startAgent(0);
    fleet_->startMinion(0);
    fleet_->startEntry(0);
    REQUIRE(configure(0));
}

ChildProcess &SystemUnderLoad::process(Host host)
{
    if (host == Host::Serve)
        return serve_->entry(0);
    if (host == Host::Control || host == Host::Leader)
        return fleet_->control(host == Host::Leader ? leader_ : 0);
    return host == Host::Agent ? fleet_->agent(0) : fleet_->entry(0);
}

void SystemUnderLoad::restart(Host host)
{
    start(host);
    if (host == Host::Leader)
        REQUIRE(waitFor([&] { return (leader_ = fleet_->leader()) < FleetCluster::Controls; }));
    else if (host == Host::Serve)
        serve_->startEntry(0);
    else if (host == Host::Control)
        fleet_->startControl(0, false);
    else if (host == Host::Agent)
        fleet_->startAgent(0);
    else
        fleet_->startEntry(0);
}

bool SystemUnderLoad::configure(std::size_t bytes)
{
    start(Host::Control);
    const std::string body = FleetCluster::configuration(++version_) + std::string(bytes, ' ');
    return waitFor([&] { return fleet_->configure(0, body) == 200; });
}

bool SystemUnderLoad::answersOrdinaryRequest(Host host)
{
    if (host == Host::Serve) {
        return waitFor([&] {
            const auto reply =
                httpCall(serve_->callerDoor(0), {"POST", "/notices/x", {}, "x"}, CallLimit);
            return reply && reply->status == 200 && serve_->operate(0, {"status"}).exitCode == 0;
        });
    }
    if (host == Host::Control && !waitFor([&] { return !fleet_->readConfiguration(0).empty(); }))
        return false;
    std::string id = std::to_string(++jobs_);
    id.insert(0, 16 - id.size(), '0');
    const std::string job =
        R"({"spec":"work","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":100}]})";
    return waitFor([&] { return fleet_->submit(0, id, job) == 200; })
           && fleet_->reachesState(id, "completed");
}

void SystemUnderLoad::attack(const Door &door, const ClientScript &script, std::size_t clients)
{
    INFO(door.method << ' ' << door.path << " at host " << static_cast<int>(door.host));
    restart(door.host);
    REQUIRE(answersOrdinaryRequest(door.host));
    const pid_t id = process(door.host).id();
    const std::uint64_t idleBytes = peakResidentBytes(id);
    const std::size_t idleDescriptors = openDescriptors(id);
    const std::string &address =
        door.host == Host::Serve
            ? (serve_.get()->*door.serveAddress)(0)
            : (fleet_.get()->*door.fleetAddress)(door.host == Host::Leader ? leader_ : 0);
    const Crowd crowd(address, script, clients);
    const Peak peak = observe(id, crowd);
    const std::uint64_t heldBytes = peak.residentBytes - std::min(idleBytes, peak.residentBytes);
    // Entries of KNOWN-RED.txt and commits quote these figures.
    std::cout << door.method << ' ' << door.path << " at host " << static_cast<int>(door.host)
              << ": " << clients << " clients, memory +" << heldBytes / MiB << " MiB, descriptors +"
              << peak.descriptors - std::min(idleDescriptors, peak.descriptors) << std::endl;
    CHECK(heldBytes <= MemoryBound);
    // The settings don't reach the servers for metrics, which allow 1024 connections.
    const std::size_t maxConnections = door.path == "/metrics" ? 1'024 : MaxConnections;
    CHECK(peak.descriptors <= idleDescriptors + maxConnections + SpareDescriptors);
    CHECK(answersOrdinaryRequest(door.host));
    CHECK(process(door.host).running());
}

} // namespace Oleander::Testing
