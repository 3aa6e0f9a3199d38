#include "bookfixture.h"
#include "faultrun.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace Oleander;
using namespace Oleander::Placement;
using namespace Oleander::Testing;

namespace {

constexpr std::uint64_t FirstCheckpoint = (std::uint64_t(1) << 32) + 1;

bool allIn(const TaskBook &book, TaskState state)
{
    return std::all_of(book.tasks().begin(), book.tasks().end(),
                       [&](const auto &entry) { return entry.second.state == state; });
}

} // namespace

TEST_CASE("An evicted task resumes exactly once, from the last complete checkpoint")
{
    for (const bool checkpointsFail : {false, true}) {
        for (std::uint32_t seed = 1; seed <= 20; ++seed) {
            Faults faults;
            faults.evict = 0.01;
            faults.lose = 0.05;
            faults.duplicate = 0.2;
            faults.unknownOutcome = 0.05;
            faults.checkpointsFail = checkpointsFail;
            FaultRun run(seed, faults, 3);
            run.submit("j", batchOf());
            run.runFor(std::chrono::seconds(60));
            INFO("seed " << seed);
            CHECK(run.overlap().empty());
            std::set<std::uint32_t> attempts;
            std::uint64_t before = 0;
            for (const Interval &interval : run.intervals().at("batch.j")) {
                CHECK(attempts.insert(interval.attempt).second);
                CHECK(interval.resumedFrom >= before);
                CHECK((!checkpointsFail || interval.resumedFrom == 0));
                before = interval.resumedFrom;
            }
            CHECK(attempts.size() > 1);
        }
    }
}

TEST_CASE("Two leaders that resume the same evicted task start it once")
{
    BookFixture fixture;
    fixture.addWorker("w1");
    fixture.addWorker("w2");
    fixture.submit("j", batchOf());
    REQUIRE(fixture.place("batch.j", "w1"));
    fixture.report("w1", "batch.j", 1, AttemptState::Running, FirstCheckpoint);
    fixture.apply(EvictTask{"batch.j", 1, StopCause::Relief, false, "", {}, fixture.now});
    CHECK_FALSE(fixture.place("batch.j", "w2"));
    fixture.report("w1", "batch.j", 1, AttemptState::Stopped, FirstCheckpoint);
    CHECK(fixture.task("batch.j").state == TaskState::Evicted);
    const PlaceTasks first{{{"batch.j", 2, "w2", 1}}, fixture.now};
    const PlaceTasks second{{{"batch.j", 2, "w1", 1}}, fixture.now};
    CHECK(fixture.apply(first).accepted());
    CHECK_FALSE(fixture.apply(second).accepted());
    CHECK(fixture.task("batch.j").live->resumedFrom == FirstCheckpoint);
}

TEST_CASE("A late report of an older attempt changes nothing")
{
    BookFixture fixture;
    fixture.addWorker("w1");
    fixture.submit("j", batchOf());
    fixture.place("batch.j", "w1");
    fixture.report("w1", "batch.j", 1, AttemptState::Stopped);
    fixture.place("batch.j", "w1");
    const std::string before = fixture.book.snapshot();
    for (const AttemptState state : {AttemptState::Running, AttemptState::Stopped,
                                     AttemptState::Succeeded, AttemptState::Failed})
        fixture.report("w1", "batch.j", 1, state, FirstCheckpoint);
    CHECK(fixture.book.snapshot() == before);
}

TEST_CASE("A job that succeeded before its worker was lost is done unless it was started again")
{
    for (const bool isPlacedAgain : {false, true}) {
        BookFixture fixture;
        fixture.addWorker("w1");
        fixture.addWorker("w2");
        fixture.submit("j", batchOf());
        fixture.place("batch.j", "w1");
        fixture.apply(LoseWorker{"w1", 1, "silent", fixture.now});
        if (isPlacedAgain)
            fixture.place("batch.j", "w2");
        fixture.report("w1", "batch.j", 1, AttemptState::Succeeded);
        CHECK(fixture.task("batch.j").state
              == (isPlacedAgain ? TaskState::Placed : TaskState::Done));
    }
}

TEST_CASE("A lost reply to a stop only delays the end of the task")
{
    Faults faults;
    faults.loseStopAnswers = true;
    FaultRun run(1, faults, 2);
    run.submit("j", batchOf());
    run.runUntil([&] { return allIn(run.book(), TaskState::Running); }, std::chrono::minutes(1));
    run.setRecord(Records::RecordKind::Batch, "j", batchOf(), true);
    CHECK(run.runUntil([&] { return allIn(run.book(), TaskState::Cancelled); },
                       std::chrono::minutes(1)));
}

TEST_CASE("A job that is not idempotent and left no checkpoint never starts again")
{
    BookFixture fixture;
    fixture.addWorker("w1");
    Records::BatchSpec spec = batchOf();
    spec.idempotent = false;
    fixture.submit("j", spec);
    fixture.place("batch.j", "w1");
    fixture.report("w1", "batch.j", 1, AttemptState::Running);
    CHECK_FALSE(
        fixture.apply(EvictTask{"batch.j", 1, StopCause::Relief, false, "", {}, {}}).accepted());
    fixture.apply(LoseWorker{"w1", 1, "silent", fixture.now});
    CHECK(fixture.task("batch.j").state == TaskState::Failed);
    CHECK(fixture.task("batch.j").reason.find("not idempotent") != std::string::npos);
    fixture.addWorker("w1");
    CHECK_FALSE(fixture.place("batch.j", "w1"));
}

