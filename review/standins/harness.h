// Test harness of the review: starts the project's programs as separate processes on loopback
// addresses, and provides stand-ins for clients, the operator and minions that follow the users'
// pages. It uses POSIX sockets and threads only, and shares no code with the programs under test.
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Review {

using Json = nlohmann::json;

/** Exit codes of a case. */
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CannotRun = 2;

/** Milliseconds since the start of the test program. */
std::int64_t nowMs();
/** Calendar time in milliseconds. */
std::uint64_t wallMs();
void sleepMs(std::int64_t duration);
/** Polls \a condition until it is true or \a timeout has passed; returns its last value. */
bool waitFor(std::int64_t timeout, const std::function<bool()> &condition);

/** Reads the arguments of a case: its folder, in which record.txt is opened, and the value of
 * TROUBLE. Ends the program if they are missing. */
void startCase(int argc, char **argv);
/** False if TROUBLE is 0: the case then runs without its disruption. */
bool hasTrouble();
/** Appends a line with the current time to the record and to standard output. */
void record(const std::string &line);

struct Address
{
    std::string host;
    int port = 0;
    std::string text() const { return host + ':' + std::to_string(port); }
};

struct Request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct Reply
{
    /** 0 if there was no complete answer in time. */
    int status = 0;
    std::string body;
};

/** Sends one HTTP request over a connection of its own. */
Reply httpCall(const Address &to, const Request &request, std::int64_t timeout);

/** HTTP/1.1 server with one thread per connection and persistent connections. */
class HttpServer
{
public:
    /** Returns no reply to leave the request unanswered: the connection stays open. */
    using Handler = std::function<std::unique_ptr<Reply>(const Request &)>;

    HttpServer(Address address, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

private:
    void acceptLoop();
    void serve(int descriptor);

    Handler handler_;
    int listener_ = -1;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::set<int> open_;
    std::vector<std::thread> workers_;
    std::thread acceptor_;
};

/** Child process; killed by its id when it is destroyed. */
class Process
{
public:
    Process(std::string name, const std::vector<std::string> &command,
            const std::string &settingsPath, const std::string &logPath);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;
    void signal(int number) const;
    bool isRunning();

private:
    std::string name_;
    int id_ = -1;
};

/** One run of a task on one life of a minion. */
struct RunRecord
{
    std::string minion;
    std::string task;
    std::uint64_t run = 0;
    std::int64_t startedAt = 0;
    /** 0 while the run is at work. */
    std::int64_t endedAt = 0;
    /** "done", "failed", "stopped", "lapsed", or "gone" if the minion ended. */
    std::string how;
    /** True if the minion carried out an order late that it had left unanswered. */
    bool late = false;
};

/** All runs that the minions of a case began. */
class History
{
public:
    std::size_t begin(const std::string &minion, const std::string &task, std::uint64_t run,
                      bool late);
    void end(std::size_t index, const std::string &how);
    std::vector<RunRecord> all() const;
    /** Pairs of runs of one task that were at work at the same time, as text. */
    std::vector<std::string> overlaps() const;

private:
    mutable std::mutex mutex_;
    std::vector<RunRecord> runs_;
};

/**
 * A minion as PROTOCOL.md describes it. The spec of a task is "ms=N": its run ends done after N
 * milliseconds.
 */
class Minion
{
public:
    struct Options
    {
        std::string id;
        std::string service;
        Address address;
        Address agent;
        std::int64_t heartbeatMs = 1500;
        std::uint64_t holdMaxMs = 10'000;
    };

    Minion(Options options, History &history);
    ~Minion();
    Minion(const Minion &) = delete;
    Minion &operator=(const Minion &) = delete;

    const Options &options() const { return options_; }
    bool isUp() const { return up_; }
    bool runs(const std::string &task) const;
    bool hasRuns() const;
    /** Ends the process without a word: connections close and its runs end. */
    void crash() { down("crashed"); }
    /** Starts a new life at the same address under the id \a id. */
    void restart(const std::string &id);
    /** Reports draining at once; returns true if the agent acknowledged it within a second. */
    bool announceDraining();
    /** Sends the departure call; returns true if it was acknowledged within a second. */
    bool depart();
    /** Ends the process after a departure. */
    void leave() { down("left"); }
    /** Until \a until, a share \a share of the orders to start and stop gets no answer and is
     * carried out 2 to 12 s later. */
    void leaveOrdersUnanswered(double share, std::int64_t until, unsigned seed);

private:
    struct Run
    {
        std::uint64_t run = 0;
        std::int64_t endsAt = 0;
        std::int64_t startedAt = 0;
        std::int64_t durationMs = 1;
        std::size_t index = 0;
    };

    void up();
    void down(const char *why);
    bool announce();
    void heartbeatLoop();
    void runLoop();
    std::uint64_t clockMs() const;
    std::unique_ptr<Reply> handle(const Request &request);
    struct LateOrder
    {
        std::int64_t dueAt = 0;
        std::string path;
        Json body;
    };

    /** True if the order \a path is now put aside to be carried out late. */
    bool putAside(const std::string &path, const Json &body);
    void carryOutLateOrders();
    Reply start(const Json &body, bool late);
    Reply stop(const Json &body);
    Reply hold(const Json &body, std::unique_lock<std::mutex> &lock);
    void extendLease(const Json &body);
    void finish(const std::string &task, const char *how);
    Reply answer(int status, Json body) const;

    Options options_;
    History &history_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::atomic<bool> up_ = false;
    std::atomic<bool> stopping_ = false;
    std::uint64_t life_ = 0;
    std::uint64_t born_ = 0;
    std::int64_t bornAt_ = 0;
    std::uint64_t sequence_ = 0;
    bool draining_ = false;
    std::uint64_t fence_ = 0;
    std::uint64_t leaseUntil_ = 0;
    std::uint64_t lastEnd_ = 0;
    std::map<std::string, Run> running_;
    std::vector<Json> finished_;
    std::map<std::string, std::uint64_t> highestRun_;
    double unansweredShare_ = 0;
    std::int64_t unansweredUntil_ = 0;
    std::mt19937 random_;
    std::vector<LateOrder> lateOrders_;
    std::unique_ptr<HttpServer> server_;
    std::thread heartbeats_;
    std::thread runner_;
};

/** A small deployment: three control hosts, entries, and machines with an agent and a minion. */
class Deployment
{
public:
    /** The minions of the last \a spare machines are started by startMinion(). */
    Deployment(std::size_t entries, std::size_t machines, std::size_t spare = 0);
    ~Deployment();

    /** Starts all processes and puts the first configuration in force; false if that fails. */
    bool start();
    /** Starts control host \a index with the data that it had. */
    void startControl(std::size_t index, bool bootstrap);
    void startEntry(std::size_t index);
    void startAgent(std::size_t index);
    void startMinion(std::size_t index);
    Process &control(std::size_t index) { return *controls_.at(index).process; }
    Process &agent(std::size_t index) { return *machines_.at(index).agent; }
    Minion &minion(std::size_t index) { return *machines_.at(index).minion; }
    std::size_t machineCount() const { return machines_.size(); }
    const Address &agentAddress(std::size_t index) const { return machines_.at(index).door; }
    History &history() { return history_; }

    /** Sends a call of a client to entry \a entry and records it. */
    Reply client(std::size_t entry, const std::string &method, const std::string &id,
                 const std::string &body = {}, std::int64_t timeout = 3000);
    /** Submits the job until it is accepted, as a client does. */
    bool submit(const std::string &id, const Json &job);
    /** Asks for the state of job \a id until an entry answers; "" if none does. */
    std::string state(const std::string &id);
    /** Sends the configuration until it is acknowledged. */
    bool configure(const Json &configuration);
    static Json configuration(int version);
    /** Index of the machine whose minion runs \a task; machineCount() if there is none. */
    std::size_t machineRunning(const std::string &task) const;

private:
    struct Control
    {
        Address door;
        Address metrics;
        std::string host;
        std::unique_ptr<Process> process;
    };
    struct Entry
    {
        Address door;
        Address health;
        Address metrics;
        std::unique_ptr<Process> process;
    };
    struct Machine
    {
        Address door;
        Address app;
        Address metrics;
        std::unique_ptr<Process> agent;
        std::unique_ptr<Minion> minion;
    };

    std::string nextHost();
    std::string writeSettings(const std::string &name, const std::string &text) const;
    std::string groupText() const;

    std::size_t spare_ = 0;
    std::string folder_;
    int network_ = 0;
    int hostNumber_ = 0;
    int portBase_ = 0;
    History history_;
    std::vector<Control> controls_;
    std::vector<Entry> entries_;
    std::vector<Machine> machines_;
};

/** A job of one step with \a count tasks that take \a durationMs each. */
Json makeJob(int count, std::int64_t durationMs, int milliCores = 1000);
/** Records all runs of \a history. */
void recordRuns(const History &history);

} // namespace Review
