#include "jobfixture.h"
#include "Jobs/interferencetable.h"
#include "Jobs/pacecontroller.h"

#include <map>

using namespace Oleander;
using namespace Oleander::Testing;

namespace {

/** Feeds \a table with reports of minions on which an interfering ("loud") and a harmless ("quiet")
 * image run beside one service. */
void train(InterferenceTable &table, int reports)
{
    constexpr double LoudInterference = 0.08;
    for (int i = 0; i < reports; ++i) {
        const double loud = i % 3 == 0 ? 6.0 : 0.0;
        const double quiet = i % 2 == 0 ? 12.0 : 3.0;
        table.observe({{"web", 0.3 + LoudInterference * loud, {}}},
                      {{"loud", loud}, {"quiet", quiet}});
    }
}

PacedRun servingRun(std::uint32_t tailMs)
{
    return {{{"s", 0, 0}, 1}, false, "web", 0, 100, tailMs};
}

PacedRun fillingRun(std::uint32_t index, std::uint32_t used)
{
    return {{{"f", 0, index}, 1}, true, "loud", 8'000, 0, used};
}

/** Controller with learned values by which ten cores of the image take the service over its target.
 */
PaceController trainedController()
{
    PaceController pace;
    pace.learn({"loud", "web", 0.1});
    return pace;
}

std::uint32_t lastPercent(const std::vector<PaceOrder> &orders, std::uint32_t before)
{
    return orders.empty() ? before : orders.back().percent;
}

} // namespace

TEST_CASE("The table distinguishes pairs of images that interfere from pairs that do not")
{
    InterferenceTable table;
    train(table, 400);
    CHECK(table.interferencePerCore("loud", "web") > 0.06);
    CHECK(table.interferencePerCore("quiet", "web") < 0.01);
    CHECK(table.availableCores("loud", {{"web", table.baseLatencyRatio("web")}}, {}) < 10);
    CHECK(table.availableCores("quiet", {{"web", table.baseLatencyRatio("web")}}, {}) > 30);
    CHECK(table.availableCores("quiet", {{"web", table.baseLatencyRatio("web")}}, {{"loud", 9.0}})
          < table.availableCores("quiet", {{"web", table.baseLatencyRatio("web")}}, {}));
}

TEST_CASE("A load that swings for all tasks of a service is not attributed to a filling task")
{
    constexpr std::uint32_t Tasks = 4;
    constexpr double LoudPerCore = 0.05;
    SchedulerFixture leader;
    StepSpec serving = step(Tasks, 6'000);
    serving.longRunning = true;
    serving.targetLatencyMs = 1'000;
    serving.image = "web";
    serving.maxPerMinion = 1;
    std::vector<MinionLife> lives;
    for (std::uint32_t i = 0; i < Tasks; ++i)
        lives.push_back({"minion-" + std::to_string(i), 100});
    for (const MinionLife &life : lives) {
        leader.report(life.name, reportOf(life, 1'000, 40'000));
        leader.directive(life.name);
    }
    leader.submit("s", {serving});
    REQUIRE(leader.decide().starts.size() == Tasks);
    StepSpec filling = step(1, 6'000);
    filling.filling = true;
    filling.estimateMs = 100'000;
    for (const char *image : {"quiet", "loud"}) {
        filling.image = image;
        leader.submit(image, {filling});
        REQUIRE(leader.decide().starts.size() == 1);
    }
    std::uint64_t clockMs = 1'000;
    for (int i = 0; i < 80; ++i) {
        leader.advance(500ms);
        clockMs += 500;
        // The load is high in three of six seconds, and only then the harmless image runs.
        const bool isHigh = i % 12 < 6;
        for (const MinionLife &life : lives) {
            MachineReport report = reportOf(life, clockMs, 40'000);
            double ratio = isHigh ? 0.62 : 0.32;
            for (const RunKey &key : leader.book.activeRuns().at(life)) {
                if (key.first.job == "s")
                    continue;
                const bool isLoud = key.first.job == "loud";
                const std::uint32_t used = isLoud || isHigh ? 6'000 : 0;
                report.running.push_back({key.first, key.second, "", 10, used, true});
                ratio += isLoud ? LoudPerCore * 6 : 0;
            }
            for (const RunKey &key : leader.book.activeRuns().at(life)) {
                if (key.first.job == "s")
                    report.running.push_back({key.first, key.second, "", 100,
                                              static_cast<std::uint32_t>(1'000 * ratio), true});
            }
            leader.report(life.name, report);
            leader.directive(life.name);
        }
    }
    const InterferenceTable &learned = leader.scheduler.interference();
    CHECK(learned.interferencePerCore("loud", "web") == Approx(LoudPerCore).margin(0.02));
    CHECK(learned.interferencePerCore("quiet", "web") < 0.01);
}

TEST_CASE("A task that interferes strongly with every service is placed once its job is starved")
{
    constexpr double LoudPerCore = 0.08;
    SchedulerFixture leader;
    LearnedInterference learned;
    learned.interference = {{"loud", "web", LoudPerCore}};
    leader.scheduler.interference().importLearned(learned);
    StepSpec serving = step(1, 30'000);
    serving.longRunning = true;
    serving.targetLatencyMs = 100;
    serving.image = "web";
    leader.submit("s", {serving});
    StepSpec filling = step(2, 4'000);
    filling.filling = true;
    filling.image = "loud";
    const auto report = [&](std::uint64_t clockMs) {
        leader.report("agent-a", reportOf(LifeA, clockMs, 40'000));
        leader.directive("agent-a");
    };
    report(1'000);
    REQUIRE(leader.decide().starts.size() == 1);
    leader.submit("f", {filling});
    CHECK(leader.decide().starts.empty());
    leader.advance(1'600ms);
    report(2'600);
    CHECK_FALSE(leader.decide().starts.empty());
}

TEST_CASE("A large task of an image without observations is placed beside a service")
{
    SchedulerFixture leader;
    StepSpec serving = step(1, 6'000);
    serving.longRunning = true;
    serving.targetLatencyMs = 100;
    serving.image = "web";
    leader.submit("s", {serving});
    leader.report("agent-a", reportOf(LifeA, 1'000, 40'000));
    leader.directive("agent-a");
    REQUIRE(leader.decide().starts.size() == 1);
    StepSpec filling = step(1, 16'000);
    filling.filling = true;
    filling.image = "unknown";
    leader.submit("f", {filling});
    CHECK(leader.decide().starts.size() == 1);
}

TEST_CASE("A step of an image without observations does not start beside all services at once")
{
    SchedulerFixture leader;
    StepSpec serving = step(2, 6'000);
    serving.longRunning = true;
    serving.targetLatencyMs = 100;
    serving.image = "web";
    serving.maxPerMinion = 1;
    leader.submit("s", {serving});
    const std::map<std::string, MinionLife> lives{{"agent-a", LifeA}, {"agent-b", LifeB}};
    std::uint64_t clockMs = 1'000;
    const auto reportUse = [&](std::uint32_t fillingMilliCores) {
        leader.advance(100ms);
        clockMs += 100;
        for (const auto &[agent, life] : lives) {
            MachineReport report = reportOf(life, clockMs, 40'000);
            const auto active = leader.book.activeRuns().find(life);
            if (active != leader.book.activeRuns().end()) {
                for (const RunKey &key : active->second)
                    report.running.push_back({key.first, key.second, "", 1,
                                              key.first.job == "s" ? 35U : fillingMilliCores,
                                              true});
            }
            leader.report(agent, report);
            leader.directive(agent);
        }
    };
    reportUse(0);
    REQUIRE(leader.decide().starts.size() == 2);
    reportUse(0);
    StepSpec filling = step(4, 2'000);
    filling.filling = true;
    filling.image = "unknown";
    leader.submit("f", {filling});
    CHECK(leader.decide().starts.size() == 1);
    // A task that does not use any processor time yet shows no interference.
    reportUse(0);
    CHECK(leader.decide().starts.empty());
    reportUse(2'000);
    CHECK(leader.decide().starts.size() == 3);
}

TEST_CASE("A table that imports learned values gives the same results as the exporting table")
{
    InterferenceTable table;
    train(table, 400);
    InterferenceTable next;
    next.importLearned(table.exportLearned());
    for (const char *image : {"loud", "quiet", "unknown"})
        CHECK(next.availableCores(image, {{"web", 0.3}}, {{"loud", 1.0}})
              == table.availableCores(image, {{"web", 0.3}}, {{"loud", 1.0}}));
}

TEST_CASE("A filling task is placed on a minion without interference, even with less idle time")
{
    SchedulerFixture leader;
    StepSpec serving = step(1, 6'000);
    serving.longRunning = true;
    serving.targetLatencyMs = 100;
    serving.image = "web";
    leader.submit("s", {serving});
    leader.report("agent-a", reportOf(LifeA, 1'000, 40'000));
    leader.directive("agent-a");
    REQUIRE(leader.decide().starts.size() == 1);
    StepSpec filling = step(1, 8'000);
    filling.filling = true;
    filling.image = "loud";
    leader.submit("taught", {filling});
    REQUIRE(leader.decide().starts.size() == 1);
    // Reports show the service over its target whenever the image runs.
    std::uint64_t clockMs = 1'000;
    for (int i = 0; i < 60; ++i) {
        leader.advance(400ms);
        clockMs += 400;
        MachineReport report = reportOf(LifeA, clockMs, 40'000);
        RunStatus service{{"s", 0, 0}, 1, "", 100, i % 2 == 0 ? 40U : 300U, true};
        RunStatus fill{{"taught", 0, 0}, 1, "", 10, i % 2 == 0 ? 0U : 4'000U, true};
        report.running = {service, fill};
        leader.report("agent-a", report);
        leader.directive("agent-a");
    }
    leader.report("agent-b", reportOf(LifeB, clockMs, 9'000));
    leader.directive("agent-b");
    leader.submit("f", {filling});
    const JobBatch batch = leader.decide();
    REQUIRE(batch.starts.size() == 1);
    CHECK(batch.starts.at(0).minion == LifeB);
}

TEST_CASE("At a peak no filling task is placed where it would only disturb a service")
{
    // With the small capacity, the service claims three quarters of the only minion and the image
    // would take it over its target, so nothing is placed. With the large capacity so little is
    // claimed that no job may be left without a running task.
    const std::uint32_t capacity = GENERATE(8'000U, 40'000U);
    SchedulerFixture leader;
    StepSpec serving = step(1, 6'000);
    serving.longRunning = true;
    serving.targetLatencyMs = 100;
    serving.image = "web";
    StepSpec filling = step(1, 8'000);
    filling.filling = true;
    filling.image = "loud";
    leader.scheduler.interference().importLearned({{{"loud", "web", 0.5}}, {{"web", 0.4}}});
    leader.report("agent-a", reportOf(LifeA, 1'000, capacity));
    leader.directive("agent-a");
    leader.submit("s", {serving});
    REQUIRE(leader.decide().starts.size() == 1);
    for (const char *job : {"f", "g", "h"})
        leader.submit(job, {filling});
    std::size_t placed = 0;
    std::uint64_t clockMs = 1'000;
    for (int i = 0; i < 10; ++i) {
        leader.advance(400ms);
        clockMs += 400;
        MachineReport report = reportOf(LifeA, clockMs, capacity);
        report.running = {{{"s", 0, 0}, 1, "", 100, 40, true}};
        leader.report("agent-a", report);
        leader.directive("agent-a");
        placed += leader.decide().starts.size();
    }
    CHECK(placed == (capacity == 8'000 ? 0U : 3U));
}

TEST_CASE(
    "No service is over its target without interruption for as long as the platform tolerates")
{
    // The platform counts a violation after 4 s without interruption. Nothing is learned about the
    // pair of images.
    constexpr Duration TolerableTime = 4s;
    // Tail latency added at the full share: two cuts bring the first value below the target again;
    // the second exceeds it even at a twentieth of the share.
    const std::uint32_t added = GENERATE(200U, 2'000U);
    ManualClock clock;
    PaceController pace;
    std::uint32_t percent = 100;
    // A long time with slack raises the gain to its limit.
    for (int i = 0; i < 50; ++i) {
        clock.advance(400ms);
        pace.update(clock.now(), {servingRun(10), fillingRun(0, 8'000)});
    }
    // The tail latency follows the actual share one report later.
    std::uint32_t seen = percent;
    Duration over{};
    Duration longest{};
    for (int i = 0; i < 100; ++i) {
        clock.advance(400ms);
        const std::uint32_t tail = 30 + added * seen / 100;
        seen = percent;
        over = tail > 100 ? over + 400ms : 0ms;
        longest = std::max(longest, over);
        percent = lastPercent(
            pace.update(clock.now(), {servingRun(tail), fillingRun(0, 80 * seen)}), percent);
    }
    CHECK(longest < TolerableTime);
    CHECK(percent > 0);
}

TEST_CASE("A tail latency that falls more slowly than the share is not attributed to the service")
{
    // Guards against attributing the slow decay of the tail latency to the service's own load. A
    // day of the users' benchmark showed this pattern: the filling run takes the service far over
    // its target, and after a stop the reported latency falls by a third with each report.
    constexpr Duration TolerableTime = 4s;
    ManualClock clock;
    PaceController pace;
    std::uint32_t share = 100;
    double tail = 30;
    Duration over{};
    Duration longest{};
    std::uint32_t worked = 0;
    std::uint32_t workedLater = 0;
    for (int i = 0; i < 200; ++i) {
        clock.advance(200ms);
        const double settled = std::min(900.0, 30 + 40.0 * share);
        tail = std::max(settled, 0.65 * tail);
        over = tail > 100 ? over + 200ms : 0ms;
        longest = std::max(longest, over);
        workedLater += i < 100 ? 0 : share;
        worked += share;
        const auto orders = pace.update(
            clock.now(), {servingRun(static_cast<std::uint32_t>(tail)), fillingRun(0, 80 * share)});
        share = lastPercent(orders, share);
    }
    CHECK(longest < TolerableTime);
    // A fiftieth of the share takes the service to its target; some more is used to probe the
    // limit.
    CHECK(worked < 200 * 20);
    CHECK(workedLater > 0);
}

TEST_CASE("Filling runs return to their full share once the services have slack")
{
    ManualClock clock;
    PaceController pace;
    for (int i = 0; i < 5; ++i) {
        clock.advance(600ms);
        pace.update(clock.now(), {servingRun(400), fillingRun(0, 8'000)});
    }
    CHECK(pace.fillingPercent() < 20);
    for (int i = 0; i < 20; ++i) {
        clock.advance(600ms);
        pace.update(clock.now(), {servingRun(30), fillingRun(0, 1'000)});
    }
    CHECK(pace.fillingPercent() == 100);
}

TEST_CASE("Images with the highest interference are throttled first")
{
    ManualClock clock;
    PaceController pace = trainedController();
    pace.learn({"quiet", "web", 0.001});
    PacedRun quiet = fillingRun(1, 8'000);
    quiet.image = "quiet";
    clock.advance(1s);
    std::map<std::uint32_t, std::uint32_t> percents;
    for (const PaceOrder &order :
         pace.update(clock.now(), {servingRun(85), fillingRun(0, 4'000), quiet}))
        percents[order.key.first.index] = order.percent;
    CHECK(percents.at(0) < 60);
    CHECK_FALSE(percents.contains(1));
}

TEST_CASE(
    "Beside a service near its target the runs of the job with the highest weight keep their share")
{
    ManualClock clock;
    PaceController pace = trainedController();
    PacedRun first = fillingRun(0, 4'000);
    PacedRun second = fillingRun(1, 4'000);
    second.weight = 5.0;
    first.weight = 1.0;
    std::map<std::uint32_t, std::uint32_t> percents{{0, 100}, {1, 100}};
    for (int i = 0; i < 3; ++i) {
        clock.advance(600ms);
        for (const PaceOrder &order : pace.update(clock.now(), {servingRun(90), first, second}))
            percents[order.key.first.index] = order.percent;
    }
    CHECK(percents.at(1) > 80);
    CHECK(percents.at(0) == 0);
}

TEST_CASE("Filling runs continue beside a service that is over its target without them")
{
    ManualClock clock;
    PaceController pace;
    // A slow minion: the service is over its target whatever the filling runs do.
    std::uint32_t percent = 100;
    std::uint32_t atWork = 0;
    Duration overInARow{};
    for (int i = 0; i < 50; ++i) {
        clock.advance(400ms);
        percent = lastPercent(
            pace.update(clock.now(), {servingRun(4'000), fillingRun(0, 80 * percent)}), percent);
        atWork += percent > 50 ? 1 : 0;
        // The filling runs are paused repeatedly to check whether they have become the cause.
        overInARow = percent > 10 ? overInARow + 400ms : 0ms;
        CHECK(overInARow < 4s);
    }
    CHECK(atWork > 15);
}

TEST_CASE("A share whose order was not delivered is ordered again")
{
    ManualClock clock;
    PaceController pace = trainedController();
    clock.advance(1s);
    const auto orders = pace.update(clock.now(), {servingRun(400), fillingRun(0, 8'000)});
    REQUIRE(orders.size() == 1);
    pace.orderFailed(orders.at(0).key);
    const auto again = pace.update(clock.now(), {servingRun(400), fillingRun(0, 8'000)});
    REQUIRE(again.size() == 1);
    CHECK(again.at(0).key == orders.at(0).key);
}

TEST_CASE("Without a service on the minion filling runs work at their full share")
{
    ManualClock clock;
    PaceController pace;
    CHECK(pace.update(clock.now(), {fillingRun(0, 8'000), fillingRun(1, 8'000)}).empty());
    CHECK(pace.fillingPercent() == 100);
}
