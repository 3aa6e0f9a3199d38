#include "simulatedfleet.h"

#include <random>

using namespace Oleander;
using namespace Oleander::Testing;

namespace {

constexpr SchedulerOptions Backfill{true};

StepSpec tasks(std::uint32_t count, std::uint32_t milliCores, std::uint32_t estimateMs)
{
    StepSpec spec = step(count, milliCores);
    spec.estimateMs = estimateMs;
    return spec;
}

bool hasStarted(SimulatedFleet &fleet, const std::string &id)
{
    return fleet.leader().state(id) != JobState::Queued;
}

/** Name of the minion that runs the only task of the job \a id, or nothing. */
std::string minionOf(SimulatedFleet &fleet, const std::string &id)
{
    const auto &active = fleet.leader().book.find(id)->tasks[0][0].active;
    return active.empty() ? std::string() : active.back().minion.name;
}

/** Two minions of 16 cores with 6 free on each, and a task of 12 cores that waits. The first is
 * expected to have room in 10 s, the second in 20 s. A task of 6 cores takes the rest of the
 * second, so that others can only start on the first, which is reserved. */
struct FragmentedService
{
    SimulatedFleet fleet;

    explicit FragmentedService(SchedulerOptions options = Backfill, double durationFactor = 1.0)
        : fleet({16'000, 16'000}, options)
    {
        fleet.setDurationFactor("first", durationFactor);
        fleet.leader().submit("first", {tasks(1, 10'000, 10'000)});
        fleet.pass(200ms);
        fleet.leader().submit("second", {tasks(1, 10'000, 20'000)});
        fleet.pass(200ms);
        fleet.leader().submit("large", {tasks(1, 12'000, 5'000)});
        fleet.pass(400ms);
        fleet.leader().submit("rest", {tasks(1, 6'000, 30'000)});
        fleet.pass(200ms);
        REQUIRE(minionOf(fleet, "second") != minionOf(fleet, "first"));
        if (options.backfill)
            REQUIRE(minionOf(fleet, "rest") == minionOf(fleet, "second"));
    }
    BackfillPlanner &planner() { return fleet.leader().scheduler.backfill(); }
    /** True if the latest decision is that the reservation ended for \a end. */
    bool hasEnded(BackfillEnd end)
    {
        const auto decisions = planner().takeDecisions();
        return std::ranges::any_of(decisions, [&](const auto &item) { return item.end == end; });
    }
};

/** Arrivals on a service of \a Minions minions, and what their callers get. */
struct Play
{
    static constexpr std::size_t Minions = 20;
    struct Completions
    {
        std::vector<double> seconds;

        double mean() const
        {
            double sum = 0;
            for (const double value : seconds)
                sum += value;
            return sum / static_cast<double>(seconds.size());
        }
        double quantile(double share) const
        {
            std::vector<double> sorted = seconds;
            std::ranges::sort(sorted);
            return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
        }
    };

    Completions small;
    Completions large;
    std::size_t mostReservations = 0;
    std::uint64_t overCapacity = 0;

