#include "Support/cluster.h"

#include "Support/loopback.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace Oleander::Testing {

namespace {

/** Sender name of a forwarder that all processes share, such as that to an agent's inbox. */
const std::string AnySender = "*";

std::string locationSettings(std::size_t index)
{
    return "region = region-1\nfailure-domain = domain-" + std::to_string(1 + index % 3)
           + "\nrack = rack-" + std::to_string(1 + index / 3) + '\n';
}

} // namespace

Cluster::Cluster(ClusterOptions options) : options_(std::move(options))
{
    // The command line needs the operator's name; its fallback, the user's name, is not set in CI.
    setenv("OLEANDER_OPERATOR", "tester", 0);
    for (std::size_t i = 0; i < options_.entries; ++i) {
        const std::string host = Loopback::nextHost();
        auto &entry = entries_.emplace_back();
        entry.name = "entry-" + std::to_string(i + 1);
        entry.callerDoor = Loopback::freeAddress(host);
        entry.operatorDoor = Loopback::freeAddress(host);
        entry.link = Loopback::freeAddress(host);
    }
    for (std::size_t i = 0; i < options_.agents; ++i) {
        const std::string host = Loopback::nextHost();
        auto &agent = agents_.emplace_back();
        agent.name = options_.agentPrefix + std::to_string(i + 1);
        agent.minionDoor = Loopback::freeAddress(host);
        agent.operatorDoor = Loopback::freeAddress(host);
        agent.workerDoor = Loopback::freeAddress(host);
        agent.minionAddress = Loopback::freeAddress(host);
        agent.link = Loopback::freeAddress(host);
    }
    for (std::size_t i = 0; i < entries_.size(); ++i)
        folder_.write(entries_[i].name + ".ini", entrySettings(i));
    for (std::size_t i = 0; i < agents_.size(); ++i)
        folder_.write(agents_[i].name + ".ini", agentSettings(i));
}

Cluster::~Cluster()
{
    if (std::uncaught_exceptions() > exceptionsBefore_)
        describeProcesses();
}

void Cluster::describeProcesses() const
{
    const auto describe = [](const std::string &name,
                             const std::unique_ptr<ChildProcess> &process) {
        if (process)
            std::cerr << "--- " << name << ' ' << process->describe() << '\n';
    };
    for (const auto &entry : entries_)
        describe(entry.name, entry.process);
    for (const auto &agent : agents_) {
        describe(agent.name, agent.process);
        describe("worker of " + agent.name, agent.worker);
        describe("minion of " + agent.name, agent.minion);
    }
}

bool Cluster::start()
{
    for (std::size_t i = 0; i < entries_.size(); ++i)
        startEntry(i);
    for (std::size_t i = 0; i < agents_.size(); ++i) {
        if (options_.workers)
            startWorker(i);
        startAgent(i);
    }
    bool started = true;
    for (const auto &entry : entries_)
        started = started && waitStarted(*entry.process);
    for (const auto &agent : agents_)
        started = started && waitStarted(*agent.process);
    if (!started || !options_.minions)
        return started;
    for (std::size_t i = 0; i < agents_.size(); ++i)
        startMinion(i);
    return true;
}

void Cluster::startEntry(std::size_t entry)
{
    auto &host = entries_.at(entry);
    std::filesystem::create_directories(dataFolder(entry));
    host.process.reset();
    host.process = std::make_unique<ChildProcess>(std::vector<std::string>{
        OLEANDER_PROGRAM, "serve", (folder_.path() / (host.name + ".ini")).string()});
}

void Cluster::startAgent(std::size_t agent)
{
    auto &host = agents_.at(agent);
    host.process.reset();
    host.process = std::make_unique<ChildProcess>(std::vector<std::string>{
        OLEANDER_AGENT_PROGRAM, (folder_.path() / (host.name + ".ini")).string()});
}

void Cluster::startWorker(std::size_t agent)
{
    auto &host = agents_.at(agent);
    std::vector<std::string> command = {STANDIN_WORKER_PROGRAM, "--listen=" + host.workerDoor};
    command.insert(command.end(), options_.workerFlags.begin(), options_.workerFlags.end());
    host.worker.reset();
    host.worker = std::make_unique<ChildProcess>(std::move(command));
}

