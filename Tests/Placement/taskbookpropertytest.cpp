#include "bookfixture.h"
#include "property.h"

#include <catch2/catch.hpp>

#include <map>

using namespace Oleander;
using namespace Oleander::Placement;
using Oleander::Testing::BookFixture;

namespace {

constexpr int Workers = 3;
constexpr int Jobs = 8;

std::string jobName(int number)
{
    return "j" + std::to_string(number);
}

std::string workerName(int number)
{
    return "w" + std::to_string(number);
}

/** Applies a random command, which may be invalid. */
void applyRandomCommand(BookFixture &fixture)
{
    const int kind = *rc::gen::inRange(0, 11);
    const std::string worker = workerName(*rc::gen::inRange(0, Workers));
    const int job = *rc::gen::inRange(0, Jobs);
    const std::string id = "batch." + jobName(job);
    const Task *task = fixture.book.task(id);
    // Most attempt numbers are valid; some are off by one, as from a late or concurrent proposer.
    const auto attempt =
        static_cast<std::uint32_t>(static_cast<int>(task ? task->attempt : 0)
                                   + *rc::gen::weightedElement<int>({{6, 0}, {6, 1}, {1, -1}}));
    const Worker *known = fixture.book.worker(worker);
    const std::uint64_t session =
        (known ? known->session : 1) - (*rc::gen::inRange(0, 8) == 0 ? 1U : 0U);
    fixture.now += std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
    switch (kind) {
    case 0:
        fixture.addWorker(worker, {static_cast<std::uint32_t>(*rc::gen::inRange(1, 5)) * 1000,
                                   static_cast<std::uint64_t>(*rc::gen::inRange(1, 5)) * 1024,
                                   static_cast<std::uint32_t>(*rc::gen::inRange(0, 3))});
        break;
    case 1:
        fixture.submit(jobName(job), {"t",
                                      {static_cast<std::uint32_t>(*rc::gen::inRange(1, 4)) * 500,
                                       static_cast<std::uint64_t>(*rc::gen::inRange(1, 4)) * 512,
                                       static_cast<std::uint32_t>(*rc::gen::inRange(0, 2))},
                                      "run",
                                      Records::Urgency::Ordinary,
                                      *rc::gen::inRange(0, 4) != 0});
        break;
    case 2:
    case 3:
    case 4:
        fixture.apply(PlaceTasks{{{id, attempt, worker, session}}, fixture.now});
        break;
    case 5:
    case 6:
        fixture.report(worker, id, attempt,
                       *rc::gen::element(AttemptState::Running, AttemptState::Stopped,
                                         AttemptState::Failed, AttemptState::Succeeded),
                       static_cast<std::uint64_t>(*rc::gen::inRange(0, 5)));
        break;
    case 7:
        fixture.apply(EvictTask{id,
                                attempt,
                                StopCause::Relief,
                                *rc::gen::arbitrary<bool>(),
                                "relief",
                                {},
                                fixture.now});
        break;
    case 8:
        fixture.apply(LoseWorker{worker, session, "silent", fixture.now});
        break;
    case 9:
        fixture.apply(CancelTasks{{id}, "cancelled", fixture.now});
        break;
    default:
        fixture.withdraw(Records::RecordKind::Batch, jobName(job), Testing::batchOf());
        break;
    }
}

/** Returns the resources of the live attempts on one worker, computed from the tasks alone. */
Resources committedOn(const TaskBook &book, const std::string &worker)
{
    Resources held;
    for (const auto &[id, task] : book.tasks()) {
        if (task.live && task.live->worker == worker)
            held = sum(held, task.live->committed);
    }
    return held;
}

} // namespace

TEST_CASE("No sequence of commands commits a worker beyond its capacity")
{
    const auto failure = Testing::propertyFailure(20'260'501, 400, [] {
        BookFixture fixture;
        std::map<std::string, Resources> before;
        for (int step = 0; step < 80; ++step) {
            applyRandomCommand(fixture);
            for (const auto &[name, worker] : fixture.book.workers()) {
                const Resources held = committedOn(fixture.book, name);
                RC_ASSERT(fixture.book.ledger().committed(name) == held);
                // The capacity may shrink below the commitments, but then they must not grow.
                RC_ASSERT(fitsInto(held, worker.capacity) || fitsInto(held, before[name]));
                before[name] = held;
            }
        }
    });
    INFO(failure);
    CHECK(failure.empty());
}

TEST_CASE(
    "Attempt numbers of a task increase by one, and only after the previous attempt has ended")
{
    const auto failure = Testing::propertyFailure(20'260'502, 400, [] {
        BookFixture fixture;
        std::map<std::string, std::pair<std::uint32_t, bool>> before;
        for (int step = 0; step < 80; ++step) {
            applyRandomCommand(fixture);
            for (const auto &[id, task] : fixture.book.tasks()) {
                auto &[attempt, wasLive] = before[id];
                RC_ASSERT(task.attempt == attempt || (task.attempt == attempt + 1 && !wasLive));
                attempt = task.attempt;
                wasLive = task.live.has_value();
                RC_ASSERT(wasLive
                          == (task.state == TaskState::Placed || task.state == TaskState::Running
                              || task.state == TaskState::Checkpointing
                              || task.state == TaskState::Stopping));
            }
        }
    });
    INFO(failure);
    CHECK(failure.empty());
}

TEST_CASE("A replica restored from a snapshot handles later commands identically")
{
    const auto failure = Testing::propertyFailure(20'260'503, 200, [] {
        BookFixture fixture;
        for (int step = 0; step < 40; ++step)
            applyRandomCommand(fixture);
        BookFixture restored;
        RC_ASSERT(restored.book.restore(fixture.book.snapshot()).has_value());
        for (int job = 0; job < Jobs; ++job) {
            for (int worker = 0; worker < Workers; ++worker) {
                const Task *task = fixture.book.task("batch." + jobName(job));
                const Worker *known = fixture.book.worker(workerName(worker));
                const PlaceTasks command{{{"batch." + jobName(job), task ? task->attempt + 1 : 1,
                                           workerName(worker), known ? known->session : 1}},
                                         fixture.now + std::chrono::hours(1)};
                RC_ASSERT(fixture.apply(command).refusals == restored.apply(command).refusals);
            }
        }
        RC_ASSERT(fixture.book.snapshot() == restored.book.snapshot());
    });
    INFO(failure);
    CHECK(failure.empty());
}
