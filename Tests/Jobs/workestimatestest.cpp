#include "Jobs/workestimates.h"

#include "jobfixture.h"

using namespace Oleander;
using namespace Oleander::Testing;

namespace {

StepSpec declared(std::uint32_t estimateMs)
{
    StepSpec spec = step(4);
    spec.estimateMs = estimateMs;
    return spec;
}

/** Declared durations that are off by up to a factor of five in either direction. */
std::uint32_t farOff(int number, double durationMs)
{
    static const double Factors[] = {0.2, 0.5, 1.0, 2.0, 5.0};
    return static_cast<std::uint32_t>(durationMs * Factors[number % 5]);
}

} // namespace

TEST_CASE("Observed durations of a step take precedence over the declared duration")
{
    BookFixture book;
    book.submit("j", {declared(300)});
    WorkEstimates estimates;
    estimates.refresh(book.book);
    const Job &job = *book.book.find("j");
    for (int i = 0; i < 10; ++i)
        estimates.observe("j", job, 0, 2'000);
    CHECK(estimates.taskDurationMs("j", job, 0) == Approx(2'000));
    CHECK(criticalPathMs(job, estimates.taskDurations("j", job)) == 2'000);
    CHECK(jobWork(job, estimates.taskDurations("j", job)) == Approx(8'000));
}

TEST_CASE("Declared durations that predict poorly have little weight")
{
    BookFixture book;
    WorkEstimates estimates;
    for (int i = 0; i < 40; ++i) {
        const std::string id = "seen-" + std::to_string(i);
        book.submit(id, {declared(farOff(i, 1'500))});
        estimates.observe(id, *book.book.find(id), 0, 1'500);
    }
    book.submit("short", {declared(300)});
    book.submit("long", {declared(7'500)});
    estimates.refresh(book.book);
    CHECK(estimates.taskDurationMs("short", *book.book.find("short"), 0)
          == Approx(1'500).epsilon(0.3));
    CHECK(estimates.taskDurationMs("long", *book.book.find("long"), 0)
          == Approx(1'500).epsilon(0.3));
}

TEST_CASE("Declared durations that predict well are adopted")
{
    BookFixture book;
    WorkEstimates estimates;
    for (int i = 0; i < 40; ++i) {
        const std::string id = "seen-" + std::to_string(i);
        const std::uint32_t durationMs = farOff(i, 1'500);
        book.submit(id, {declared(durationMs)});
        estimates.observe(id, *book.book.find(id), 0, durationMs);
    }
    book.submit("long", {declared(7'500)});
    estimates.refresh(book.book);
    CHECK(estimates.taskDurationMs("long", *book.book.find("long"), 0)
          == Approx(7'500).epsilon(0.2));
}

TEST_CASE("The duration of a throttled filling task is estimated from its progress")
{
    SchedulerFixture leader;
    StepSpec filling = declared(300);
    filling.filling = true;
    filling.milliCores = 2'000;
    leader.submit("j", {filling});
    leader.report("agent-a", reportOf(LifeA, 1'000));
    leader.directive("agent-a");
    REQUIRE(leader.decide().starts.size() == 4);
    // It uses a quarter of the processor time that it requests and completes a third of its work in
    // 4 s, which corresponds to 3 s at full speed.
    std::uint64_t clockMs = 1'000;
    for (std::uint32_t percent = 0; percent <= 50; percent += 10) {
        leader.advance(1'200ms);
        clockMs += 1'200;
        MachineReport report = reportOf(LifeA, clockMs);
        report.running = {{{"j", 0, 0}, 1, "", percent, 500, true}};
        leader.report("agent-a", report);
        leader.directive("agent-a");
    }
    const double durationMs =
        leader.scheduler.estimates().taskDurationMs("j", *leader.book.find("j"), 0);
    CHECK(durationMs == Approx(3'000).epsilon(0.1));
}

TEST_CASE("Observed durations of purged jobs are dropped")
{
    BookFixture book;
    book.submit("j", {declared(300)});
    WorkEstimates estimates;
    const Job job = *book.book.find("j");
    estimates.refresh(book.book);
    estimates.observe("j", job, 0, 2'000);
    book.cancel("j");
    JobBatch batch;
    batch.purged.push_back("j");
    book.apply(batch);
    estimates.refresh(book.book);
    // The regression of the queue keeps the observation.
    CHECK(estimates.taskDurationMs("j", job, 0) < 2'000);
    CHECK(estimates.taskDurationMs("j", job, 0) > 300);
}
