#pragma once

#include "Support/childprocess.h"
#include "Support/forwarder.h"
#include "Support/temporaryfolder.h"
#include "Support/waitfor.h"

#include <cstdint>
#include <exception>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Oleander::Testing {

/**
 * Processes and settings of a test cluster. Each entry, and each agent with its stand-ins, gets its
 * own host address.
 */
struct ClusterOptions
{
    std::size_t entries = 3;
    std::size_t agents = 2;
    /** Gives each agent a stand-in worker. */
    bool workers = true;
    /** Gives each agent a stand-in minion of \a service. */
    bool minions = false;
    std::string service = "notices";
    /** Agents are named with this prefix and a number from 1. */
    std::string agentPrefix = "agent-";
    /** Routes each link between two processes through its own Forwarder. */
    bool forwardLinks = false;
    /** Lines appended to the settings files of every entry and of every agent. */
    std::string moreEntrySettings;
    std::string moreAgentSettings;
    std::vector<std::string> minionFlags;
    std::vector<std::string> workerFlags;
};

/**
 * \class Cluster
 * \brief Entries, agents, stand-in workers and minions as real processes on 127.0.0.0/8.
 *
 * No process runs until start() or one of the other start functions is called. Functions take
 * indices from 0; the processes are named entry-1, agent-1 and so on, with the prefix of agents
 * given by ClusterOptions::agentPrefix. The destructor kills and reaps every process. When a failed
 * REQUIRE ends the test, it first shows what the processes wrote.
 */
class Cluster
{
public:
    explicit Cluster(ClusterOptions options = {});
    ~Cluster();
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    /** Starts every process; returns whether each entry and agent logged process.started. */
    bool start();
    /** The next four functions start one process, or restart it with the same settings. */
    void startEntry(std::size_t entry);
    void startAgent(std::size_t agent);
    void startWorker(std::size_t agent);
    void startMinion(std::size_t agent);
    /** Runs a second process with the settings of \a entry and waits until it ends. */
    CommandResult startAnotherEntry(std::size_t entry) const;
    /** Waits until \a process has logged process.started; returns false if it does not. */
    bool waitStarted(ChildProcess &process) const;

    ChildProcess &entry(std::size_t entry) { return *entries_.at(entry).process; }
    ChildProcess &agent(std::size_t agent) { return *agents_.at(agent).process; }
    ChildProcess &worker(std::size_t agent) { return *agents_.at(agent).worker; }
    ChildProcess &minion(std::size_t agent) { return *agents_.at(agent).minion; }

    const std::string &callerDoor(std::size_t entry) const { return entries_.at(entry).callerDoor; }
    std::size_t agentCount() const { return agents_.size(); }
    const std::string &operatorDoor(std::size_t entry) const
    {
        return entries_.at(entry).operatorDoor;
    }
    /** Address at which an entry listens for messages of other processes. */
    const std::string &linkAddress(std::size_t entry) const { return entries_.at(entry).link; }
    const std::string &minionDoor(std::size_t agent) const { return agents_.at(agent).minionDoor; }
    const std::string &workerAddress(std::size_t agent) const
    {
        return agents_.at(agent).workerDoor;
    }
    const std::string &minionAddress(std::size_t agent) const
    {
        return agents_.at(agent).minionAddress;
    }
    /** Address of the HTTP server with an agent's state dump and metrics. */
    const std::string &agentOperatorDoor(std::size_t agent) const
    {
        return agents_.at(agent).operatorDoor;
    }
    /** Data folder of an entry's replica; tests remove or damage it. */
    std::filesystem::path dataFolder(std::size_t entry) const;

    /** Forwarder from one process to another; requires ClusterOptions::forwardLinks. */
    Forwarder &forwarder(const std::string &from, const std::string &to);
    /** Cuts every link from and to the process \a name. */
    void isolate(const std::string &name);
    /** Heals all links. */
    void heal();
    /** Bytes forwarded so far on all links from and to the process \a name. */
    std::uint64_t linkBytes(const std::string &name) const;

    /** Runs `oleander WORDS`. */
    CommandResult run(std::vector<std::string> words, const std::string &input = {}) const;
    /** Runs `oleander WORDS --server=...` against one entry, unless \a words name a server. */
    CommandResult operate(std::size_t entry, std::vector<std::string> words,
                          const std::string &input = {}) const;

private:
    struct Entry
    {
        std::string name;
        std::string callerDoor;
        std::string operatorDoor;
        std::string link;
        std::unique_ptr<ChildProcess> process;
    };
    struct Agent
    {
        std::string name;
        std::string minionDoor;
        std::string operatorDoor;
        std::string workerDoor;
        std::string minionAddress;
        std::string link;
        std::unique_ptr<ChildProcess> process;
        std::unique_ptr<ChildProcess> worker;
        std::unique_ptr<ChildProcess> minion;
    };

    /** Address at which \a from connects to \a to: \a address or that of their forwarder. */
    std::string addressToDial(const std::string &from, const std::string &to,
                              const std::string &address);
    std::string entrySettings(std::size_t entry);
    std::string agentSettings(std::size_t agent);
    void describeProcesses() const;

    ClusterOptions options_;
    /** Exceptions in flight at the construction; there are more while a failed test unwinds. */
    int exceptionsBefore_ = std::uncaught_exceptions();
    TemporaryFolder folder_;
    std::vector<Entry> entries_;
    std::vector<Agent> agents_;
    std::map<std::pair<std::string, std::string>, std::unique_ptr<Forwarder>> links_;
};

} // namespace Oleander::Testing
