#include "jobfixture.h"

using namespace Oleander;
using namespace Oleander::Testing;

namespace {

const TaskRef First{"j", 0, 0};

} // namespace

TEST_CASE("A job that is submitted twice is stored once")
{
    BookFixture book;
    book.submit("j", {step(2)});
    REQUIRE(book.start(First, 1, LifeA));
    book.submit("j", {step(5)});
    CHECK(book.book.find("j")->tasks.at(0).size() == 2);
    CHECK(book.state("j") == JobState::Running);
}

TEST_CASE("A job is queued again if a crashed minion never started its runs")
{
    BookFixture book;
    book.submit("j", {step(2)});
    const auto lose = [&](const TaskRef &task, std::uint32_t run, bool hasStarted) {
        JobBatch batch;
        batch.ends.push_back({LifeA, {0, task, run, RunEndKind::Lost, {}}, 0, hasStarted});
        book.apply(std::move(batch));
    };
    REQUIRE(book.start(First, 1, LifeA));
    REQUIRE(book.start({"j", 0, 1}, 1, LifeA));
    lose(First, 1, false);
    CHECK(book.state("j") == JobState::Running);
    lose({"j", 0, 1}, 1, false);
    CHECK(book.state("j") == JobState::Queued);
    REQUIRE(book.start(First, 2, LifeB));
    book.end(First, 2, LifeB, RunEndKind::Refused);
    CHECK(book.state("j") == JobState::Queued);
    CHECK_FALSE(book.book.find("j")->hasBegun);
    REQUIRE(book.start(First, 3, LifeA));
    lose(First, 3, true);
    CHECK(book.state("j") == JobState::Running);
    CHECK(book.book.find("j")->hasBegun);
}

TEST_CASE("A step starts only after every task of the steps before it is done")
{
    BookFixture book;
    book.submit("j", {step(2), step(1, 1000, {0})});
    const TaskRef second{"j", 1, 0};
    CHECK_FALSE(book.start(second, 1, LifeA));
    REQUIRE(book.start(First, 1, LifeA));
    REQUIRE(book.start({"j", 0, 1}, 1, LifeA));
    book.end(First, 1, LifeA, RunEndKind::Done);
    CHECK_FALSE(book.start(second, 1, LifeA));
    book.end({"j", 0, 1}, 1, LifeA, RunEndKind::Done);
    CHECK(book.start(second, 1, LifeA));
    CHECK(book.state("j") == JobState::Running);
    book.end(second, 1, LifeA, RunEndKind::Done);
    CHECK(book.state("j") == JobState::Completed);
}

TEST_CASE("A task has one active run, and run numbers only rise")
{
    BookFixture book;
    book.submit("j", {step(1)});
    REQUIRE(book.start(First, 1, LifeA));
    CHECK_FALSE(book.start(First, 2, LifeB));
    book.end(First, 1, LifeA, RunEndKind::Lost, "half");
    CHECK_FALSE(book.start(First, 1, LifeB));
    CHECK_FALSE(book.start(First, 3, LifeB));
    REQUIRE(book.start(First, 2, LifeB));
    CHECK(book.book.find("j")->tasks.at(0).at(0).checkpoint == "half");
}

TEST_CASE("The late end of a run that is no longer active is ignored")
{
    BookFixture book;
    book.submit("j", {step(1)});
    REQUIRE(book.start(First, 1, LifeA));
    book.end(First, 1, LifeA, RunEndKind::Lost);
    REQUIRE(book.start(First, 2, LifeB));
    book.end(First, 1, LifeA, RunEndKind::Done);
    CHECK(book.state("j") == JobState::Running);
    book.end(First, 2, LifeA, RunEndKind::Done);
    CHECK(book.state("j") == JobState::Running);
    book.end(First, 2, LifeB, RunEndKind::Done);
    CHECK(book.state("j") == JobState::Completed);
}

