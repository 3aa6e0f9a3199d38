#include "simulatedfleet.h"

using namespace Oleander;
using namespace Oleander::Testing;

namespace {

/** A job of one task whose runs end by crashes of minions. */
struct CrashFixture : BookFixture
{
    TaskRef task{"a", 0, 0};
    std::uint32_t run = 0;

    CrashFixture() { submit("a", {step(1)}); }

    /** Starts the task and ends the run by a crash with \a suspects possible causes. */
    void crash(std::uint32_t suspects, bool hasStarted = true)
    {
        REQUIRE(start(task, ++run, LifeA));
        MinionRunEnd runEnd{LifeA, {0, task, run, RunEndKind::Lost, {}}, suspects, hasStarted};
        JobBatch batch;
        batch.ends.push_back(std::move(runEnd));
        apply(std::move(batch));
    }
};

/** Submits \a count jobs whose tasks are suspected of one crash. */
void suspectTogether(SchedulerFixture &leader, std::uint32_t count)
{
    const MinionLife crashed{"crashed", 1};
    for (std::uint32_t i = 0; i < count; ++i) {
        const std::string id = "suspect-" + std::to_string(i);
        leader.submit(id, {step(1)});
        REQUIRE(leader.start({id, 0, 0}, 1, crashed));
        JobBatch batch;
        batch.ends.push_back({crashed, {0, {id, 0, 0}, 1, RunEndKind::Lost, {}}, count, true});
        leader.apply(std::move(batch));
    }
}

} // namespace

TEST_CASE("A task is given up after two crashes if one is certainly its own")
{
    CrashFixture fixture;
    fixture.crash(3);
    CHECK(fixture.state("a") == JobState::Running);
    fixture.crash(1);
    CHECK(fixture.state("a") == JobState::Failed);
    CHECK_FALSE(fixture.start(fixture.task, fixture.run + 1, LifeB));
}

TEST_CASE("A task is not given up for crashes that another run may have caused")
{
    CrashFixture fixture;
    for (int i = 0; i < 3; ++i)
        fixture.crash(2);
    CHECK(fixture.state("a") == JobState::Running);
}

TEST_CASE("A task is started at most four times if each start may have crashed its minion")
{
    CrashFixture fixture;
    for (int i = 0; i < 4; ++i)
        fixture.crash(2);
    CHECK(fixture.state("a") == JobState::Failed);
}

TEST_CASE("A start that the minion has not confirmed does not count towards giving up")
{
    CrashFixture fixture;
    fixture.crash(2, false);
    fixture.crash(1);
    CHECK(fixture.state("a") == JobState::Running);
    fixture.crash(2);
    CHECK(fixture.state("a") == JobState::Failed);
}

TEST_CASE("A run that ends without a crash clears its task of earlier crashes")
{
    CrashFixture fixture;
    fixture.crash(1);
    CHECK(fixture.book.crashSuspects().contains(fixture.task));
    REQUIRE(fixture.start(fixture.task, ++fixture.run, LifeB));
    fixture.end(fixture.task, fixture.run, LifeB, RunEndKind::Stopped);
    CHECK(fixture.book.crashSuspects().empty());
    fixture.crash(1);
    CHECK(fixture.state("a") == JobState::Running);
}

TEST_CASE("Crashes are counted across a snapshot")
{
    CrashFixture fixture;
    fixture.crash(1);
    const std::string bytes = fixture.book.snapshot();
    fixture.book = JobBook();
    REQUIRE(fixture.book.restore(bytes));
    CHECK(fixture.book.crashSuspects().contains(fixture.task));
    fixture.crash(2);
    CHECK(fixture.state("a") == JobState::Failed);
}

