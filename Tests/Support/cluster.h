#pragma once

#include "Support/childprocess.h"
#include "Support/forwarder.h"
#include "Support/temporaryfolder.h"
#include "Support/waitfor.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Oleander::Testing {

/** What a test's cluster consists of. Each entry, agent and its stand-ins is a host of its own. */
struct ClusterOptions
{
    std::size_t entries = 3;
    std::size_t agents = 2;
    /** Gives each agent a stand-in worker. */
    bool workers = true;
    /** Gives each agent a stand-in minion of \a service. */
    bool minions = false;
    std::string service = "notices";
    /** Agents are called this and a number from 1. */
    std::string agentPrefix = "agent-";
    /** Lets each link between two processes go through a forwarder of its own. */
    bool forwardLinks = false;
    /** Lines added to the settings of every entry and agent. */
    std::string moreEntrySettings;
    std::string moreAgentSettings;
    std::vector<std::string> minionFlags;
    std::vector<std::string> workerFlags;
};

/**
 * \class Cluster
 * \brief Entries, agents, stand-in workers and minions as real processes on 127.0.0.0/8.
 *
 * Nothing runs before start() or one of the start functions. Processes are counted from 0 and
 * called entry-1, agent-1 and so on, unless the options say otherwise. Every process is killed and
 * reaped when the cluster goes.
 */
class Cluster
{
public:
    explicit Cluster(ClusterOptions options = {});
    ~Cluster();
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    /** Starts every process and waits until each entry and agent says that it has started. */
    bool start();
    /** Each start function also starts again a process that has ended. */
    void startEntry(std::size_t entry);
    void startAgent(std::size_t agent);
    void startWorker(std::size_t agent);
    void startMinion(std::size_t agent);
    /** Starts a second process with the settings of an entry that runs, and waits for its end. */
    CommandResult startAnotherEntry(std::size_t entry) const;
    /** Waits until the process has logged that it serves. */
    bool waitStarted(ChildProcess &process) const;

    ChildProcess &entry(std::size_t entry) { return *entries_.at(entry).process; }
    ChildProcess &agent(std::size_t agent) { return *agents_.at(agent).process; }
    ChildProcess &worker(std::size_t agent) { return *agents_.at(agent).worker; }
    ChildProcess &minion(std::size_t agent) { return *agents_.at(agent).minion; }

    const std::string &callerDoor(std::size_t entry) const { return entries_.at(entry).callerDoor; }
    const std::string &operatorDoor(std::size_t entry) const
    {
        return entries_.at(entry).operatorDoor;
    }
    /** Address at which an entry takes messages. */
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
    /** Door of an agent for its state dump and metrics. */
    const std::string &agentOperatorDoor(std::size_t agent) const
    {
        return agents_.at(agent).operatorDoor;
    }
    /** Folder of an entry's replica, to lose or damage. */
    std::filesystem::path dataFolder(std::size_t entry) const;

    /** Forwarders from one process to another; only with ClusterOptions::forwardLinks. */
    Forwarder &forwarder(const std::string &from, const std::string &to);
    /** Cuts every link from and to the process called \a name, or heals them. */
    void isolate(const std::string &name);
    void heal();
    /** Bytes on every link from and to the process called \a name. */
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

    /** Address at which \a from dials \a to. */
    std::string addressToDial(const std::string &from, const std::string &to,
                              const std::string &address);
    std::string entrySettings(std::size_t entry);
    std::string agentSettings(std::size_t agent);

    ClusterOptions options_;
    TemporaryFolder folder_;
    std::vector<Entry> entries_;
    std::vector<Agent> agents_;
    std::map<std::pair<std::string, std::string>, std::unique_ptr<Forwarder>> links_;
};

} // namespace Oleander::Testing
