// Measures the replicated control log. Three replicas run in separate processes, each with a data
// folder that it syncs; the bench's own process has no replica and proposes the commands.
//
//   bench-control
//   bench-control replica NAME FOLDER ADDRESS PEER=ADDRESS... (started by the bench itself)

#include "Entry/replicatask.h"
#include "Runtime/messenger.h"
#include "State/controlstate.h"
#include "Support/childprocess.h"
#include "Support/loopback.h"
#include "Support/temporaryfolder.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>

using namespace Oleander;
using namespace Oleander::Testing;

namespace {

constexpr std::size_t Workers = 1'400;
constexpr std::size_t Tasks = 20'000;
constexpr std::size_t MaxInFlight = 256;
constexpr int FailoverRounds = 5;
constexpr int RestartRounds = 3;
constexpr std::size_t MissedChanges = 1'000;
/** More entries than the leader keeps of its compacted log, so that it sends a snapshot. */
constexpr std::size_t MissedChangesForSnapshot = 25'000;
constexpr Duration WaitLimit = std::chrono::seconds(120);
const WallTime CommandTime{std::chrono::seconds(1'800'000'000)};

using Addresses = std::map<std::string, std::string>;

/** Messenger and replica task of one process; without a folder it has no replica. */
struct Process
{
    Process(const std::string &name, const std::string &folder, const std::string &address,
            const Addresses &peers, std::uint64_t incarnation)
        : messenger(loop, name, incarnation)
    {
        const auto listening = messenger.listen(address);
        if (!listening)
            throw std::runtime_error(listening.error().text());
        ReplicaTaskOptions options;
        options.name = name;
        options.folder = folder;
        for (const auto &[peer, peerAddress] : peers) {
            messenger.addPeer(peer, peerAddress);
            if (peer != "door")
                options.replicas.push_back(peer);
        }
        if (!folder.empty()) {
            options.replicas.push_back(name);
            std::sort(options.replicas.begin(), options.replicas.end());
        }
        task = std::make_unique<ReplicaTask>(loop, messenger, state, options);
        if (const auto started = task->start(); !started)
            throw std::runtime_error(started.error().text());
    }

    EventLoop loop;
    Messenger messenger;
    State::ControlState state;
    std::unique_ptr<ReplicaTask> task;
};

/** Prints "ready INDEX" once a read barrier shows that the state is current. */
void printWhenReady(Process &process)
{
    process.task->readBarrier([&process](const Result<void> &current) {
        if (!current) {
            printWhenReady(process);
            return;
        }
        fmt::print("ready {}\n", process.task->status().appliedIndex);
        std::fflush(stdout);
    });
}

int runReplica(const std::vector<std::string> &words)
{
    Addresses peers;
    for (std::size_t i = 5; i < words.size(); ++i) {
        const std::size_t separator = words[i].find('=');
        peers[words[i].substr(0, separator)] = words[i].substr(separator + 1);
    }
    const auto incarnation =
        static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
    Process process(words[2], words[3], words[4], peers, incarnation);
    printWhenReady(process);
    process.loop.run();
    return 0;
}

/** The three replica processes and the client that proposes commands to them. */
class Bench
{
public:
    Bench()
    {
        for (const std::string name : {"door", "r1", "r2", "r3"})
            addresses_[name] = Loopback::freeAddress(Loopback::nextHost());
        for (const std::string name : {"r1", "r2", "r3"})
            start(name);
        Addresses replicas = addresses_;
        replicas.erase("door");
        proposer_ =
            std::make_unique<Process>("door", std::string(), addresses_["door"], replicas, 1);
    }

    void start(const std::string &name)
    {
        std::vector<std::string> command{"/proc/self/exe", "replica", name, folder(name),
                                         addresses_[name]};
        for (const auto &[peer, address] : addresses_) {
            if (peer != name)
                command.push_back(fmt::format("{}={}", peer, address));
        }
        replicas_[name] = std::make_unique<ChildProcess>(command);
    }
    std::string folder(const std::string &name) const { return (folder_.path() / name).string(); }
    ChildProcess &replica(const std::string &name) { return *replicas_.at(name); }
    std::string leader() const { return proposer_->task->leaderName(); }
    std::string follower() const { return leader() == "r1" ? "r2" : "r1"; }

    /** Runs the event loop until \a condition holds and returns the elapsed seconds. */
    double runUntil(const std::function<bool()> &condition)
    {
        const TimePoint begin = now();
        Timer poll(proposer_->loop, [&] {
            if (condition())
                proposer_->loop.stop();
            if (now() > begin + WaitLimit)
                proposer_->loop.stop();
        });
        poll.startEvery(std::chrono::milliseconds(1));
        proposer_->loop.run();
        // Thrown outside of the event loop, so that the replicas are killed when the bench ends.
        if (now() > begin + WaitLimit)
            throw std::runtime_error("the time limit of the bench has passed");
        return seconds(now() - begin);
    }

    /** Commits all commands, at most MaxInFlight at a time; returns the elapsed seconds. */
    double commitAll(const std::vector<std::string> &commands)
    {
        next_ = 0;
        committed_ = 0;
        refused_ = 0;
        commands_ = &commands;
        for (std::size_t i = 0; i < MaxInFlight; ++i)
            proposeNext();
        const double elapsed = runUntil([&] { return committed_ + refused_ == commands.size(); });
        if (refused_ > 0)
            fmt::print(stderr, "{} of {} commands failed\n", refused_, commands.size());
        return elapsed;
    }
    std::size_t refused() const { return refused_; }

    /** Kills the leader and returns the seconds until the next write was committed. */
    double failover()
    {
        const std::string killed = leader();
        const TimePoint begin = now();
        replica(killed).kill();
        // Shared with the callbacks, since outcomes may arrive after this function has returned.
        const auto committed = std::make_shared<std::optional<TimePoint>>();
        Timer proposer(proposer_->loop, [&] {
            proposer_->task->propose(changeCommand(++changes_),
                                     [this, committed](const Result<std::string> &outcome) {
                                         if (outcome && !*committed)
                                             *committed = now();
                                     });
        });
        proposer.startEvery(std::chrono::milliseconds(5));
        runUntil([&] { return committed->has_value(); });
        proposer.cancel();
        start(killed);
        waitReady(killed);
        return seconds(**committed - begin);
    }

    /** Restarts a follower that missed \a changes; returns the seconds until it is up to date. */
    double restart(std::size_t changes)
    {
        const std::string name = follower();
        replica(name).kill();
        std::vector<std::string> commands;
        for (std::size_t i = 0; i < changes; ++i)
            commands.push_back(changeCommand(++changes_));
        commitAll(commands);
        const TimePoint begin = now();
        start(name);
        waitReady(name);
        return seconds(now() - begin);
    }

    void waitReady(const std::string &name)
    {
        runUntil([&] { return replica(name).standardOutput().find("ready") != std::string::npos; });
    }

    std::uint64_t logBytes(const std::string &name) const
    {
        std::uint64_t bytes = 0;
        for (const auto &file : std::filesystem::directory_iterator(folder(name) + "/log"))
            bytes += file.file_size();
        return bytes;
    }
    double residentMiB(const std::string &name)
    {
        std::ifstream status(fmt::format("/proc/{}/status", replica(name).id()));
        std::string word;
        double kib = 0;
        while (status >> word) {
            if (word == "VmRSS:")
                status >> kib;
        }
        return kib / 1024;
    }

private:
    static double seconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }
    TimePoint now() const { return proposer_->loop.clock().now(); }
    /** Returns the submission of one record, like a change by an operator. */
    static std::string changeCommand(std::size_t number)
    {
        Records::BatchSpec spec;
        spec.team = "team";
        spec.declared = {1'000, 1'024, 0};
        spec.payload = fmt::format("archive --part={}", number);
        return State::encodeCommand(
            Records::Submit{{"operator", fmt::format("change-{}", number), CommandTime},
                            {Records::RecordKind::Batch, fmt::format("change-{}", number)},
                            2,
                            spec,
                            {}});
    }
    void proposeNext()
    {
        if (next_ == commands_->size())
            return;
        proposer_->task->propose((*commands_)[next_++], [this](const Result<std::string> &outcome) {
            ++(outcome ? committed_ : refused_);
            proposeNext();
        });
    }

    TemporaryFolder folder_;
    Addresses addresses_;
    std::map<std::string, std::unique_ptr<ChildProcess>> replicas_;
    std::unique_ptr<Process> proposer_;
    const std::vector<std::string> *commands_ = nullptr;
    std::size_t next_ = 0;
    std::size_t committed_ = 0;
    std::size_t refused_ = 0;
    std::size_t changes_ = 0;
};

/** Commands that register workers and submit tasks, and commands that place each task. */
struct CommandSet
{
    CommandSet()
    {
        State::ControlState model;
        const auto prepare = [&](const State::Command &command) {
            preparation.push_back(State::encodeCommand(command));
            model.apply(preparation.size(), preparation.back());
        };
        for (std::size_t i = 0; i < Workers; ++i) {
            Placement::RegisterWorker command;
            command.worker = fmt::format("worker-{}", i);
            command.location = {"region-1", "domain-1", fmt::format("rack-{}", i / 3)};
            command.capacity = {64'000, 256'000, 2};
            command.lease = std::chrono::seconds(3);
            command.at = CommandTime;
            prepare(Placement::TaskCommand(command));
        }
        for (std::size_t i = 0; i < Tasks; ++i) {
            Records::BatchSpec spec;
            spec.team = fmt::format("team-{}", i % 42);
            spec.declared = {2'000, 4'096, 0};
            spec.payload = fmt::format("archive --part={}", i);
            const Records::RecordKey key{Records::RecordKind::Batch, fmt::format("job-{}", i)};
            prepare(Records::Submit{
                {"operator", fmt::format("key-{}", i), CommandTime}, key, 2, spec, {}});
            Placement::PlaceTasks place;
            place.at = CommandTime;
            place.placements.push_back(
                {model.tasks().tasksOf(key).front(), 1, fmt::format("worker-{}", i % Workers), 1});
            starts.push_back(State::encodeCommand(Placement::TaskCommand(place)));
        }
    }

    std::vector<std::string> preparation;
    std::vector<std::string> starts;
};

void measure()
{
    Bench bench;
    const CommandSet commands;
    const std::uint64_t before = bench.logBytes("r1");
    const double residentBefore = bench.residentMiB("r1");
    bench.commitAll(commands.preparation);
    const auto records = static_cast<double>(commands.preparation.size());
    fmt::print(stderr, "log bytes per record: {:.0f}, resident KiB per record: {:.2f}\n",
               static_cast<double>(bench.logBytes("r1") - before) / records,
               (bench.residentMiB("r1") - residentBefore) * 1024 / records);

    const double elapsed = bench.commitAll(commands.starts);
    const double rate = static_cast<double>(Tasks - bench.refused()) / elapsed;
    fmt::print("figure control.starts_rate {:.0f} 1/s target >=2300\n", rate);

    double failover = 0;
    for (int round = 0; round < FailoverRounds; ++round) {
        const double roundSeconds = bench.failover();
        fmt::print(stderr, "failover: {:.2f} s\n", roundSeconds);
        failover = std::max(failover, roundSeconds);
    }
    fmt::print("figure control.failover {:.2f} s target <=1.6\n", failover);

    double restart = 0;
    for (int round = 0; round < RestartRounds; ++round) {
        const double roundSeconds = bench.restart(MissedChanges);
        fmt::print(stderr, "restart after {} missed changes: {:.2f} s\n", MissedChanges,
                   roundSeconds);
        restart = std::max(restart, roundSeconds);
    }
    fmt::print("figure control.restart {:.2f} s target <=1\n", restart);
    fmt::print(stderr, "restart that needs a snapshot: {:.2f} s\n",
               bench.restart(MissedChangesForSnapshot));
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> words(argv, argv + argc);
    try {
        if (words.size() > 5 && words[1] == "replica")
            return runReplica(words);
        measure();
    } catch (const std::exception &failure) {
        fmt::print(stderr, "{}\n", failure.what());
        return 1;
    }
    return 0;
}