TEST_CASE("Tasks that crash their minions are given up and the jobs beside them complete")
{
    constexpr int Jobs = 60;
    constexpr int CrashingEvery = 10;
    SimulatedFleet fleet(std::vector<std::uint32_t>(8, 16'000));
    const auto isCrashing = [](int i) { return i % CrashingEvery == CrashingEvery / 2; };
    for (int i = 0; i < Jobs; ++i) {
        const std::string id = "job-" + std::to_string(i);
        if (isCrashing(i))
            fleet.setCrashing(id);
        fleet.leader().submit(id, {step(isCrashing(i) ? 1 : 6)});
    }
    fleet.pass(40s);
    for (int i = 0; i < Jobs; ++i) {
        const std::string id = "job-" + std::to_string(i);
        INFO(id);
        CHECK(fleet.leader().state(id) == (isCrashing(i) ? JobState::Failed : JobState::Completed));
        // The platform forbids a third start after three crashes.
        CHECK(fleet.crashesBy(id) <= 5);
    }
}

TEST_CASE("A crash suspect starts alone although its minion receives other tasks all the time")
{
    SimulatedFleet fleet({16'000});
    fleet.setCrashing("crashing");
    fleet.leader().submit("crashing", {step(1)});
    int submitted = 0;
    fleet.pass(20s,
               [&] { fleet.leader().submit("job-" + std::to_string(submitted++), {step(1)}); });
    CHECK(fleet.leader().state("crashing") == JobState::Failed);
    CHECK(fleet.crashesBy("crashing") <= 3);
}

TEST_CASE("Other tasks start beside many crash suspects on the only minion of a service")
{
    SimulatedFleet fleet({40'000});
    fleet.setCrashing("crashing");
    fleet.leader().submit("crashing", {step(1)});
    for (int i = 0; i < 30; ++i)
        fleet.leader().submit("job-" + std::to_string(i), {step(1)});
    fleet.pass(1s);
    REQUIRE(fleet.leader().book.crashSuspects().size() == 31);
    fleet.leader().cancel("crashing");
    fleet.pass(2500ms);
    fleet.leader().submit("later", {step(1)});
    fleet.pass(2s);
    CHECK(fleet.leader().state("later") == JobState::Completed);
    fleet.pass(18s);
    CHECK(fleet.leader().book.crashSuspects().empty());
}

TEST_CASE("Crash suspects leave minions of each service to other tasks")
{
    SchedulerFixture leader;
    suspectTogether(leader, 8);
    for (int i = 0; i < 6; ++i) {
        const std::string number = std::to_string(i);
        MachineReport report = reportOf({"minion-" + number, 100}, 1'000);
        report.minion.service = i < 2 ? "notices" : "other";
        leader.report("agent-" + number, report);
        leader.directive("agent-" + number);
    }
    leader.submit("later", {step(1)});
    leader.decide();
    CHECK(leader.state("later") == JobState::Running);
}

TEST_CASE("A suspended minion does not count among those that crash suspects leave to other tasks")
{
    // A third of five minions is one, of six it is two.
    constexpr std::uint32_t Minions = 6;
    SchedulerFixture leader;
    const MinionLife failing{"minion-0", 100};
    MachineReport failures = reportOf(failing, 1'000);
    for (std::uint32_t number = 1; number <= 3; ++number) {
        const std::string id = "failing-" + std::to_string(number);
        leader.submit(id, {step(1)});
        REQUIRE(leader.start({id, 0, 0}, 1, failing));
        failures.finished.push_back({number, {id, 0, 0}, 1, RunEndKind::Failed, {}});
    }
    leader.report("agent-0", failures);
    leader.decide();
    // From now on the minion accepts long-running tasks.
    leader.advance(1'500ms);
    for (std::uint32_t i = 0; i < Minions; ++i) {
        const std::string number = std::to_string(i);
        leader.report("agent-" + number, reportOf({"minion-" + number, 100}, 2'500));
        leader.directive("agent-" + number);
    }
    suspectTogether(leader, 8);
    std::size_t suspectStarts = 0;
    for (const RunStart &start : leader.decide().starts)
        suspectStarts += start.task.job.starts_with("suspect-") ? 1 : 0;
    CHECK(suspectStarts == 1);
}

TEST_CASE("A filling crash suspect whose job is starved starts on a mostly idle service")
{
    SchedulerFixture leader;
    leader.scheduler.interference().importLearned({{{"loud", "web", 0.5}}, {{"web", 0.4}}});
    StepSpec serving = step(1, 6'000);
    serving.longRunning = true;
    serving.targetLatencyMs = 100;
    serving.image = "web";
    leader.submit("s", {serving});
    const auto pass = [&](Duration time) {
        leader.advance(time);
        leader.report("agent-a", reportOf(LifeA, static_cast<std::uint64_t>(leader.nowMs), 40'000));
        leader.directive("agent-a");
        return leader.decide().starts.size();
    };
    REQUIRE(pass(1s) == 1);
    StepSpec filling = step(1, 4'000);
    filling.filling = true;
    filling.image = "loud";
    leader.submit("f", {filling});
    REQUIRE(leader.start({"f", 0, 0}, 1, LifeB));
    JobBatch batch;
    batch.ends.push_back({LifeB, {0, {"f", 0, 0}, 1, RunEndKind::Lost, {}}, 2, true});
    leader.apply(std::move(batch));
    CHECK(pass(500ms) == 0);
    CHECK(pass(1'100ms) == 1);
}
