// Measures the control state with SIZE tasks or after SIZE configuration changes: memory, log
// bytes, time to apply a command, and the size and times of the snapshot.
//
//   capacity-state tasks SIZE | changes SIZE

#include "State/controlstate.h"
#include "Support/processusage.h"

#include <fmt/format.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <string_view>

using namespace Oleander;
using namespace Oleander::State;

namespace {

constexpr std::size_t TasksPerWorker = 15;
constexpr std::size_t TasksPerCommand = 64;
const WallTime CommandTime{std::chrono::seconds(1'800'000'000)};

using SteadyClock = std::chrono::steady_clock;

double microsecondsSince(SteadyClock::time_point start)
{
    return std::chrono::duration<double, std::micro>(SteadyClock::now() - start).count();
}

void print(std::string_view name, std::size_t size, double value, std::string_view unit)
{
    fmt::print("capacity {} {} {:.4g} {}\n", name, size, value, unit);
}

/** Applies encoded commands to a control state as a replica does, and measures the costs. */
class MeasuredState
{
public:
    void apply(const Command &command)
    {
        const std::string bytes = encodeCommand(command);
        const auto start = SteadyClock::now();
        state_.apply(++index_, bytes);
        microseconds_ += microsecondsSince(start);
        bytes_ += bytes.size();
    }

    /** Prints the costs since the last call, divided by \a size, and resets them. */
    void printCosts(const std::string &name, std::size_t size)
    {
        print(name + ".apply", size, microseconds_ / static_cast<double>(size), "us/each");
        print(name + ".log", size, static_cast<double>(bytes_) / static_cast<double>(size),
              "B/each");
        microseconds_ = 0;
        bytes_ = 0;
    }

    const ControlState &state() const { return state_; }

private:
    ControlState state_;
    std::uint64_t index_ = 0;
    double microseconds_ = 0;
    std::uint64_t bytes_ = 0;
};

std::string taskName(std::size_t number)
{
    return fmt::format("job-{}", number);
}

std::string workerName(std::size_t number)
{
    return fmt::format("worker-{}", number);
}

void registerWorkers(MeasuredState &measuredState, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        Placement::RegisterWorker command;
        command.worker = workerName(i);
        command.location = {"region-1", fmt::format("domain-{}", i % 4),
                            fmt::format("rack-{}", i / 3)};
        command.capacity = {64'000, 256'000, 2};
        command.lease = std::chrono::seconds(3);
        command.at = CommandTime;
        measuredState.apply(Placement::TaskCommand(command));
    }
    measuredState.printCosts("workers.register", count);
}

void submitTasks(MeasuredState &measuredState, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        Records::BatchSpec spec;
        spec.team = fmt::format("team-{}", i % 42);
        spec.declared = {2'000, 4'096, 0};
        spec.payload = fmt::format("archive --part={}", i);
        measuredState.apply(Records::Submit{{"operator", fmt::format("key-{}", i), CommandTime},
                                            {Records::RecordKind::Batch, taskName(i)},
                                            2,
                                            spec,
                                            {}});
    }
    measuredState.printCosts("tasks.submit", count);
}

void placeTasks(MeasuredState &measuredState, std::size_t count, std::size_t workers)
{
    Placement::PlaceTasks command;
    command.at = CommandTime;
    for (std::size_t i = 0; i < count; ++i) {
        const auto id =
            measuredState.state().tasks().tasksOf({Records::RecordKind::Batch, taskName(i)});
        command.placements.push_back({id.front(), 1, workerName(i % workers), 1});
        if (command.placements.size() == TasksPerCommand || i + 1 == count) {
            measuredState.apply(Placement::TaskCommand(command));
            command.placements.clear();
        }
    }
    measuredState.printCosts("tasks.place", count);
}

void reportTasks(MeasuredState &measuredState, std::size_t count, std::size_t workers)
{
    for (std::size_t worker = 0; worker < workers; ++worker) {
        Placement::ReportTasks command;
        command.worker = workerName(worker);
        command.at = CommandTime;
        for (std::size_t i = worker; i < count; i += workers) {
            const auto id = measuredState.state()
                                .tasks()
                                .tasksOf({Records::RecordKind::Batch, taskName(i)})
                                .front();
            command.attempts.push_back({{id, 1, AttemptState::Running, {}, 0}, {}});
        }
        measuredState.apply(Placement::TaskCommand(command));
    }
    measuredState.printCosts("tasks.report", count);
}

void printSnapshotCosts(const MeasuredState &measuredState, const std::string &name,
                        std::size_t size)
{
    auto start = SteadyClock::now();
    const std::string bytes = measuredState.state().snapshot();
    print(name + ".snapshot", size, static_cast<double>(bytes.size()), "B");
    print(name + ".snapshot_time", size, microsecondsSince(start) / 1000, "ms");
    ControlState restored;
    start = SteadyClock::now();
    if (!restored.restore(bytes))
        std::abort();
    print(name + ".restore_time", size, microsecondsSince(start) / 1000, "ms");
}

void measureTasks(std::size_t count)
{
    const auto before = Testing::usageOf(getpid()).residentBytes;
    const std::size_t workers = (count + TasksPerWorker - 1) / TasksPerWorker;
    MeasuredState measuredState;
    registerWorkers(measuredState, workers);
    submitTasks(measuredState, count);
    placeTasks(measuredState, count, workers);
    reportTasks(measuredState, count, workers);
    const auto after = Testing::usageOf(getpid()).residentBytes;
    std::size_t running = 0;
    for (const auto &[id, task] : measuredState.state().tasks().tasks())
        running += task.state == Placement::TaskState::Running ? 1 : 0;
    print("tasks.running", count, static_cast<double>(running), "tasks");
    print("tasks.memory", count, static_cast<double>(after - before), "B");
    printSnapshotCosts(measuredState, "tasks", count);
}

void measureChanges(std::size_t count)
{
    const auto before = Testing::usageOf(getpid()).residentBytes;
    MeasuredState measuredState;
    for (std::size_t i = 0; i < count; ++i) {
        Records::ConfigurationSpec spec;
        for (int value = 0; value < 20; ++value)
            spec.values.emplace(fmt::format("value-{}", value), fmt::format("{}", i));
        Records::Submit command{{"operator", fmt::format("key-{}", i), CommandTime},
                                {Records::RecordKind::Configuration, "limits"},
                                2,
                                spec,
                                {}};
        if (i > 0)
            command.ifMatch = i;
        measuredState.apply(command);
    }
    measuredState.printCosts("changes", count);
    const auto after = Testing::usageOf(getpid()).residentBytes;
    print("changes.accepted", count,
          static_cast<double>(measuredState.state().configuration().version), "changes");
    print("changes.memory", count, static_cast<double>(after - before), "B");
    printSnapshotCosts(measuredState, "changes", count);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        fmt::print(stderr, "usage: capacity-state tasks|changes SIZE\n");
        return 2;
    }
    const std::string_view mode = argv[1];
    const std::size_t size = std::strtoul(argv[2], nullptr, 10);
    if (mode == "tasks")
        measureTasks(size);
    else
        measureChanges(size);
    return 0;
}
