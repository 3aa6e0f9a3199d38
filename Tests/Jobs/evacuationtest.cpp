#include "simulatedfleet.h"

using namespace Oleander;
using namespace Oleander::Testing;

namespace {

StepSpec longRunning(std::uint32_t count, std::uint32_t milliCores, std::uint32_t maxUnavailable)
{
    StepSpec spec = step(count, milliCores);
    spec.longRunning = true;
    spec.maxUnavailable = maxUnavailable;
    return spec;
}

void change(BookFixture &fixture, const std::string &zone, bool requested)
{
    const auto found = fixture.book.evacuations().find(zone);
    const std::uint64_t revision =
        found == fixture.book.evacuations().end() ? 0 : found->second.revision;
    fixture.book.apply(ChangeEvacuation{zone, requested, revision, fixture.nowMs});
}

/** A leader with the minion LifeA in the failure domain "west" and LifeB in "east". */
struct ZonesFixture : SchedulerFixture
{
    std::uint64_t clockMs = 1'000;

    MachineReport west() const
    {
        MachineReport report = reportOf(LifeA, clockMs);
        report.minion.zone = "west";
        return report;
    }
    void pass(Duration time, MachineReport fromWest)
    {
        advance(time);
        clockMs += static_cast<std::uint64_t>(time.count() / 1'000);
        fromWest.minionClockMs = clockMs;
        report("agent-a", fromWest);
    }
    void passReports(Duration time) { pass(time, west()); }
    void reportEast(const std::vector<RunStatus> &running = {})
    {
        MachineReport report = reportOf(LifeB, clockMs);
        report.minion.zone = "east";
        report.running = running;
        this->report("agent-b", report);
    }
    /** Submits the job "j" of one task and commits its start on LifeA, the only minion. */
    void startInWest()
    {
        report("agent-a", west());
        directive("agent-a");
        submit("j", {step(1)});
        REQUIRE(decide().starts.size() == 1);
    }
    /** Reports the refusal of run 1 and returns the starts that follow. */
    std::vector<RunStart> refuse()
    {
        MachineReport report = west();
        report.refused = {{0, Task0, 1, RunEndKind::Refused, {}}};
        pass(50ms, report);
        decide();
        reportEast();
        directive("agent-b");
        return decide().starts;
    }

    inline static const TaskRef Task0{"j", 0, 0};
};

bool isStopped(const MachineDirective &directive)
{
    return directive.starts.empty() && directive.renewals.empty() && directive.stops.size() == 1;
}

} // namespace

// Guards against starts and reservations on evacuated minions, also by the next leader.
TEST_CASE("Nothing starts in a failure domain after its evacuation was requested")
{
    SimulatedFleet fleet({8'000, 8'000, 8'000, 8'000});
    SchedulerFixture &leader = fleet.leader();
    fleet.setZone(0, "west");
    fleet.setZone(2, "east");
    int jobs = 0;
    const auto submit = [&] {
        StepSpec spec = step(4, 1'000 + 500 * static_cast<std::uint32_t>(jobs % 5));
        leader.submit("short-" + std::to_string(jobs++), {spec});
    };
    fleet.pass(3s, submit);
    leader.submit("wide", {longRunning(2, 6'000, 1)});
    fleet.pass(1s, submit);
    REQUIRE(fleet.startsIn("west") > 0);
    leader.scheduler.takeReservationDecisions();
    change(leader, "west", true);
    const std::uint64_t before = fleet.startsIn("west");
    const std::uint64_t others = fleet.startsIn("east");
    fleet.pass(4s, submit);
    fleet.changeLeader();
    fleet.pass(6s, submit);
    CHECK(fleet.startsIn("west") == before);
    CHECK(fleet.startsIn("east") > others);
    // Only tasks of the long-running job may be left.
    CHECK(fleet.runsIn("west") <= 2);
    for (const ReservationDecision &decision : leader.scheduler.takeReservationDecisions())
        CHECK(decision.minion.name >= "minion-102");
    change(leader, "west", false);
    fleet.pass(2s, submit);
    CHECK(fleet.startsIn("west") > before);
}

// Guards against resources that stay reserved where the task must not start.
TEST_CASE("A reservation on an evacuated minion is dropped and made elsewhere")
{
    BookFixture book;
    MachineTable machines(LeaseOptions{}, &book.book);
    ReservationPlanner planner(book.book, machines);
    const TimePoint now = ManualClock().now();
    const std::vector<std::uint32_t> sizes{8'000, 8'000, 5'000, 5'000};
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        const MinionLife life{"minion-" + std::to_string(i), 100};
        MachineReport report = reportOf(life, 1'000, sizes[i]);
        report.minion.zone = i == 0 ? "west" : "east";
        machines.report(now, life.name, report, book.book);
        REQUIRE(machines.renewLease(now, *machines.find(life)));
    }
    book.submit("short", {step(1, 4'000), step(1, 5'000)});
    book.start({"short", 0, 0}, 1, {"minion-0", 100});
    book.start({"short", 1, 0}, 1, {"minion-1", 100});
    book.submit("wide", {longRunning(1, 6'000, 1)});
    planner.update(now, book.nowMs + 1'000);
    REQUIRE(planner.reservations().size() == 1);
    REQUIRE(planner.reservations().begin()->second.minion.name == "minion-0");
    change(book, "west", true);
    planner.update(now + 50ms, book.nowMs + 1'050);
    CHECK(planner.reservations().empty());
    planner.update(now + 200ms, book.nowMs + 1'200);
    REQUIRE(planner.reservations().size() == 1);
    CHECK(planner.reservations().begin()->second.minion.name == "minion-1");
}

// Guards against an order that is sent after the evacuation for a start that was committed before.
TEST_CASE("A start that was committed but not ordered is withdrawn and made elsewhere")
{
    ZonesFixture leader;
    leader.startInWest();
    change(leader, "west", true);
    CHECK(isStopped(leader.directive("agent-a")));
    const auto starts = leader.refuse();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].minion == LifeB);
}

// Guards against a start that the agent still sends to its minion.
TEST_CASE("An undelivered start is withdrawn and not renewed")
{
    ZonesFixture leader;
    leader.startInWest();
    REQUIRE(leader.directive("agent-a").starts.size() == 1);
    MachineReport report = leader.west();
    report.undelivered = {{0, ZonesFixture::Task0, 1, RunEndKind::Lost, {}}};
    // The next renewal of the lease.
    leader.pass(800ms, report);
    REQUIRE(leader.directive("agent-a").renewals.size() == 1);
    change(leader, "west", true);
    CHECK(isStopped(leader.directive("agent-a")));
    CHECK(leader.refuse().size() == 1);
}

// Guards against an order that is repeated, against a stop of a run that has just started, and
// against a second run beside a withdrawn one that was started anyway.
TEST_CASE("An ordered start that is not listed is withdrawn after 1.5 s")
{
    ZonesFixture leader;
    leader.startInWest();
    REQUIRE(leader.directive("agent-a").starts.size() == 1);
    change(leader, "west", true);
    for (int i = 0; i < 2; ++i) {
        leader.passReports(700ms);
        const MachineDirective directive = leader.directive("agent-a");
        CHECK(directive.starts.empty());
        CHECK(directive.stops.empty());
    }
    MachineReport unlisted = leader.west();
    unlisted.hasRunList = false;
    leader.pass(200ms, unlisted);
    CHECK(leader.directive("agent-a").stops.empty());
    leader.passReports(100ms);
    CHECK(isStopped(leader.directive("agent-a")));
    leader.reportEast();
    leader.directive("agent-b");
    MachineReport started = leader.west();
    started.running = {{ZonesFixture::Task0, 1, "", 10, 1'000, true}};
    leader.pass(100ms, started);
    CHECK(leader.decide().starts.empty());
    leader.pass(500ms, started);
    CHECK(leader.directive("agent-a").stops.empty());
    MachineReport done = leader.west();
    done.finished = {{1, ZonesFixture::Task0, 1, RunEndKind::Done, {}}};
    leader.pass(100ms, done);
    CHECK(leader.decide().ends.size() == 1);
    CHECK(leader.state("j") == JobState::Completed);
}

// Guards against a new leader that repeats the order of the former one, or waits for a withdrawal
// as if the evacuation were new.
TEST_CASE("A new leader withdraws the unlisted starts of the former leader")
{
    ZonesFixture leader;
    leader.startInWest();
    REQUIRE(leader.directive("agent-a").starts.size() == 1);
    change(leader, "west", true);
    leader.advance(800ms);
    leader.scheduler.startTerm(leader.clock.now(), ZonesFixture::FirstTerm + 1);
    leader.passReports(100ms);
    const MachineDirective early = leader.directive("agent-a");
    CHECK(early.starts.empty());
    CHECK(early.stops.empty());
    leader.passReports(600ms);
    CHECK(isStopped(leader.directive("agent-a")));
    // A wrong calendar clock must not defer the withdrawal.
    leader.scheduler.startTerm(leader.clock.now(), ZonesFixture::FirstTerm + 2);
    leader.nowMs -= 3'600'000;
    leader.passReports(100ms);
    CHECK(leader.directive("agent-a").stops.empty());
    leader.passReports(1500ms);
    CHECK(isStopped(leader.directive("agent-a")));
}

// Guards against stops of several tasks of a step at a time, also by consecutive leaders.
TEST_CASE("Long-running tasks leave an evacuated failure domain one at a time")
{
    SimulatedFleet fleet({8'000, 8'000, 8'000, 8'000});
    SchedulerFixture &leader = fleet.leader();
    const std::uint32_t maxUnavailable = GENERATE(0U, 1U, 3U);
    fleet.setZone(0, "west");
    fleet.setZone(2, "east");
    fleet.setOrderDelay(150ms);
    change(leader, "east", true);
    leader.submit("l", {longRunning(5, 2'000, maxUnavailable)});
    fleet.pass(4s);
    REQUIRE(fleet.runsIn("west") == 5);
    change(leader, "east", false);
    change(leader, "west", true);
    double least = 1;
    const auto measure = [&] { least = std::min(least, fleet.shareAtWork("l")); };
    fleet.pass(900ms, measure);
    fleet.changeLeader();
    fleet.pass(15s, measure);
    CHECK(least >= 0.8);
    CHECK(fleet.runsIn("west") == 0);
    CHECK(fleet.runsIn("east") == 5);
    CHECK(fleet.stops() == 5);
}

// Guards against a task that is stopped only to wait.
TEST_CASE("A long-running task stays in an evacuated failure domain until another has room")
{
    SimulatedFleet fleet({8'000, 8'000});
    SchedulerFixture &leader = fleet.leader();
    fleet.setZone(0, "west");
    fleet.setZone(1, "east");
    change(leader, "east", true);
    leader.submit("here", {longRunning(2, 4'000, 1)});
    fleet.pass(2s);
    change(leader, "east", false);
    leader.submit("there", {longRunning(1, 5'000, 1)});
    fleet.pass(3s);
    REQUIRE(fleet.runsIn("east") == 1);
    change(leader, "west", true);
    fleet.pass(10s);
    CHECK(fleet.runsIn("west") == 2);
    CHECK(fleet.stops() == 0);
    leader.cancel("there");
    fleet.pass(10s);
    CHECK(fleet.runsIn("east") == 2);
}

// Guards against other tasks that take the resources between the stop and the next start, also
// when the minion that holds them leaves.
TEST_CASE("The resources for a task that leaves an evacuated minion are held until it starts")
{
    ZonesFixture leader;
    const bool doesLeave = GENERATE(false, true);
    const MinionLife lifeC{"minion-c", 100};
    leader.report("agent-a", leader.west());
    leader.directive("agent-a");
    leader.submit("j", {longRunning(1, 6'000, 1)});
    REQUIRE(leader.decide().starts.size() == 1);
    leader.directive("agent-a");
    change(leader, "west", true);
    MachineReport atWork = leader.west();
    atWork.running = {{ZonesFixture::Task0, 1, "", 100, 0, true}};
    for (int i = 0; i < 5; ++i) {
        leader.pass(700ms, atWork);
        leader.reportEast();
        leader.decide();
        leader.directive("agent-b");
    }
    const auto moves = leader.scheduler.takeEvacuationMoves();
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].to == LifeB);
    if (doesLeave) {
        MachineReport leaving = reportOf(LifeB, leader.clockMs);
        leaving.minion.draining = true;
        leader.report("agent-b", leaving);
        leader.report("agent-c", reportOf(lifeC, leader.clockMs));
        leader.directive("agent-c");
        CHECK(leader.decide().starts.empty());
    }
    leader.submit("short", {step(8)});
    CHECK(leader.decide().starts.size() == 2);
    leader.pass(700ms, atWork);
    CHECK(isStopped(leader.directive("agent-a")));
    MachineReport stopped = leader.west();
    stopped.finished = {{1, ZonesFixture::Task0, 1, RunEndKind::Stopped, {}}};
    leader.pass(5ms, stopped);
    CHECK(leader.decide().ends.size() == 1);
    const JobBatch next = leader.decide();
    REQUIRE(next.starts.size() == 1);
    CHECK(next.starts[0].task == ZonesFixture::Task0);
    CHECK(next.starts[0].minion == (doesLeave ? lifeC : LifeB));
}

// Guards against a second move of a step beside one that only the former leader knows.
TEST_CASE("A new leader moves no task of a step without a limit while another is starting")
{
    ZonesFixture leader;
    leader.submit("j", {longRunning(2, 2'000, 0)});
    REQUIRE(leader.start(ZonesFixture::Task0, 1, LifeA));
    REQUIRE(leader.start({"j", 0, 1}, 1, LifeB));
    change(leader, "west", true);
    MachineReport atWork = leader.west();
    atWork.running = {{ZonesFixture::Task0, 1, "", 100, 0, true}};
    const auto movesAt = [&](std::uint32_t percent) {
        leader.pass(700ms, atWork);
        leader.reportEast({{{"j", 0, 1}, 1, "", percent, 0, true}});
        leader.decide();
        leader.directive("agent-b");
        return leader.scheduler.takeEvacuationMoves().size();
    };
    for (int i = 0; i < 6; ++i)
        CHECK(movesAt(50) == 0);
    CHECK(movesAt(100) == 1);
}

// Guards against full load on cold minions, and against a limit without the settings.
TEST_CASE("Load returns to cold minions gradually")
{
    BookFixture book;
    const bool isLimited = GENERATE(true, false);
    const bool isAnnounced = GENERATE(true, false);
    SchedulerOptions options;
    if (isLimited)
        options.coldStarts = ColdStartOptions{1.5, 5};
    JobScheduler scheduler(book.book, LeaseOptions{}, options);
    ManualClock clock;
    scheduler.startTerm(clock.now(), 1);
    const MinionLife warmLife{"minion-c", 100};
    std::uint64_t clockMs = 1'000;
    if (!isAnnounced) {
        change(book, "west", true);
        change(book, "west", false);
    }
    int jobs = 0;
    // Returns the starts of 20 new tasks on the cold minion.
    const auto startsOnCold = [&](Duration time, bool isCold) {
        clock.advance(time);
        clockMs += static_cast<std::uint64_t>(time.count() / 1'000);
        book.nowMs += time.count() / 1'000;
        for (const MinionLife &life : {LifeA, LifeB, warmLife}) {
            // The placement prefers the smallest minion.
            MachineReport report = reportOf(life, clockMs, life == LifeA ? 7'000 : 8'000);
            report.minion.zone = life == LifeA ? "west" : "east";
            report.minion.coldRemainingMs = life == LifeA && isCold && isAnnounced ? 3'000 : 0;
            scheduler.report(clock.now(), book.nowMs, "agent of " + life.name, report);
        }
        scheduler.takeDirectives(clock.now(), book.nowMs);
        book.submit("j" + std::to_string(jobs++), {step(20, 10)});
        const JobBatch batch = scheduler.takeStarts(clock.now(), book.nowMs);
        book.apply(batch);
        scheduler.startsResolved();
        return std::ranges::count(batch.starts, LifeA, &RunStart::minion);
    };
    CHECK(startsOnCold(0ms, true) == (isLimited ? 5 : 20));
    // In the last second the two warm minions have received 15 starts: 1.5 * 7.5 + 5 - 5.
    CHECK(startsOnCold(900ms, true) == (isLimited ? 11 : 20));
    CHECK(startsOnCold(5s, false) == 20);
}