TEST_CASE("An eviction of a non-idempotent job without a checkpoint is abandoned when its "
          "checkpoint fails")
{
    BookFixture fixture;
    fixture.addWorker("w1");
    Records::BatchSpec spec = batchOf();
    spec.idempotent = false;
    fixture.submit("j", spec);
    fixture.place("batch.j", "w1");
    fixture.report("w1", "batch.j", 1, AttemptState::Running);
    CHECK(fixture.apply(EvictTask{"batch.j", 1, StopCause::Relief, true, "", {}, {}}).accepted());
    CHECK(fixture.apply(AbandonCheckpoint{"batch.j", 1, "It failed.", {}}).accepted());
    CHECK(fixture.task("batch.j").state == TaskState::Running);
    CHECK(fixture.hasEvent("batch.j", "given up"));
}

TEST_CASE("A cancel during the start and during a checkpoint ends the task")
{
    BookFixture fixture;
    fixture.addWorker("w1");
    fixture.submit("starting", batchOf());
    fixture.submit("saving", batchOf());
    fixture.place("batch.starting", "w1");
    fixture.place("batch.saving", "w1");
    fixture.report("w1", "batch.saving", 1, AttemptState::Running);
    fixture.apply(EvictTask{"batch.saving", 1, StopCause::Relief, true, "", {}, fixture.now});
    CHECK(fixture.task("batch.saving").state == TaskState::Checkpointing);
    for (const std::string job : {"starting", "saving"}) {
        fixture.withdraw(Records::RecordKind::Batch, job, batchOf());
        CHECK(fixture.task("batch." + job).state == TaskState::Stopping);
        // A late report that it is running has no effect.
        fixture.report("w1", "batch." + job, 1, AttemptState::Running, FirstCheckpoint);
        CHECK(fixture.task("batch." + job).state == TaskState::Stopping);
        fixture.report("w1", "batch." + job, 1, AttemptState::Stopped);
        CHECK(fixture.task("batch." + job).state == TaskState::Cancelled);
    }
    CHECK(fixture.book.ledger().committed("w1") == Resources{});
}

TEST_CASE("Cancelling 1,000 jobs at once empties the queue and the workers")
{
    Faults faults;
    FaultRun run(3, faults, 4);
    for (int job = 0; job < 1000; ++job)
        run.submit("j" + std::to_string(job), batchOf());
    run.runFor(std::chrono::seconds(5));
    for (int job = 0; job < 1000; ++job)
        run.setRecord(Records::RecordKind::Batch, "j" + std::to_string(job), batchOf(), true);
    CHECK(run.runUntil([&] { return allIn(run.book(), TaskState::Cancelled); },
                       std::chrono::minutes(1)));
    for (const auto &[name, worker] : run.book().workers())
        CHECK(run.book().ledger().isEmpty(name));
}

TEST_CASE("A withdrawn job that is submitted again while it stops runs once more afterwards")
{
    BookFixture fixture;
    fixture.addWorker("w1");
    fixture.submit("j", batchOf());
    fixture.place("batch.j", "w1");
    fixture.withdraw(Records::RecordKind::Batch, "j", batchOf());
    fixture.submit("j", batchOf());
    CHECK_FALSE(fixture.place("batch.j", "w1"));
    fixture.report("w1", "batch.j", 1, AttemptState::Stopped);
    CHECK(fixture.place("batch.j", "w1"));
    CHECK(fixture.task("batch.j").attempt == 2);
}

TEST_CASE("A drain moves tasks to other workers, reports its end and keeps the worker empty")
{
    FaultRun run(5, Faults{}, 2);
    for (int job = 0; job < 3; ++job)
        run.submit("j" + std::to_string(job), batchOf());
    run.runUntil([&] { return allIn(run.book(), TaskState::Running); }, std::chrono::minutes(1));
    run.setRecord(Records::RecordKind::Drain, "night", Records::DrainSpec{"w0", "repair"}, false);
    CHECK(run.runUntil([&] { return run.book().worker("w0")->drained; }, std::chrono::minutes(1)));
    CHECK(run.hasEvent("night", "Worker w0 is drained."));
    run.runFor(std::chrono::seconds(20));
    CHECK(run.book().ledger().isEmpty("w0"));
    CHECK(allIn(run.book(), TaskState::Running));
}

TEST_CASE("A drain that cannot finish reports the reason and finishes once it is possible")
{
    FaultRun run(6, Faults{}, 1);
    Records::ServiceSpec service;
    service.declared = {3000, 4096, 0};
    run.submitService("notices", service);
    run.runUntil([&] { return allIn(run.book(), TaskState::Running); }, std::chrono::minutes(1));
    run.setRecord(Records::RecordKind::Drain, "night", Records::DrainSpec{"w0", "repair"}, false);
    CHECK(run.runUntil([&] { return run.hasEvent("night", "No other worker has room"); },
                       std::chrono::minutes(1)));
    CHECK(allIn(run.book(), TaskState::Running));
    run.setRecord(Records::RecordKind::Service, "notices", service, true);
    CHECK(run.runUntil([&] { return run.book().worker("w0")->drained; }, std::chrono::minutes(1)));
}

TEST_CASE("A LoseWorker command of an earlier term is refused")
{
    BookFixture fixture;
    fixture.addWorker("w1");
    CHECK(fixture.apply(StartTerm{"a"}).term == 1);
    CHECK(fixture.apply(StartTerm{"b"}).term == 2);
    CHECK_FALSE(fixture.apply(LoseWorker{"w1", 1, "silent", fixture.now, 1}).accepted());
    CHECK(fixture.apply(LoseWorker{"w1", 1, "silent", fixture.now, 2}).accepted());
}
