#include "Jobs/joborder.h"

#include "jobfixture.h"
#include "Jobs/remainingwork.h"

#include <algorithm>
#include <cmath>

using namespace Oleander;
using namespace Oleander::Testing;

namespace {

/** Simulates \a jobs of two steps, each of which occupies one minion for a second, all submitted at
 * once. Returns how many complete within \a objective. */
std::size_t doneInTime(int jobs, Duration objective)
{
    SchedulerFixture leader;
    leader.report("agent-a", reportOf(LifeA, 1'000, 4'000));
    leader.directive("agent-a");
    for (int i = 0; i < jobs; ++i)
        leader.submit("job-" + std::to_string(i), {step(4), step(4, 1'000, {0})});
    const std::int64_t begin = leader.nowMs;
    std::uint64_t clockMs = 1'000;
    std::uint64_t number = 0;
    for (Duration passed{}; passed < 60s; passed += 1s) {
        const JobBatch batch = leader.decide();
        leader.advance(1s);
        clockMs += 1'000;
        MachineReport report = reportOf(LifeA, clockMs, 4'000);
        for (const RunStart &start : batch.starts)
            report.finished.push_back({++number, start.task, start.run, RunEndKind::Done, {}});
        leader.report("agent-a", report);
        leader.directive("agent-a");
        leader.decide();
    }
    return static_cast<std::size_t>(
        std::count_if(leader.book.jobs().begin(), leader.book.jobs().end(), [&](const auto &job) {
            const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(objective);
            return job.second.state == JobState::Completed
                   && job.second.endedAtMs - begin <= limit.count();
        }));
}

} // namespace

TEST_CASE("Under overload jobs that have started are completed first")
{
    // The objective of two seconds of work is 4.5 s, and the minion does one step a second.
    CHECK(doneInTime(12, 4'500ms) == 2);
}

TEST_CASE("Every job completes eventually, however late")
{
    CHECK(doneInTime(12, 60s) == 12);
}

TEST_CASE("Jobs that can meet their objective precede long-running jobs, which precede late ones")
{
    BookFixture book;
    book.submit("overdue", {step(1)});
    book.nowMs += 5'000;
    book.submit("late", {step(1)});
    book.nowMs += 4'000;
    StepSpec longRunningStep = step(1);
    longRunningStep.longRunning = true;
    book.submit("lasting", {longRunningStep});
    book.submit("fresh", {step(1)});
    const auto ordered = orderJobs(book.book, WorkEstimates(), MachineTable({}), book.nowMs);
    REQUIRE(ordered.size() == 4);
    CHECK(ordered[0].id == "fresh");
    CHECK(ordered[1].id == "lasting");
    CHECK(ordered[2].id == "late");
    CHECK(ordered[3].id == "overdue");
}

TEST_CASE("The filling job with the most value per remaining work has the highest weight")
{
    BookFixture book;
    const auto weight = [&](const std::string &id) {
        WorkEstimates estimates;
        estimates.refresh(book.book);
        const auto ordered = orderJobs(book.book, estimates, MachineTable({}), book.nowMs);
        return std::ranges::find(ordered, id, &RankedJob::id)->weight;
    };
    book.submit("small", {step(2)});
    book.submit("large", {step(20)});
    book.submit("nearly-done", {step(20)});
    for (std::uint32_t index = 0; index < 19; ++index) {
        REQUIRE(book.start({"nearly-done", 0, index}, 1, LifeA));
        book.end({"nearly-done", 0, index}, 1, LifeA, RunEndKind::Done);
    }
    CHECK(weight("nearly-done") > weight("small"));
    CHECK(weight("small") > weight("large"));
    // The value of a job grows with its work, so ten times the work reduces the weight to far more
    // than a tenth.
    CHECK(weight("large") > weight("small") / 5);
    book.nowMs += 5'000;
    book.submit("fresh", {step(20)});
    CHECK(weight("fresh") > weight("small"));
}

TEST_CASE(
    "Capacity for one filling task goes to the job with the highest weight, not the most urgent")
{
    SchedulerFixture leader;
    leader.report("agent-a", reportOf(LifeA, 1'000, 4'000));
    leader.directive("agent-a");
    StepSpec filling = step(8, 4'000);
    filling.filling = true;
    leader.submit("large", {filling});
    filling.count = 1;
    filling.estimateMs = 1'500;
    leader.submit("small", {filling});
    const JobBatch batch = leader.decide();
    REQUIRE(batch.starts.size() == 1);
    CHECK(batch.starts.at(0).task.job == "small");
}

TEST_CASE("The remaining critical path counts only steps that are not done")
{
    BookFixture book;
    book.submit("j", {step(1), step(1, 1'000, {0}), step(1)});
    const Job &job = *book.book.find("j");
    const std::vector<double> durations = WorkEstimates().taskDurations("j", job);
    CHECK(criticalPathMs(job, durations) == 2'000);
    REQUIRE(book.start({"j", 0, 0}, 1, LifeA));
    book.end({"j", 0, 0}, 1, LifeA, RunEndKind::Done);
    CHECK(remainingWork("j", job, durations, MachineTable({})).criticalPathMs == 1'000);
}

TEST_CASE("The remaining work counts the progress that the minions list")
{
    SchedulerFixture leader;
    leader.report("agent-a", reportOf(LifeA, 1'000));
    leader.directive("agent-a");
    leader.submit("j", {step(2), step(1, 1'000, {0})});
    REQUIRE(leader.decide().starts.size() == 2);
    const Job &job = *leader.book.find("j");
    const auto remaining = [&] {
        return remainingWork("j", job, {1'000.0, 1'000.0}, leader.scheduler.machines());
    };
    const double workAtStart = remaining().work;
    CHECK(remaining().criticalPathMs == Approx(2'000));
    MachineReport report = reportOf(LifeA, 1'500);
    report.running = {{{"j", 0, 0}, 1, "", 90, 1'000, true}, {{"j", 0, 1}, 1, "", 40, 1'000, true}};
    leader.report("agent-a", report);
    // The step ends with its slowest task.
    CHECK(remaining().criticalPathMs == Approx(1'600));
    CHECK(remaining().work < workAtStart);
}

TEST_CASE("The value of a job falls gradually around its objective")
{
    constexpr double Objective = 10'000;
    CHECK(expectedValue(-Objective, Objective) > 0.95);
    CHECK(expectedValue(0, Objective) == Approx(0.575).margin(0.01));
    CHECK(expectedValue(Objective, Objective) == Approx(0.15).margin(0.05));
    CHECK(expectedValue(4 * Objective, Objective) == Approx(0.01).margin(0.01));
    // A moment of lateness changes little.
    CHECK(expectedValue(100, Objective) > 0.95 * expectedValue(-100, Objective));
    CHECK(std::isfinite(expectedValue(1e12, 0)));
}