TEST_CASE("A task whose lost run had finished is done and not repeated")
{
    // A minion that is back under its id may carry out the start of its former life.
    const bool isNextLife = GENERATE(false, true);
    const MinionLife life{LifeA.name, LifeA.bornMs + (isNextLife ? 1 : 0)};
    BookFixture book;
    book.submit("j", {step(1), step(1, 1000, {0})});
    const TaskRef second{"j", 1, 0};
    REQUIRE(book.start(First, 1, LifeA));
    book.end(First, 1, LifeA, RunEndKind::Lost, "half");
    SECTION("before the next run") {}
    SECTION("while the next run is active")
    {
        REQUIRE(book.start(First, 2, LifeB));
    }
    SECTION("after the next run")
    {
        REQUIRE(book.start(First, 2, LifeB));
        book.end(First, 2, LifeB, RunEndKind::Stopped);
    }
    SECTION("after the state was restored")
    {
        JobBook restored;
        REQUIRE(restored.restore(book.book.snapshot()));
        book.book = restored;
    }
    book.endLate(First, 1, life, RunEndKind::Done);
    const Job &job = *book.book.find("j");
    CHECK(job.isStepDone(0));
    CHECK_FALSE(book.start(First, job.tasks.at(0).at(0).lastRun + 1, LifeB));
    book.endLate(First, 1, LifeA, RunEndKind::Done);
    book.endLate(First, 2, LifeB, RunEndKind::Done);
    CHECK(job.doneCounts.at(0) == 1);
    REQUIRE(book.start(second, 1, LifeA));
    book.endLate(second, 1, LifeA, RunEndKind::Done);
    CHECK(book.state("j") == JobState::Completed);
}

TEST_CASE("A late end counts only for a run that was started, and not for an ended job")
{
    BookFixture book;
    book.submit("j", {step(1)});
    REQUIRE(book.start(First, 1, LifeA));
    book.end(First, 1, LifeA, RunEndKind::Lost);
    book.endLate(First, 0, LifeA, RunEndKind::Done);
    book.endLate(First, 2, LifeA, RunEndKind::Done);
    book.endLate({"j", 0, 1}, 1, LifeA, RunEndKind::Done);
    book.endLate({"j", 1, 0}, 1, LifeA, RunEndKind::Done);
    book.endLate({"other", 0, 0}, 1, LifeA, RunEndKind::Done);
    CHECK(book.state("j") == JobState::Queued);
    book.cancel("j");
    book.endLate(First, 1, LifeA, RunEndKind::Done);
    CHECK(book.state("j") == JobState::Cancelled);
}

TEST_CASE("A lost run that had failed is not a failed attempt")
{
    BookFixture book;
    book.submit("j", {step(1)});
    for (std::uint32_t run = 1; run <= 4; ++run) {
        REQUIRE(book.start(First, run, LifeA));
        book.end(First, run, LifeA, RunEndKind::Lost);
        book.endLate(First, run, LifeA, RunEndKind::Failed);
        CHECK_FALSE(book.book.find("j")->hasEnded());
    }
}

TEST_CASE("The checkpoint that a lost run had saved is kept unless a later run has started")
{
    BookFixture book;
    book.submit("j", {step(1)});
    const auto checkpoint = [&] { return book.book.find("j")->tasks.at(0).at(0).checkpoint; };
    REQUIRE(book.start(First, 1, LifeA));
    book.end(First, 1, LifeA, RunEndKind::Lost, "half");
    book.endLate(First, 1, LifeA, RunEndKind::Lapsed, "most");
    CHECK(checkpoint() == "most");
    CHECK(book.state("j") == JobState::Running);
    REQUIRE(book.start(First, 2, LifeA));
    book.end(First, 2, LifeA, RunEndKind::Lost);
    REQUIRE(book.start(First, 3, LifeB));
    book.endLate(First, 2, LifeA, RunEndKind::Lapsed, "older");
    CHECK(checkpoint() == "most");
}

TEST_CASE("A long-running task goes on although a lost run of it had finished")
{
    BookFixture book;
    StepSpec longRunningStep = step(1);
    longRunningStep.longRunning = true;
    book.submit("j", {longRunningStep});
    REQUIRE(book.start(First, 1, LifeA));
    book.end(First, 1, LifeA, RunEndKind::Lost);
    book.endLate(First, 1, LifeA, RunEndKind::Done);
    CHECK_FALSE(book.book.find("j")->hasEnded());
    CHECK(book.start(First, 2, LifeB));
}

TEST_CASE("A job fails once a task has failed as often as its queue allows, and only then")
{
    BookFixture book;
    book.submit("j", {step(1)});
    REQUIRE(book.start(First, 1, LifeA));
    book.end(First, 1, LifeA, RunEndKind::Failed);
    CHECK(book.state("j") == JobState::Running);
    for (const RunEndKind kind :
         {RunEndKind::Stopped, RunEndKind::Lapsed, RunEndKind::Lost, RunEndKind::Refused}) {
        const std::uint32_t run = book.book.find("j")->tasks.at(0).at(0).lastRun + 1;
        REQUIRE(book.start(First, run, LifeA));
        book.end(First, run, LifeA, kind);
        CHECK(book.state("j") == JobState::Running);
    }
    REQUIRE(book.start(First, 6, LifeA));
    book.end(First, 6, LifeA, RunEndKind::Failed);
    CHECK(book.state("j") == JobState::Failed);
    CHECK_FALSE(book.start(First, 7, LifeA));
}

