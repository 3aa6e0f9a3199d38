#pragma once

#include "Control/replica.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Oleander {

/** Fault probabilities of a simulated schedule, in percent per fault step unless stated otherwise.
 */
struct SimulationFaults
{
    unsigned crash = 20;
    unsigned freeze = 15;
    unsigned cut = 20;
    unsigned oneWayCut = 15;
    /** Cut of the link between two replicas, in both directions. */
    unsigned pairCut = 20;
    /** Crash followed by an immediate restart. */
    unsigned instantRestart = 15;
    unsigned lostDisk = 10;
    unsigned fullDisk = 5;
    unsigned snapshot = 30;
    /** Per message. */
    unsigned dropPercent = 3;
    unsigned duplicatePercent = 2;
    unsigned slowPercent = 5;
    /** Clock rates range from 1 minus to 1 plus this value, in thousandths. */
    int driftThousandths = 40;
};

/**
 * \class Simulation
 * \brief Runs a group of replicas in virtual time with simulated network and disk faults, driven by
 * one seed, and checks the invariants of the replicated log after every step.
 *
 * Violated invariants are collected as sentences; a schedule passes if there are none.
 */
class Simulation
{
public:
    explicit Simulation(std::uint64_t seed, SimulationFaults faults = {});

    /** Runs with faults and client traffic. */
    void runWithFaults(Duration length);
    /** Ends all faults, then checks that writes and reads succeed and that every replica catches
     * up. */
    void healAndCheck();
    const std::vector<std::string> &violations() const { return violations_; }

    // For tests that control the schedule explicitly.
    void run(Duration length);
    std::string leader() const;
    bool propose(const std::string &node, const std::string &command);
    void read(const std::string &node);
    void crash(const std::string &node);
    void restart(const std::string &node);
    void loseDisk(const std::string &node);
    void resign(const std::string &node);
    void freeze(const std::string &node, Duration length);
    void cut(const std::string &from, const std::string &to);
    void healLinks() { cutLinks_.clear(); }
    void setDiskFull(const std::string &node, bool full);
    void takeSnapshot(const std::string &node);
    /** Starts a new replica, which sends join requests to the others. */
    void addNode(const std::string &name);
    /** Requests the change from the leader; false if it was rejected. */
    bool addToGroup(const std::string &name);
    bool removeFromGroup(const std::string &name);
    const Membership &committedMembership() const { return committedMembership_; }
    Replica &replica(const std::string &node) { return *nodes_.at(node).replica; }
    TimePoint localNow(const std::string &node) const;
    std::uint64_t highestCommitted() const { return committed_.size(); }
    std::uint64_t readsServed() const { return readsServed_; }
    bool isUp(const std::string &node) const { return nodes_.at(node).replica.has_value(); }
    std::uint64_t applied(const std::string &node) const { return nodes_.at(node).applied; }
    const std::set<std::string> &nodesWithLostDisk() const { return nodesWithLostDisk_; }

private:
    struct Disk
    {
        HardState hardState;
        Snapshot snapshot;
        std::uint64_t firstIndex = 1;
        std::vector<LogEntry> entries;
        bool full = false;

        void write(const WriteBatch &batch);
        StoredReplica stored() const;
    };
    struct Node
    {
        std::optional<Replica> replica;
        Disk disk;
        std::deque<WriteBatch> writing;
        std::uint64_t epoch = 0;
        std::int64_t frozenUntil = 0;
        std::int64_t diskFreeAt = 0;
        double rate = 1.0;
        std::int64_t offset = 0;
        std::uint64_t applied = 0;
        std::uint64_t stateHash = 0;
        std::map<std::uint64_t, std::uint64_t> readFloors;
        std::uint64_t nextRead = 1;
        std::uint64_t lostDisks = 0;
    };
    struct Event
    {
        std::int64_t at = 0;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator>(const Event &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    void schedule(std::int64_t at, std::function<void()> action);
    void atNode(const std::string &name, std::int64_t at, std::function<void(Node &)> action);
    void tickNode(const std::string &name);
    void start(const std::string &name);
    void collect(const std::string &name);
    void sendMessage(const std::string &from, OutgoingReplicaMessage message);
    void deliver(const std::string &from, const OutgoingReplicaMessage &message);
    void startWrite(const std::string &name, const WriteBatch &batch);
    void applyEntry(const std::string &name, Node &node, const CommittedEntry &entry);
    void restoreState(const std::string &name, Node &node, const Snapshot &snapshot);
    void checkNode(const std::string &name, const Node &node);
    void checkLogs();
    void reportViolation(const std::string &what);
    void clientStep();
    void faultStep();
    std::string randomNode();
    bool canLoseDisk() const;
    unsigned randomPercent() { return static_cast<unsigned>(random_() % 100); }
    std::int64_t between(std::int64_t low, std::int64_t high);

    std::mt19937_64 random_;
    SimulationFaults faults_;
    std::uint64_t seed_;
    std::int64_t now_ = 0;
    std::uint64_t order_ = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::vector<std::string> names_;
    std::map<std::string, Node> nodes_;
    std::set<std::pair<std::string, std::string>> cutLinks_;
    bool faultsDisabled_ = false;

    std::map<std::uint64_t, std::string> leaders_;
    std::vector<LogEntry> committed_;
    std::vector<std::uint64_t> stateHashes_{0};
    Membership committedMembership_;
    std::set<std::pair<std::string, std::uint64_t>> allVoters_;
    std::set<std::string> nodesWithLostDisk_;
    std::uint64_t commands_ = 0;
    std::uint64_t readsServed_ = 0;
    std::vector<std::string> violations_;
};

} // namespace Oleander
