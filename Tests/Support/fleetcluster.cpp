#include "Support/fleetcluster.h"

#include "Support/loopback.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <sstream>
#include <thread>

namespace Oleander::Testing {

namespace {

constexpr std::chrono::milliseconds CallLimit = std::chrono::seconds(4);
constexpr std::chrono::milliseconds Pause = std::chrono::milliseconds(50);

} // namespace

FleetCluster::FleetCluster(FleetOptions options) : options_(std::move(options))
{
    // All control hosts use the same link port, because the seeds only give their hosts.
    for (std::size_t i = 0; i < Controls; ++i)
        seeds_.push_back(addControl());
    for (std::size_t i = 0; i < Entries; ++i) {
        const std::string host = Loopback::nextHost();
        entries_.push_back({Loopback::freeAddress(host), Loopback::freeAddress(host),
                            Loopback::freeAddress(host), nullptr});
    }
    for (std::size_t i = 0; i < Machines; ++i) {
        const std::string host = Loopback::nextHost();
        machines_.push_back({Loopback::freeAddress(host), Loopback::freeAddress(host),
                             Loopback::freeAddress(host), nullptr, nullptr});
    }
}

std::size_t FleetCluster::addControl()
{
    const std::string host = Loopback::nextHost();
    if (linkPort_.empty()) {
        const std::string free = Loopback::freeAddress(host);
        linkPort_ = free.substr(free.find(':') + 1);
    }
    controls_.push_back({host + ':' + linkPort_, Loopback::freeAddress(host),
                         Loopback::freeAddress(host), nullptr});
    return controls_.size() - 1;
}

std::string FleetCluster::groupLines() const
{
    std::string seeds;
    for (const std::size_t seed : seeds_)
        seeds += (seeds.empty() ? "" : ",") + controls_.at(seed).operatorAddress;
    return "[group]\nseeds = " + seeds + "\nlink-port = " + linkPort_ + '\n';
}

std::string FleetCluster::dataFolder(std::size_t control) const
{
    return (folder_.path() / ("data-" + std::to_string(control))).string();
}

std::string FleetCluster::writeSettings(const std::string &name, const std::string &lines)
{
    settings_[name] = lines;
    return folder_.write(name + ".ini", lines + groupLines());
}

void FleetCluster::setSeeds(const std::vector<std::size_t> &controls)
{
    seeds_ = controls;
    for (const auto &[name, lines] : settings_)
        folder_.write(name + ".ini", lines + groupLines());
    const auto reload = [](const std::unique_ptr<ChildProcess> &process) {
        if (process)
            process->signal(SIGHUP);
    };
    for (const Control &control : controls_)
        reload(control.process);
    for (const Entry &entry : entries_)
        reload(entry.process);
    for (const Machine &machine : machines_)
        reload(machine.agent);
}

std::string FleetCluster::controlLines(std::size_t control) const
{
    const Control &host = controls_.at(control);
    return "[control-host]\nlink = " + host.linkAddress
           + "\noperator-door = " + host.operatorAddress + "\nmetrics-door = " + host.metricsAddress
           + "\ntolerated-losses = 1\n"
           + (failureDomains_.empty() ? "" : "failure-domains = " + failureDomains_ + '\n');
}

HttpReply FleetCluster::operate(std::size_t control, const std::string &method,
                                const std::string &path, std::chrono::milliseconds limit)
{
    return httpCall(operatorAddress(control), {method, path, {}, {}}, limit).value_or(HttpReply{});
}

void FleetCluster::startControl(std::size_t control, bool mayForm)
{
    std::filesystem::create_directories(dataFolder(control));
    const std::string path = writeSettings(
        "control-" + std::to_string(control),
        controlLines(control) + "data-folder = " + dataFolder(control)
            + "\nmay-form = " + (mayForm ? "true" : "false") + '\n' + options_.moreControlSettings);
    Control &host = controls_.at(control);
    host.process.reset();
    host.process =
        std::make_unique<ChildProcess>(std::vector<std::string>{OLEANDER_PROGRAM, "control", path});
}

void FleetCluster::startDiskless(std::size_t control)
{
    const std::string path = writeSettings("control-" + std::to_string(control),
                                           controlLines(control) + options_.moreControlSettings);
    Control &host = controls_.at(control);
    host.process.reset();
    host.process =
        std::make_unique<ChildProcess>(std::vector<std::string>{OLEANDER_PROGRAM, "control", path});
}

void FleetCluster::startEntry(std::size_t entry)
{
    Entry &host = entries_.at(entry);
    const std::string name = "entry-" + std::to_string(entry);
    const std::string path = writeSettings(
        name, "[job-entry]\nname = " + name + "\ncaller-door = " + host.callerAddress
                  + "\nhealth-door = " + host.healthAddress + "\nmetrics-door = "
                  + host.metricsAddress + "\ndrain-delay = 100ms\n" + options_.moreEntrySettings);
    host.process.reset();
    host.process =
        std::make_unique<ChildProcess>(std::vector<std::string>{OLEANDER_PROGRAM, "entry", path});
}

void FleetCluster::startAgent(std::size_t machine)
{
    Machine &host = machines_.at(machine);
    const std::string name = "agent-" + std::to_string(machine);
    const std::string path = writeSettings(
        name, "[machine-agent]\nname = " + name + "\nminion-door = " + host.agentAddress
                  + "\nminion = " + host.minionAddress + "\nmetrics-door = " + host.metricsAddress
                  + '\n' + options_.moreAgentSettings);
    host.agent.reset();
    host.agent = std::make_unique<ChildProcess>(
        std::vector<std::string>{OLEANDER_AGENT_PROGRAM, "machine", path});
}

void FleetCluster::startMinion(std::size_t machine, int runMs)
{
    Machine &host = machines_.at(machine);
    host.minion.reset();
    host.minion = std::make_unique<ChildProcess>(std::vector<std::string>{
        STANDIN_JOB_MINION_PROGRAM, "--listen=" + host.minionAddress,
        "--agent=" + host.agentAddress, "--name=i-" + std::to_string(machine),
        "--run_ms=" + std::to_string(runMs)});
}

bool FleetCluster::start()
{
    for (std::size_t i = 0; i < Controls; ++i)
        startControl(i, true);
    for (std::size_t i = 0; i < Machines; ++i) {
        startAgent(i);
        startMinion(i);
    }
    for (std::size_t i = 0; i < Entries; ++i)
        startEntry(i);
    return waitFor([this] { return configure(0, configuration(1)) == 200; });
}

std::string FleetCluster::configuration(int version, int attempts)
{
    return R"({"version":)" + std::to_string(version)
           + R"(,"routes":[{"name":"r","host":"press.example","pathPrefix":"/press/",)"
             R"("type":"non_idempotent","timeoutMs":3000,"targetCompletionMs":300,"priority":0,)"
             R"("service":"notices","stretchFactor":1.5,"maxAttempts":)"
           + std::to_string(attempts) + R"(}],"services":[{"name":"notices"}],"limits":{}})";
}

std::string FleetCluster::metrics() const
{
    std::string all;
    const auto add = [&](const std::string &address) {
        const auto reply = httpCall(address, {"GET", "/metrics", {}, {}}, CallLimit);
        all += reply && reply->status == 200 ? reply->body : "no metrics at " + address + '\n';
    };
    for (const Control &control : controls_)
        add(control.metricsAddress);
    for (const Entry &entry : entries_)
        add(entry.metricsAddress);
    for (const Machine &machine : machines_)
        add(machine.metricsAddress);
    return all;
}

int FleetCluster::configure(std::size_t control, const std::string &body)
{
    HttpCall put{"PUT", "/oleanderusher/config", {{"Content-Type", "application/json"}}, body};
    const auto reply = httpCall(controls_.at(control).operatorAddress, put, CallLimit);
    return reply ? reply->status : 0;
}

std::string FleetCluster::readConfiguration(std::size_t control)
{
    const auto reply = httpCall(controls_.at(control).operatorAddress,
                                {"GET", "/oleanderusher/config", {}, {}}, CallLimit);
    return reply && reply->status == 200 ? reply->body : std::string();
}

HttpReply FleetCluster::call(std::size_t entry, const std::string &method, const std::string &path,
                             const std::string &body)
{
    HttpReply last;
    waitFor([&] {
        const auto reply = httpCall(entries_.at(entry).callerAddress,
                                    {method, path, {{"Host", "press.example"}}, body}, CallLimit);
        if (reply)
            last = *reply;
        const bool final = reply && reply->status < 500;
        if (!final)
            std::this_thread::sleep_for(Pause);
        return final;
    });
    return last;
}

int FleetCluster::submit(std::size_t entry, const std::string &id, const std::string &body)
{
    return call(entry, "POST", "/press/" + id, body).status;
}

std::string FleetCluster::state(std::size_t entry, const std::string &id)
{
    const HttpReply reply = call(entry, "GET", "/press/" + id);
    const auto begin = reply.body.find(":\"");
    if (reply.status != 200 || begin == std::string::npos)
        return std::to_string(reply.status);
    return reply.body.substr(begin + 2, reply.body.find('"', begin + 2) - begin - 2);
}

bool FleetCluster::reachesState(const std::string &id, const std::string &expectedState)
{
    return waitFor([&] {
        std::this_thread::sleep_for(Pause);
        return state(0, id) == expectedState;
    });
}

std::vector<std::string> FleetCluster::starts()
{
    std::vector<std::string> all;
    for (const Machine &machine : machines_) {
        const auto reply =
            httpCall(machine.minionAddress, {"GET", "/standin/starts", {}, {}}, CallLimit);
        std::istringstream lines(reply ? reply->body : std::string());
        for (std::string line; std::getline(lines, line);)
            all.push_back(line);
    }
    return all;
}

bool FleetCluster::finishRuns()
{
    return std::ranges::all_of(machines_, [](const Machine &machine) {
        return httpCall(machine.minionAddress, {"POST", "/standin/finish", {}, {}}, CallLimit)
            .has_value();
    });
}

std::size_t FleetCluster::leader()
{
    for (std::size_t i = 0; i < Controls; ++i) {
        const auto reply =
            httpCall(controls_[i].operatorAddress, {"GET", "/v1/dump", {}, {}}, CallLimit);
        if (reply && reply->body.find("role=leader") != std::string::npos)
            return i;
    }
    return Controls;
}

std::size_t FleetCluster::voterCountAt(std::size_t control)
{
    const auto reply =
        httpCall(controls_[control].operatorAddress, {"GET", "/v1/dump", {}, {}}, CallLimit);
    const auto begin = reply ? reply->body.find("voters=") : std::string::npos;
    if (begin == std::string::npos)
        return 0;
    const std::string list = reply->body.substr(begin, reply->body.find(' ', begin) - begin);
    return static_cast<std::size_t>(std::count(list.begin(), list.end(), ':'));
}

} // namespace Oleander::Testing