TEST_CASE("A long-running task restarts after every end of a run, without an attempt limit")
{
    BookFixture book;
    StepSpec longRunningStep = step(1);
    longRunningStep.longRunning = true;
    book.submit("j", {longRunningStep});
    for (std::uint32_t run = 1; run < 10; ++run) {
        REQUIRE(book.start(First, run, LifeA));
        book.end(First, run, LifeA, run % 2 == 0 ? RunEndKind::Done : RunEndKind::Failed);
    }
    CHECK(book.state("j") == JobState::Running);
}

TEST_CASE("Speculative copies of a task run concurrently, and the first success completes the task")
{
    BookFixture book;
    StepSpec copies = step(1);
    copies.speculative = true;
    book.submit("j", {copies});
    REQUIRE(book.start(First, 1, LifeA));
    REQUIRE(book.start(First, 2, LifeB));
    book.end(First, 2, LifeB, RunEndKind::Done);
    CHECK(book.state("j") == JobState::Completed);
    book.end(First, 1, LifeA, RunEndKind::Failed);
    CHECK(book.state("j") == JobState::Completed);
    CHECK(book.book.activeRuns().empty());
}

TEST_CASE("A cancelled job starts no task, and its runs stay active until they end")
{
    BookFixture book;
    book.submit("j", {step(2)});
    REQUIRE(book.start(First, 1, LifeA));
    book.cancel("j");
    CHECK(book.state("j") == JobState::Cancelled);
    CHECK_FALSE(book.start({"j", 0, 1}, 1, LifeA));
    CHECK(book.book.activeRuns().at(LifeA).size() == 1);
    book.end(First, 1, LifeA, RunEndKind::Stopped);
    CHECK(book.book.activeRuns().empty());
    CHECK(book.state("j") == JobState::Cancelled);
}

TEST_CASE("The highest configuration version stays in force when lower versions arrive later")
{
    JobBook book;
    CHECK(book.apply(Configure{oneQueue(5)}).configure == ConfigureResult::InForce);
    CHECK(book.apply(Configure{oneQueue(5)}).configure == ConfigureResult::InForce);
    CHECK(book.apply(Configure{oneQueue(4)}).configure == ConfigureResult::Superseded);
    QueueConfiguration other = oneQueue(5);
    other.document = "something else";
    CHECK(book.apply(Configure{other}).configure == ConfigureResult::Conflict);
    CHECK(book.configuration().document == "document 5");
    CHECK(book.apply(Configure{oneQueue(9)}).configure == ConfigureResult::InForce);
    CHECK(book.configuration().version == 9);
}

TEST_CASE("The host and the longest prefix of the path select the queue")
{
    JobBook book;
    QueueConfiguration configuration = oneQueue();
    configuration.queues.push_back(configuration.queues.front());
    configuration.queues.back().name = "inner";
    configuration.queues.back().pathPrefix = "/press/inner/";
    book.apply(Configure{configuration});
    CHECK(book.route("press.example", "/press/1")->name == "press");
    CHECK(book.route("press.example", "/press/inner/1")->name == "inner");
    CHECK(book.route("other.example", "/press/1") == nullptr);
    CHECK(book.route("press.example", "/pres") == nullptr);
}

TEST_CASE("A job of a queue that was removed from the configuration keeps the last settings")
{
    BookFixture book;
    book.submit("j", {step(1)});
    QueueConfiguration without = oneQueue(2);
    without.queues.clear();
    book.book.apply(Configure{without});
    CHECK_FALSE(book.book.isQueueInForce("press"));
    REQUIRE(book.book.queue("press") != nullptr);
    CHECK(book.start(First, 1, LifeA));
}

TEST_CASE("A queue that was removed from the configuration is dropped with its last job")
{
    BookFixture book;
    book.submit("j", {step(1)});
    book.cancel("j");
    QueueConfiguration other = oneQueue(2);
    other.queues.front().name = "other";
    book.book.apply(Configure{other});
    CHECK(book.book.queue("press") != nullptr);
    JobBatch batch;
    batch.purged = {"j"};
    book.apply(batch);
    other.version = 3;
    book.book.apply(Configure{other});
    CHECK(book.book.queue("press") == nullptr);
    CHECK(book.book.queue("other") != nullptr);
}

