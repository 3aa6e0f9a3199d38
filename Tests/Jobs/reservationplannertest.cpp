#include "simulatedfleet.h"

using namespace Oleander;
using namespace Oleander::Testing;

namespace {

StepSpec longRunningStep(std::uint32_t count, std::uint32_t milliCores)
{
    StepSpec spec = step(count, milliCores);
    spec.estimateMs = 0;
    spec.longRunning = true;
    return spec;
}

StepSpec longRunningSpread(std::uint32_t count, std::uint32_t milliCores, std::uint32_t perMinion)
{
    StepSpec spec = longRunningStep(count, milliCores);
    spec.maxPerMinion = perMinion;
    return spec;
}

StepSpec shortTasks(std::uint32_t count, std::uint32_t milliCores, std::uint32_t estimateMs)
{
    StepSpec spec = step(count, milliCores);
    spec.estimateMs = estimateMs;
    return spec;
}

/** Minions of 16 and 24 cores in a ratio of two to one. */
std::vector<std::uint32_t> mixedMinions(std::size_t count)
{
    std::vector<std::uint32_t> sizes;
    for (std::size_t i = 0; i < count; ++i)
        sizes.push_back(i % 3 == 2 ? 24'000 : 16'000);
    return sizes;
}

} // namespace

TEST_CASE("A long-running job submitted to a full service gets at least half the mean share")
{
    SimulatedFleet fleet(mixedMinions(12));
    // Claims 214 of 224 cores.
    const std::vector<std::pair<std::uint32_t, std::uint32_t>> sizes{
        {14, 3'100}, {10, 4'100}, {9, 4'250}, {13, 2'200}, {14, 1'800}, {8, 4'350}, {3, 1'600}};
    std::vector<std::string> first;
    for (const auto &[count, milliCores] : sizes) {
        first.push_back("first-" + std::to_string(first.size()));
        fleet.leader().submit(first.back(), {longRunningStep(count, milliCores)});
    }
    fleet.pass(5s);
    fleet.leader().submit("wide", {longRunningStep(14, 3'800)});
    fleet.leader().submit("large", {longRunningStep(6, 5'000)});
    fleet.pass(5s);
    double wide = 0;
    double large = 0;
    double others = 0;
    int samples = 0;
    fleet.pass(10s, [&] {
        ++samples;
        wide += fleet.shareAtWork("wide");
        large += fleet.shareAtWork("large");
        for (const std::string &id : first)
            others += fleet.shareAtWork(id) / static_cast<double>(first.size());
    });
    const double all = (wide + large + others * static_cast<double>(first.size()))
                       / static_cast<double>(first.size() + 2);
    CHECK(wide / all >= 0.5);
    CHECK(large / all >= 0.5);
    CHECK(all / samples >= 0.7);
    CHECK(fleet.overCapacity() == 0);
}

TEST_CASE("A failed long-running task restarts before small tasks claim its resources")
{
    SimulatedFleet fleet({16'000, 16'000, 16'000, 16'000});
    fleet.leader().submit("base", {longRunningStep(12, 5'000)});
    fleet.pass(2s);
    REQUIRE(fleet.shareAtWork("base") == 1.0);
    int number = 0;
    const auto smallJobs = [&] {
        if (++number % 2 == 0)
            fleet.leader().submit("small-" + std::to_string(number), {shortTasks(6, 320, 900)});
    };
    fleet.pass(3s, smallJobs);
    fleet.fail({"base", 0, 7});
    // The platform counts a violation if a long-running task does not run for 3 s.
    fleet.pass(3s, smallJobs);
    CHECK(fleet.shareAtWork("base") == 1.0);
    CHECK(fleet.overCapacity() == 0);
}

TEST_CASE("The limit of tasks of a step per minion holds within one placement pass")
{
    SimulatedFleet fleet({16'000, 16'000});
    fleet.leader().submit("apart", {longRunningSpread(6, 2'000, 2)});
    fleet.pass(1s);
    CHECK(fleet.mostOnOneMinion("apart") == 2);
    fleet.fail({"apart", 0, 0});
    fleet.pass(1s);
    CHECK(fleet.mostOnOneMinion("apart") == 2);
}

TEST_CASE("Long-running jobs that share a full service leave short tasks the resources they claim")
{
    SimulatedFleet fleet(mixedMinions(12));
    for (int i = 0; i < 12; ++i) {
        const std::string id = "lasting-" + std::to_string(i);
        fleet.leader().submit(id,
                              {longRunningStep(8, static_cast<std::uint32_t>(2'000 + 250 * i))});
    }
    // Short jobs claim 14 of 224 cores on average.
    int number = 0;
    const auto shortJobs = [&] {
        if (++number % 5 == 0)
            fleet.leader().submit("short-" + std::to_string(number), {shortTasks(17, 320, 640)});
    };
    fleet.pass(5s, shortJobs);
    const std::int64_t from = fleet.leader().nowMs;
    for (int i = 0; i < 4; ++i)
        fleet.leader().submit("late-" + std::to_string(i), {longRunningStep(10, 3'900)});
    fleet.pass(20s, shortJobs);
    int accepted = 0;
    int inTime = 0;
    for (const auto &[id, job] : fleet.leader().book.jobs()) {
        // The objective is twice the estimate plus half a second.
        if (!id.starts_with("short-") || job.acceptedAtMs < from
            || job.acceptedAtMs > fleet.leader().nowMs - 1'780)
            continue;
        ++accepted;
        inTime += job.state == JobState::Completed && job.endedAtMs <= job.acceptedAtMs + 1'780;
    }
    CHECK(inTime == accepted);
    CHECK(fleet.overCapacity() == 0);
}

TEST_CASE("A reservation is not left unusable because another task of its step starts there")
{
    SimulatedFleet fleet({8'000, 8'000});
    fleet.leader().submit("base", {longRunningStep(4, 4'000)});
    fleet.pass(2s);
    fleet.leader().submit("apart", {longRunningSpread(2, 2'000, 1)});
    // One task of the job "base" yields to the job "apart".
    fleet.pass(1'500ms);
    REQUIRE(fleet.shareAtWork("apart") == 0.5);
    fleet.leader().submit("small", {longRunningStep(1, 2'000)});
    fleet.pass(500ms);
    CHECK(fleet.shareAtWork("small") == 1.0);
}

TEST_CASE("Evictions respect the limit of unavailable tasks of a step")
{
    SimulatedFleet fleet({16'000, 16'000});
    StepSpec guarded = longRunningStep(8, 4'000);
    guarded.maxUnavailable = 1;
    fleet.leader().submit("guarded", {guarded});
    fleet.pass(2s);
    REQUIRE(fleet.shareAtWork("guarded") == 1.0);
    fleet.leader().submit("late", {longRunningStep(8, 4'000)});
    fleet.pass(20s, [&] { REQUIRE(fleet.shareAtWork("guarded") >= 7.0 / 8); });
    CHECK(fleet.shareAtWork("late") == 1.0 / 8);
}

TEST_CASE("Free resources are accumulated only where no other waiting long-running task fits")
{
    SimulatedFleet fleet({16'000, 16'000, 16'000});
    fleet.leader().submit("base", {longRunningSpread(3, 11'000, 1)});
    StepSpec patient = shortTasks(3, 1'000, 60'000);
    patient.maxPerMinion = 1;
    fleet.leader().submit("long", {patient});
    fleet.pass(2s);
    // This task waits for the tasks of the job "long" to end.
    fleet.leader().submit("large", {longRunningStep(1, 5'000)});
    fleet.pass(2s);
    fleet.leader().submit("small", {longRunningStep(3, 4'000)});
    fleet.pass(1s);
    CHECK(fleet.shareAtWork("small") == 1.0);
    CHECK(fleet.overCapacity() == 0);
}

TEST_CASE("A long-running task does not wait beside capacity for two of its kind under short jobs")
{
    SimulatedFleet fleet({16'000, 16'000});
    fleet.leader().submit("base", {longRunningSpread(2, 11'000, 1)});
    fleet.pass(2s);
    int number = 0;
    // Keeps at least one short job waiting at any time.
    const auto shortJobs = [&] {
        if (fleet.leader().book.openJobs().size() < 8)
            fleet.leader().submit("short-" + std::to_string(++number), {shortTasks(12, 400, 640)});
    };
    fleet.pass(3s, shortJobs);
    fleet.leader().submit("late", {longRunningStep(1, 2'400)});
    // The platform counts a violation after 3 s.
    fleet.pass(3s, shortJobs);
    CHECK(fleet.shareAtWork("late") == 1.0);
    CHECK(fleet.overCapacity() == 0);
}