    /** Small tasks of 1 to 4 cores and large ones of 10 to 15 arrive for two minutes. Estimates are
     * wrong by up to 0.9 of the duration either way. */
    Play(unsigned seed, SchedulerOptions options, double smallPerStep, double largePerStep)
    {
        SimulatedFleet fleet(std::vector<std::uint32_t>(Minions, 16'000), options);
        std::mt19937 random(seed);
        const auto number = [&](int from, int to) {
            return static_cast<std::uint32_t>(std::uniform_int_distribution<int>(from, to)(random));
        };
        const auto arrives = [&](double perStep) {
            return std::bernoulli_distribution(perStep)(random);
        };
        int count = 0;
        const auto submit = [&](const char *kind, const StepSpec &spec) {
            const std::string id = fmt::format("{}-{}", kind, count++);
            fleet.setDurationFactor(id, number(10, 190) / 100.0);
            fleet.leader().submit(id, {spec});
        };
        fleet.pass(120s, [&] {
            if (arrives(smallPerStep))
                submit("small", tasks(number(1, 4), 1'000 * number(1, 4), number(1'000, 8'000)));
            if (arrives(largePerStep))
                submit("large", tasks(1, 1'000 * number(10, 15), number(2'000, 6'000)));
            mostReservations = std::max(mostReservations,
                                        fleet.leader().scheduler.backfill().reservations().size());
        });
        fleet.pass(40s);
        for (const auto &[id, job] : fleet.leader().book.jobs()) {
            const std::int64_t end = job.hasEnded() ? job.endedAtMs : fleet.leader().nowMs;
            (id.starts_with("small") ? small : large)
                .seconds.push_back(static_cast<double>(end - job.acceptedAtMs) / 1000.0);
        }
        overCapacity = fleet.overCapacity();
    }
};

} // namespace

TEST_CASE("A stream of small tasks delays a large one no further than to the predicted time")
{
    for (const bool backfill : {false, true}) {
        SimulatedFleet fleet({16'000, 16'000, 16'000, 16'000}, {backfill});
        int number = 0;
        // Two tasks on each minion every 4 s, which run for 14 s: 4 cores of each are free for half
        // of the time, never more.
        StepSpec burst = tasks(8, 2'000, 14'000);
        burst.maxPerMinion = 2;
        const auto arrivals = [&] {
            if (number++ % 80 == 0)
                fleet.leader().submit("small-" + std::to_string(number), {burst});
        };
        fleet.pass(30s, arrivals);
        fleet.leader().submit("large", {tasks(1, 12'000, 5'000)});
        std::optional<TimePoint> promisedAt;
        std::optional<TimePoint> startedAt;
        fleet.pass(30s, [&] {
            arrivals();
            for (const auto &decision : fleet.leader().scheduler.backfill().takeDecisions())
                promisedAt = promisedAt.value_or(decision.reservation.promisedAt);
            if (!startedAt && hasStarted(fleet, "large"))
                startedAt = fleet.leader().clock.now();
        });
        CHECK(startedAt.has_value() == backfill);
        if (backfill) {
            REQUIRE(promisedAt.has_value());
            // An end is reported, committed and followed by a start within a few steps.
            CHECK(*startedAt <= *promisedAt + 10 * SimulatedFleet::Step);
        }
        CHECK(fleet.overCapacity() == 0);
    }
}

TEST_CASE("A small task that ends before a large one can start uses the reserved resources")
{
    FragmentedService service;
    service.fleet.leader().submit("long", {tasks(1, 6'000, 30'000)});
    service.fleet.leader().submit("short", {tasks(1, 6'000, 3'000)});
    service.fleet.pass(400ms);
    CHECK(minionOf(service.fleet, "short") == minionOf(service.fleet, "first"));
    CHECK_FALSE(hasStarted(service.fleet, "long"));
    // 12 of 16 cores are reserved: 4 are free beside the large task whatever the duration.
    service.fleet.pass(4s);
    service.fleet.leader().submit("beside", {tasks(1, 4'000, 30'000)});
    service.fleet.pass(400ms);
    CHECK(hasStarted(service.fleet, "beside"));
    CHECK_FALSE(hasStarted(service.fleet, "large"));
    service.fleet.pass(5s);
    CHECK(hasStarted(service.fleet, "large"));
    CHECK(service.fleet.overCapacity() == 0);
}

TEST_CASE("A task without an estimate starts only beside a large one")
{
    FragmentedService service;
    service.fleet.leader().submit("unknown", {tasks(1, 5'000, 0)});
    service.fleet.pass(1s);
    CHECK_FALSE(hasStarted(service.fleet, "unknown"));
}

TEST_CASE("A reservation ends when its estimate is wrong, and its resources are used")
{
    FragmentedService service(Backfill, 3.0);
    service.fleet.leader().submit("long", {tasks(1, 6'000, 30'000)});
    service.fleet.pass(800ms);
    CHECK_FALSE(hasStarted(service.fleet, "long"));
    // The progress shows that the first run lasts three times as long as estimated.
    service.fleet.pass(5s);
    CHECK(service.hasEnded(BackfillEnd::Overdue));
    CHECK(hasStarted(service.fleet, "long"));
    CHECK_FALSE(hasStarted(service.fleet, "large"));
}

TEST_CASE("Without reports of progress a reservation ends after its margin")
{
    FragmentedService service(Backfill, 3.0);
    service.fleet.hideProgress();
    REQUIRE(service.planner().reservations().size() == 1);
    const BackfillReservation reservation = service.planner().reservations().begin()->second;
    CHECK(reservation.until <= reservation.promisedAt + 3s);
    service.fleet.leader().submit("long", {tasks(1, 6'000, 30'000)});
    const Duration left = reservation.until - service.fleet.leader().clock.now();
    service.fleet.pass(left - 200ms);
    CHECK_FALSE(hasStarted(service.fleet, "long"));
    service.fleet.pass(400ms);
    CHECK(hasStarted(service.fleet, "long"));
    CHECK(service.hasEnded(BackfillEnd::Overdue));
}

TEST_CASE("The resources of a cancelled large task are used at once")
{
    FragmentedService service;
    service.fleet.leader().submit("long", {tasks(1, 6'000, 30'000)});
    service.fleet.pass(400ms);
    REQUIRE_FALSE(hasStarted(service.fleet, "long"));
    service.fleet.leader().cancel("large");
    service.fleet.pass(200ms);
    CHECK(hasStarted(service.fleet, "long"));
    CHECK(service.hasEnded(BackfillEnd::Cancelled));
}

TEST_CASE("A new leader plans the reservation of a large task again")
{
    FragmentedService service;
    REQUIRE(service.planner().reservations().size() == 1);
    // Otherwise the free resources do not sum up to the size of the large task.
    service.fleet.leader().cancel("rest");
    service.fleet.pass(1s);
    SchedulerFixture &leader = service.fleet.leader();
    leader.scheduler.startTerm(leader.clock.now(), SchedulerFixture::FirstTerm + 1);
    CHECK(service.planner().reservations().empty());
    service.fleet.pass(1s);
    CHECK(service.planner().reservations().size() == 1);
    service.fleet.pass(9s);
    CHECK(hasStarted(service.fleet, "large"));
}

TEST_CASE("The reservation of a lost minion ends")
{
    FragmentedService service;
    service.fleet.setCrashing("crash");
    service.fleet.leader().submit("crash", {tasks(1, 1'000, 1'000)});
    service.fleet.pass(500ms);
    CHECK(service.fleet.crashesBy("crash") == 1);
    CHECK(service.hasEnded(BackfillEnd::MinionLost));
    CHECK(service.planner().reservations().empty());
}

TEST_CASE("Long-running tasks and tasks that lost their run do not wait for a large task")
{
    SECTION("long-running")
    {
        FragmentedService service;
        StepSpec lasting = tasks(1, 6'000, 0);
        lasting.longRunning = true;
        service.fleet.leader().submit("lasting", {lasting});
        service.fleet.pass(400ms);
        CHECK(minionOf(service.fleet, "lasting") == minionOf(service.fleet, "first"));
    }
    SECTION("lost run")
    {
        FragmentedService service;
        // After two failures the minion gets no second and last attempt for a while.
        service.fleet.fail({"second", 0, 0});
        service.fleet.pass(200ms);
        service.fleet.fail({"rest", 0, 0});
        service.fleet.pass(400ms);
        CHECK(minionOf(service.fleet, "rest") == minionOf(service.fleet, "first"));
    }
}

TEST_CASE("No task waits for a large one while most of the service is idle")
{
    SimulatedFleet fleet({16'000, 16'000}, Backfill);
    StepSpec base = tasks(2, 5'000, 20'000);
    base.maxPerMinion = 1;
    fleet.leader().submit("base", {base});
    fleet.pass(400ms);
    fleet.leader().submit("large", {tasks(1, 12'000, 5'000)});
    fleet.pass(400ms);
    REQUIRE(fleet.leader().scheduler.backfill().reservations().size() == 1);
    fleet.leader().submit("long-1", {tasks(1, 8'000, 60'000)});
    fleet.leader().submit("long-2", {tasks(1, 8'000, 60'000)});
    fleet.pass(400ms);
    CHECK(hasStarted(fleet, "long-1"));
    CHECK(hasStarted(fleet, "long-2"));
}

TEST_CASE("A filling task does not take memory that a large task waits for")
{
    SimulatedFleet fleet({16'000, 16'000}, Backfill);
    StepSpec base = tasks(2, 10'000, 10'000);
    base.maxPerMinion = 1;
    base.memoryMiB = 500'000;
    fleet.leader().submit("base", {base});
    fleet.pass(400ms);
    StepSpec large = tasks(1, 1'000, 5'000);
    large.memoryMiB = 900'000;
    fleet.leader().submit("large", {large});
    fleet.pass(400ms);
    REQUIRE(fleet.leader().scheduler.backfill().reservations().size() == 1);
    StepSpec filling = tasks(2, 1'000, 60'000);
    filling.filling = true;
    filling.memoryMiB = 300'000;
    filling.maxPerMinion = 1;
    fleet.leader().submit("filling", {filling});
    // A single filling task has started: on the minion that is not reserved.
    fleet.pass(2s);
    const auto &started = fleet.leader().book.find("filling")->tasks[0];
    CHECK(std::ranges::count_if(started, [](const Task &task) { return task.lastRun > 0; }) == 1);
    fleet.pass(10s);
    CHECK(hasStarted(fleet, "large"));
}

TEST_CASE("Without the setting nothing is reserved")
{
    FragmentedService service(SchedulerOptions{});
    service.fleet.leader().submit("long", {tasks(1, 6'000, 30'000)});
    service.fleet.pass(400ms);
    CHECK(hasStarted(service.fleet, "long"));
    CHECK(service.planner().reservations().empty());
    CHECK(service.planner().takeDecisions().empty());
}

TEST_CASE("Under seeded load large jobs complete sooner and small ones hardly later")
{
    std::string figures;
    double largeBefore = 0;
    double largeAfter = 0;
    double smallBefore = 0;
    double smallAfter = 0;
    for (const unsigned seed : {1U, 2U, 3U, 4U}) {
        for (const bool backfill : {false, true}) {
            const Play play(seed, {backfill}, 0.4, 0.05);
            CHECK(play.overCapacity == 0);
            CHECK(play.mostReservations <= (backfill ? Play::Minions / 10 : 0));
            (backfill ? largeAfter : largeBefore) += play.large.mean();
            (backfill ? smallAfter : smallBefore) += play.small.mean();
            figures +=
                fmt::format("\nseed {}, backfill {}: large {} mean {:.2f} p95 {:.2f} s, small "
                            "{} mean {:.2f} p95 {:.2f} s",
                            seed, backfill, play.large.seconds.size(), play.large.mean(),
                            play.large.quantile(0.95), play.small.seconds.size(), play.small.mean(),
                            play.small.quantile(0.95));
        }
    }
    INFO(figures);
    CHECK(largeAfter < largeBefore);
    CHECK(smallAfter < 1.1 * smallBefore);
}