void Cluster::startMinion(std::size_t agent)
{
    auto &host = agents_.at(agent);
    std::vector<std::string> command = {
        STANDIN_MINION_PROGRAM, "--listen=" + host.minionAddress, "--agent=" + host.minionDoor,
        "--name=minion-" + std::to_string(agent + 1), "--service=" + options_.service};
    command.insert(command.end(), options_.minionFlags.begin(), options_.minionFlags.end());
    host.minion.reset();
    host.minion = std::make_unique<ChildProcess>(std::move(command));
}

CommandResult Cluster::startAnotherEntry(std::size_t entry) const
{
    const auto settings = folder_.path() / (entries_.at(entry).name + ".ini");
    return runCommand({OLEANDER_PROGRAM, "serve", settings.string()});
}

bool Cluster::waitStarted(ChildProcess &process) const
{
    bool started = false;
    waitFor([&] {
        started = process.standardOutput().find("name=process.started") != std::string::npos;
        return started || !process.running();
    });
    if (!started)
        std::cerr << "A process has not started; it " << process.describe() << '\n';
    return started;
}

std::filesystem::path Cluster::dataFolder(std::size_t entry) const
{
    return folder_.path() / (entries_.at(entry).name + ".data");
}

Forwarder &Cluster::forwarder(const std::string &from, const std::string &to)
{
    const auto found = links_.find({from, to});
    return found != links_.end() ? *found->second : *links_.at({AnySender, to});
}

void Cluster::isolate(const std::string &name)
{
    for (auto &[ends, forwarder] : links_) {
        if (ends.first == name || ends.second == name)
            forwarder->cutBothDirections();
    }
}

void Cluster::heal()
{
    for (auto &[ends, forwarder] : links_)
        forwarder->heal();
}

std::uint64_t Cluster::linkBytes(const std::string &name) const
{
    std::uint64_t bytes = 0;
    for (const auto &[ends, forwarder] : links_) {
        if (ends.first == name || ends.second == name)
            bytes += forwarder->forwardedBytes();
    }
    return bytes;
}

CommandResult Cluster::run(std::vector<std::string> words, const std::string &input) const
{
    words.insert(words.begin(), OLEANDER_PROGRAM);
    return runCommand(std::move(words), input);
}

CommandResult Cluster::operate(std::size_t entry, std::vector<std::string> words,
                               const std::string &input) const
{
    words.insert(words.begin(), OLEANDER_PROGRAM);
    const auto namesServer = [](const std::string &word) {
        return word.rfind("--server=", 0) == 0;
    };
    if (std::none_of(words.begin(), words.end(), namesServer))
        words.push_back("--server=" + operatorDoor(entry));
    return runCommand(std::move(words), input);
}

std::string Cluster::addressToDial(const std::string &from, const std::string &to,
                                   const std::string &address)
{
    if (!options_.forwardLinks)
        return address;
    const std::string host = address.substr(0, address.rfind(':'));
    auto &forwarder = links_[{from, to}];
    if (!forwarder)
        forwarder = std::make_unique<Forwarder>(host, address);
    return forwarder->address();
}

std::string Cluster::entrySettings(std::size_t index)
{
    const auto &entry = entries_[index];
    std::string text = "[entry]\nname = " + entry.name + '\n' + locationSettings(index)
                       + "caller-door = " + entry.callerDoor
                       + "\noperator-door = " + entry.operatorDoor + "\nlink = " + entry.link
                       + "\ndata-folder = " + dataFolder(index).string() + "\n[control-group]\n";
    for (const auto &peer : entries_) {
        const std::string address =
            peer.name == entry.name ? peer.link : addressToDial(entry.name, peer.name, peer.link);
        text += peer.name + " = " + address + '\n';
    }
    return text + options_.moreEntrySettings;
}

std::string Cluster::agentSettings(std::size_t index)
{
    const auto &agent = agents_[index];
    std::string text = "[agent]\nname = " + agent.name + '\n' + locationSettings(index)
                       + "link = " + agent.link
                       + "\nlink-advertised = " + addressToDial(AnySender, agent.name, agent.link)
                       + "\nminion-door = " + agent.minionDoor
                       + "\noperator-door = " + agent.operatorDoor + "\n[entries]\n";
    for (const auto &entry : entries_)
        text += entry.name + " = " + addressToDial(agent.name, entry.name, entry.link) + '\n';
    if (options_.workers) {
        text += "[worker]\naddress = " + agent.workerDoor
                + "\nmilli-cores = 16000\nmemory = 60GiB\naccelerators = 1\n";
    }
    return text + options_.moreAgentSettings;
}

} // namespace Oleander::Testing