TEST_CASE("A job is not accepted by a queue that the configuration has removed since its routing")
{
    BookFixture book;
    const bool hasStoredJob = GENERATE(false, true);
    if (hasStoredJob)
        book.submit("stored", {step(1)});
    QueueConfiguration other = oneQueue(2);
    other.queues.front().name = "other";
    book.book.apply(Configure{other});
    const auto submit = [&](const std::string &queue, std::uint64_t configurationVersion) {
        JobBatch batch;
        batch.submissions.push_back({queue, {"j", "work", {step(1)}}, configurationVersion});
        return book.apply(std::move(batch)).accepted;
    };
    CHECK(submit("press", 1) == std::vector<bool>{false});
    CHECK(book.book.find("j") == nullptr);
    CHECK(submit("other", 1) == std::vector<bool>{true});
    REQUIRE(book.book.find("j") != nullptr);
    // The job is stored; its call is only repeated.
    CHECK(submit("press", 1) == std::vector<bool>{true});
    CHECK(book.book.find("j")->queue == "other");
}

TEST_CASE("A log entry without the version of the configuration keeps its job")
{
    // Its job has been acknowledged by an earlier version of the program.
    BookFixture book;
    QueueConfiguration other = oneQueue(2);
    other.queues.front().name = "other";
    book.book.apply(Configure{other});
    book.submit("j", {step(1)});
    CHECK(book.book.find("j") != nullptr);
}

TEST_CASE("A restored book has the state and the behaviour of the original")
{
    BookFixture book;
    book.submit("j", {step(2), step(1, 1000, {0})});
    REQUIRE(book.start(First, 1, LifeA));
    book.end(First, 1, LifeA, RunEndKind::Failed, "saved");
    REQUIRE(book.start(First, 2, LifeB));
    BookFixture copy;
    REQUIRE(copy.book.restore(book.book.snapshot()).has_value());
    CHECK(copy.book.snapshot() == book.book.snapshot());
    CHECK(copy.book.activeRuns() == book.book.activeRuns());
    CHECK(copy.book.openJobs() == book.book.openJobs());
    CHECK(copy.book.configuration().version == 1);
    copy.end(First, 2, LifeB, RunEndKind::Failed);
    CHECK(copy.state("j") == JobState::Failed);
}

TEST_CASE("Only ended jobs are purged")
{
    BookFixture book;
    book.submit("open", {step(1)});
    book.submit("ended", {step(1)});
    book.cancel("ended");
    JobBatch batch;
    batch.purged = {"open", "ended", "unknown"};
    book.apply(batch);
    CHECK(book.book.find("open") != nullptr);
    CHECK(book.book.find("ended") == nullptr);
}

TEST_CASE("A delayed evacuation request does not revert a later withdrawal")
{
    BookFixture fixture;
    const auto change = [&](bool requested, std::uint64_t expectedRevision) {
        return fixture.book.apply(
            ChangeEvacuation{"west", requested, expectedRevision, fixture.nowMs});
    };
    CHECK(change(true, 0).evacuation == EvacuationResult::Changed);
    CHECK(fixture.book.isEvacuated("west"));
    CHECK_FALSE(fixture.book.isEvacuated("east"));
    CHECK(change(true, 0).evacuation == EvacuationResult::Unchanged);
    CHECK(change(false, 1).evacuation == EvacuationResult::Changed);
    const JobOutcome delayed = change(true, 0);
    CHECK(delayed.evacuation == EvacuationResult::Outdated);
    CHECK(delayed.evacuationRevision == 2);
    CHECK_FALSE(fixture.book.isEvacuated("west"));
}

TEST_CASE("A snapshot keeps evacuations with their revisions")
{
    BookFixture fixture;
    fixture.book.apply(ChangeEvacuation{"west", true, 0, 5});
    fixture.book.apply(ChangeEvacuation{"east", true, 0, 6});
    fixture.book.apply(ChangeEvacuation{"east", false, 1, 7});
    JobBook restored;
    REQUIRE(restored.restore(fixture.book.snapshot()));
    CHECK(restored.isEvacuated("west"));
    CHECK_FALSE(restored.isEvacuated("east"));
    CHECK(restored.evacuations().at("east").revision == 2);
    CHECK(restored.evacuations().at("east").changedAtMs == 7);
}

// Guards against a count that drifts, so that jobs are refused although little is stored.
TEST_CASE("The memory of stored jobs is counted until they are purged, and after a restore")
{
    BookFixture book;
    CHECK(book.book.storedBytes() == 0);
    book.submit("a", {step(10)});
    book.submit("a", {step(10)});
    const std::size_t one = book.book.storedBytes();
    CHECK(one == JobBook::bytesOf({step(10)}, "spec of a"));
    book.submit("b", {step(10), step(20)});
    JobBook restored;
    REQUIRE(restored.restore(book.book.snapshot()));
    CHECK(restored.storedBytes() == book.book.storedBytes());
    book.cancel("b");
    JobBatch batch;
    batch.purged = {"b"};
    book.apply(batch);
    CHECK(book.book.storedBytes() == one);
}
