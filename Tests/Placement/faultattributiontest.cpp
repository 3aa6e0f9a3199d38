#include "Placement/faultattribution.h"

#include "bookfixture.h"
#include "faultrun.h"
#include "Placement/backoff.h"

#include <catch2/catch.hpp>

using namespace Oleander;
using namespace Oleander::Placement;
using namespace Oleander::Testing;

TEST_CASE("A job that fits on no worker is reported as impossible with the nearest fit")
{
    BookFixture fixture;
    fixture.addWorker("small", {4000, 8192, 0});
    fixture.addWorker("large", {64'000, 250'000, 1});
    fixture.submit("huge", batchOf({64'000, 250'000, 4}));
    CHECK(fixture.task("batch.huge").state == TaskState::Impossible);
    const std::string reason = fixture.task("batch.huge").reason;
    CHECK(reason.find("the nearest is large") != std::string::npos);
    CHECK(reason.find("lacks 3 accelerators") != std::string::npos);
    CHECK(fixture.hasEvent("batch.huge", "can never be placed"));

    SECTION("a new worker that is large enough makes it possible")
    {
        fixture.addWorker("grown", {64'000, 250'000, 4});
        CHECK(fixture.task("batch.huge").state == TaskState::Queued);
        CHECK(fixture.place("batch.huge", "grown"));
    }
    SECTION("an amendment that fits makes it possible")
    {
        fixture.submit("huge", batchOf());
        CHECK(fixture.task("batch.huge").state == TaskState::Queued);
    }
}

TEST_CASE("A job that fails on several healthy workers is held and the workers stay healthy")
{
    FaultRun run(1, Faults{}, 5);
    run.setRunTime(std::chrono::seconds(3));
    run.failTask("batch.bad");
    run.submit("bad", batchOf());
    for (int job = 0; job < 5; ++job)
        run.submit("good" + std::to_string(job), batchOf());
    CHECK(run.runUntil([&] { return run.book().task("batch.bad")->state == TaskState::Failed; },
                       std::chrono::minutes(5)));
    CHECK(run.book().task("batch.bad")->reason.find("failed on 3 healthy workers")
          != std::string::npos);
    CHECK(run.book().task("batch.bad")->failures == 3);
    for (const auto &[name, worker] : run.book().workers()) {
        INFO(name);
        CHECK(worker.health == WorkerHealth::Healthy);
        CHECK(worker.failedTasks.empty());
    }
}

TEST_CASE("A worker on which all tasks fail is suspended, probed, and restored once tasks succeed")
{
    FaultRun run(2, Faults{}, 4);
    run.setRunTime(std::chrono::seconds(3));
    run.failWorker("w1", true);
    for (int job = 0; job < 40; ++job)
        run.submit("j" + std::to_string(job), batchOf());
    const auto health = [&] { return run.book().worker("w1")->health; };
    CHECK(
        run.runUntil([&] { return run.book().worker("w1") && health() == WorkerHealth::Suspended; },
                     std::chrono::minutes(2)));
    const auto allDone = [&] {
        for (const auto &[id, task] : run.book().tasks()) {
            if (task.state != TaskState::Done)
                return false;
        }
        return true;
    };
    CHECK(run.runUntil(allDone, std::chrono::minutes(10)));
    run.failWorker("w1", false);
    for (int job = 0; job < 400; ++job)
        run.submit("later" + std::to_string(job), batchOf());
    CHECK(
        run.runUntil([&] { return health() == WorkerHealth::Healthy; }, std::chrono::minutes(15)));
    CHECK(run.hasEvent("w1", "suspended"));
    CHECK(run.hasEvent("w1", "gets work again"));
}

TEST_CASE("A failing job is held and a failing worker suspended, and other jobs finish")
{
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        FaultRun run(seed, Faults{}, 5);
        run.setRunTime(std::chrono::seconds(3));
        run.failWorker("w2", true);
        run.failTask("batch.bad");
        run.submit("bad", batchOf());
        for (int job = 0; job < 40; ++job)
            run.submit("j" + std::to_string(job), batchOf());
        const auto settled = [&] {
            for (const auto &[id, task] : run.book().tasks()) {
                if (!isFinal(task.state))
                    return false;
            }
            return true;
        };
        CHECK(run.runUntil(settled, std::chrono::minutes(15)));
        for (const auto &[id, task] : run.book().tasks()) {
            INFO(id << ": " << task.reason);
            CHECK(task.state == (id == "batch.bad" ? TaskState::Failed : TaskState::Done));
        }
        for (const auto &[name, worker] : run.book().workers()) {
            INFO(name);
            CHECK((name == "w2" || worker.health == WorkerHealth::Healthy));
        }
        CHECK(run.hasEvent("w2", "suspended"));
    }
}

TEST_CASE("Many failing jobs suspend at most a third of the workers")
{
    FaultRun run(4, Faults{}, 6);
    run.setRunTime(std::chrono::seconds(3));
    for (int job = 0; job < 60; ++job) {
        run.failTask("batch.bad" + std::to_string(job));
        run.submit("bad" + std::to_string(job), batchOf());
    }
    const auto haveAllFailed = [&] {
        std::size_t suspended = 0;
        bool isOver = true;
        for (const auto &[name, worker] : run.book().workers())
            suspended += worker.health != WorkerHealth::Healthy ? 1 : 0;
        for (const auto &[id, task] : run.book().tasks())
            isOver = isOver && task.state == TaskState::Failed;
        CHECK(suspended <= 2);
        return isOver;
    };
    CHECK(run.runUntil(haveAllFailed, std::chrono::minutes(20)));
}

TEST_CASE("A retry waits for its backoff, and an event reports the failure")
{
    BookFixture fixture;
    fixture.addWorker("w1");
    fixture.submit("j", batchOf());
    fixture.place("batch.j", "w1");
    ReportTasks report{"w1", {}, {}, fixture.now};
    report.attempts.push_back(
        {{"batch.j", 1, AttemptState::Failed, "Exit code 3.", 0}, std::chrono::hours(5)});
    fixture.apply(report);
    CHECK(fixture.hasEvent("batch.j", "Exit code 3."));
    CHECK_FALSE(fixture.place("batch.j", "w1"));
    // A delay in a command is capped at the maximum.
    fixture.now += std::chrono::duration_cast<std::chrono::milliseconds>(MaxRetryDelay);
    CHECK(fixture.place("batch.j", "w1"));
}

TEST_CASE("Backoff delays grow with failures, lie in the upper half of their bound, and differ")
{
    Backoff backoff(std::chrono::seconds(1), std::chrono::seconds(60), 7);
    for (std::uint32_t failures = 0; failures < 40; ++failures) {
        const Duration full = std::min<Duration>(
            std::chrono::seconds(60), std::chrono::seconds(1) * (1LL << std::min(failures, 20U)));
        const Duration drawn = backoff.next(failures);
        CHECK(drawn >= full / 2);
        CHECK(drawn <= full);
    }
    CHECK(backoff.next(5) != backoff.next(5));
}
