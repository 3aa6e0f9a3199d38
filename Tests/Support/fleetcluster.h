#pragma once

#include "Support/childprocess.h"
#include "Support/httpcall.h"
#include "Support/temporaryfolder.h"
#include "Support/waitfor.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Oleander::Testing {

/** Lines appended to the settings files of every control host, entry and agent. */
struct FleetOptions
{
    std::string moreControlSettings;
    std::string moreEntrySettings;
    std::string moreAgentSettings;
};

/**
 * \class FleetCluster
 * \brief Runs control hosts, entries, agents and stand-in minions as real processes on 127.0.0.0/8.
 */
class FleetCluster
{
public:
    static constexpr std::size_t Controls = 3;
    static constexpr std::size_t Entries = 2;
    static constexpr std::size_t Machines = 2;

    explicit FleetCluster(FleetOptions options = {});

    /** Starts every process and waits until a configuration is accepted. */
    bool start();
    /** Starts or restarts a control host; \a mayForm allows it to form a new group. */
    void startControl(std::size_t control, bool mayForm);
    /** Starts or restarts a control host without a data folder. */
    void startDiskless(std::size_t control);
    /** Setting failure-domains of the control hosts that are started from now on. */
    void setFailureDomains(const std::string &names) { failureDomains_ = names; }
    /** Sends a request without a body to the operators' listener of a control host; status 0
     * without an answer within \a limit. */
    HttpReply operate(std::size_t control, const std::string &method, const std::string &path,
                      std::chrono::milliseconds limit = std::chrono::seconds(4));
    const std::string &operatorAddress(std::size_t control) const
    {
        return controls_.at(control).operatorAddress;
    }
    /** Names \a controls as the seeds in the settings of every process, which reload them. */
    void setSeeds(const std::vector<std::size_t> &controls);
    /** Returns the number of a control host with an address of its own, which is not a seed. */
    std::size_t addControl();
    void startEntry(std::size_t entry);
    void startAgent(std::size_t machine);
    void startMinion(std::size_t machine, int runMs = 100);
    ChildProcess &control(std::size_t control) { return *controls_.at(control).process; }
    ChildProcess &entry(std::size_t entry) { return *entries_.at(entry).process; }
    ChildProcess &agent(std::size_t machine) { return *machines_.at(machine).agent; }
    ChildProcess &minion(std::size_t machine) { return *machines_.at(machine).minion; }
    std::string dataFolder(std::size_t control) const;
    /** The following return the addresses of HTTP servers. */
    const std::string &operatorDoor(std::size_t control) const
    {
        return controls_.at(control).operatorAddress;
    }
    const std::string &controlMetricsDoor(std::size_t control) const
    {
        return controls_.at(control).metricsAddress;
    }
    const std::string &callerDoor(std::size_t entry) const
    {
        return entries_.at(entry).callerAddress;
    }
    const std::string &healthDoor(std::size_t entry) const
    {
        return entries_.at(entry).healthAddress;
    }
    const std::string &entryMetricsDoor(std::size_t entry) const
    {
        return entries_.at(entry).metricsAddress;
    }
    const std::string &minionDoor(std::size_t machine) const
    {
        return machines_.at(machine).agentAddress;
    }
    const std::string &agentMetricsDoor(std::size_t machine) const
    {
        return machines_.at(machine).metricsAddress;
    }

    /** Sends the configuration \a body to a control host; returns the HTTP status, or 0 without an
     * answer. */
    int configure(std::size_t control, const std::string &body);
    static std::string configuration(int version, int attempts = 2);
    std::string readConfiguration(std::size_t control);
    /** Calls an entry, and repeats the call after a server error or a lost answer. */
    HttpReply call(std::size_t entry, const std::string &method, const std::string &path,
                   const std::string &body = {});
    /** Submits a job and returns the HTTP status. */
    int submit(std::size_t entry, const std::string &id, const std::string &body);
    std::string state(std::size_t entry, const std::string &id);
    /** Waits until the job is in \a expectedState; returns false after a timeout. */
    bool reachesState(const std::string &id, const std::string &expectedState);
    /** Returns the starts made by the currently running minions, as lines "TASK RUN". */
    std::vector<std::string> starts();
    /** Finishes all runs of the currently running minions; returns false if a minion did not
     * answer. */
    bool finishRuns();
    /** Returns the index of the leading control host, or Controls if there is none. */
    std::size_t leader();
    /** Returns the metrics of every process in the text exposition format. */
    std::string metrics() const;
    /** Returns the number of voters in the state dump of \a control; 0 for an empty log or without
     * an answer. */
    std::size_t voterCountAt(std::size_t control);

private:
    struct Control
    {
        std::string linkAddress;
        std::string operatorAddress;
        std::string metricsAddress;
        std::unique_ptr<ChildProcess> process;
    };
    struct Entry
    {
        std::string callerAddress;
        std::string healthAddress;
        std::string metricsAddress;
        std::unique_ptr<ChildProcess> process;
    };
    struct Machine
    {
        std::string agentAddress;
        std::string minionAddress;
        std::string metricsAddress;
        std::unique_ptr<ChildProcess> agent;
        std::unique_ptr<ChildProcess> minion;
    };

    std::string groupLines() const;
    /** Writes the settings of a process, with the current seeds; returns their path. */
    std::string writeSettings(const std::string &name, const std::string &lines);
    std::string controlLines(std::size_t control) const;

    FleetOptions options_;
    TemporaryFolder folder_;
    std::vector<std::size_t> seeds_;
    std::string failureDomains_;
    /** Settings written so far, without the seeds. */
    std::map<std::string, std::string> settings_;
    std::vector<Control> controls_;
    std::vector<Entry> entries_;
    std::vector<Machine> machines_;
    std::string linkPort_;
};

} // namespace Oleander::Testing
