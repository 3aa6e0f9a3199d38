#include "Fleet/miniontask.h"

#include "platformcodec.h"
#include "Support/loopback.h"
#include "Support/rununtil.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

using namespace Oleander;
using namespace Oleander::Fleet;
using Oleander::Testing::Loopback;
using Json = nlohmann::json;

namespace {

constexpr std::uint64_t Born = 100;
const TaskRef First{"5c0e7a21d94b36f8", 0, 0};

/** A scripted minion and the MinionTask that tracks it. */
struct Fixture
{
    EventLoop loop;
    std::string address = Loopback::freeAddress(Loopback::nextHost());
    std::uint64_t born = Born;
    std::unique_ptr<HttpServer> server;
    MinionTask task{loop, Platform::platformCodec(), address};
    std::uint64_t clockMs = 1'000;
    std::uint64_t acknowledgedEnd = 0;
    /** HTTP status of the answers to starts; 0 for no answer. */
    unsigned startStatus = 200;
    bool answersStops = true;
    std::vector<Json> starts;
    std::vector<Json> polls;
    std::size_t stops = 0;
    std::vector<std::shared_ptr<HttpExchange>> unansweredRequests;
    std::uint64_t reports = 0;

    Fixture()
    {
        listen();
        announce();
    }

    void announce(std::uint64_t sequence = 1, std::uint32_t milliCores = 1'000)
    {
        MinionAnnouncement announcement;
        announcement.minion.life = {"i-1", born};
        announcement.minion.milliCores = milliCores;
        announcement.sequence = sequence;
        announcement.clockMs = clockMs;
        task.handleAnnouncement(announcement);
    }

    void listen()
    {
        server = std::make_unique<HttpServer>(
            loop, HttpLimits{},
            [this](const std::shared_ptr<HttpExchange> &exchange) { handle(exchange); });
        REQUIRE(server->listen(address));
    }

    /** Crashes the minion and starts it again under its id; its clock starts anew. */
    void restart()
    {
        server.reset();
        ++born;
        clockMs = 1;
        starts.clear();
        polls.clear();
        listen();
    }

    void handle(const std::shared_ptr<HttpExchange> &exchange)
    {
        const std::string &path = exchange->request().path;
        Json body = {{"clockMs", clockMs}};
        if (path.ends_with("hold")) {
            polls.push_back(Json::parse(exchange->request().body));
            body["born"] = born;
            body["running"] = Json::array();
            body["finished"] = Json::array();
            return exchange->respond({200, {}, body.dump()});
        }
        if (path.ends_with("run-stop")) {
            ++stops;
            if (answersStops)
                return exchange->respond({200, {}, body.dump()});
        } else if (path.ends_with("run-start")) {
            starts.push_back(Json::parse(exchange->request().body));
            if (startStatus != 0)
                return exchange->respond({startStatus, {}, body.dump()});
        }
        unansweredRequests.push_back(exchange);
    }

    void sendDirective(std::uint64_t holdUntilMs, bool start, std::uint32_t run = 1)
    {
        MachineDirective directive;
        directive.term = 1;
        directive.life = {"i-1", Born};
        directive.holdUntilMs = holdUntilMs;
        directive.acknowledgedEnd = acknowledgedEnd;
        if (start) {
            StartOrder order;
            order.task = First;
            order.run = run;
            directive.starts.push_back(order);
        }
        task.handleDirective(directive);
    }

    void sendStop()
    {
        MachineDirective directive;
        directive.term = 1;
        directive.life = {"i-1", Born};
        directive.stops.push_back({First, 1});
        task.handleDirective(directive);
    }

    bool reportsRefusal() { return !task.makeReport(++reports).refused.empty(); }

    void runUntil(const std::function<bool()> &done) { Testing::runUntil(loop, done); }
};

} // namespace

TEST_CASE("A start is not sent again after the lease under which it was ordered has expired")
{
    // By then the leader may have marked the run as lost and started the task elsewhere.
    Fixture minion;
    minion.startStatus = 0;
    minion.sendDirective(6'000, true);
    minion.runUntil([&] { return minion.starts.size() == 2; });
    minion.sendDirective(12'000, false);
    minion.clockMs = 7'000;
    minion.runUntil([&] { return minion.stops > 0 && minion.reportsRefusal(); });
    for (const Json &start : minion.starts)
        CHECK(start.at("deadlineMs") == 6'000);
}

TEST_CASE("An unanswered start counts as refused only after the minion has stopped it")
{
    // The minion may execute an unanswered call after later ones.
    Fixture minion;
    minion.startStatus = 0;
    minion.answersStops = false;
    minion.sendDirective(6'000, true);
    minion.runUntil([&] { return minion.starts.size() == 1; });
    minion.startStatus = 503;
    minion.runUntil([&] { return minion.stops == 1; });
    CHECK_FALSE(minion.reportsRefusal());
    minion.answersStops = true;
    minion.runUntil([&] {
        minion.sendDirective(6'000, true);
        return minion.stops > 1 && minion.reportsRefusal();
    });
}

TEST_CASE("A start whose every call was refused counts as refused without a stop")
{
    Fixture minion;
    minion.startStatus = 503;
    minion.sendDirective(6'000, true);
    minion.runUntil([&] { return minion.reportsRefusal(); });
    CHECK(minion.starts.size() == 1);
    CHECK(minion.stops == 0);
}

TEST_CASE("A stop that is ordered again and again does not delay the refusal of its start forever")
{
    Fixture minion;
    minion.startStatus = 0;
    minion.sendDirective(6'000, true);
    minion.runUntil([&] { return minion.starts.size() == 1; });
    // The leader repeats a stop until the reports show its effect.
    minion.runUntil([&] {
        minion.sendStop();
        return minion.reportsRefusal();
    });
}

TEST_CASE("A crash is reported with the runs that the minion had just started")
{
    Fixture minion;
    minion.sendDirective(6'000, true);
    minion.runUntil([&] { return minion.starts.size() == 1; });
    // Another instance at the same address shows that the first one has ended.
    MinionAnnouncement announcement;
    announcement.minion.life = {"i-2", Born + 1};
    announcement.sequence = 1;
    minion.task.handleAnnouncement(announcement);
    const MachineReport report = minion.task.makeReport(++minion.reports);
    REQUIRE(report.crashes.size() == 1);
    CHECK(report.crashes.front().life == MinionLife{"i-1", Born});
    REQUIRE(report.crashes.front().suspects.size() == 1);
    CHECK(report.crashes.front().suspects.front().task == First);
}

TEST_CASE("The end of a minion that announced its departure is not reported as a crash")
{
    Fixture minion;
    minion.sendDirective(6'000, true);
    minion.runUntil([&] { return minion.starts.size() == 1; });
    minion.task.handleDeparture({"i-1"});
    MinionAnnouncement announcement;
    announcement.minion.life = {"i-2", Born + 1};
    announcement.sequence = 1;
    minion.task.handleAnnouncement(announcement);
    const MachineReport report = minion.task.makeReport(++minion.reports);
    CHECK(report.ended.size() == 1);
    CHECK(report.crashes.empty());
}

TEST_CASE("A start is never carried out by a later instance under the same id")
{
    // Its runs count as lost, so the leader starts the task elsewhere.
    Fixture minion;
    const bool isConnected = GENERATE(false, true);
    const bool isAnnounced = GENERATE(false, true);
    minion.sendDirective(6'000, isConnected);
    minion.runUntil([&] { return !minion.polls.empty() && minion.starts.empty() != isConnected; });
    minion.restart();
    minion.sendDirective(6'000, true, 2);
    if (isAnnounced)
        minion.announce();
    minion.runUntil([&] {
        return !minion.polls.empty() && !minion.task.makeReport(++minion.reports).ended.empty();
    });
    CHECK(minion.starts.empty());
}

TEST_CASE("An instance never gets the lease or the acknowledged end of an earlier one")
{
    Fixture minion;
    minion.acknowledgedEnd = 7;
    minion.sendDirective(6'000, false);
    minion.runUntil(
        [&] { return !minion.polls.empty() && minion.polls.back().contains("deadlineMs"); });
    minion.restart();
    minion.runUntil([&] { return !minion.task.makeReport(++minion.reports).ended.empty(); });
    CHECK_FALSE(minion.polls.empty());
    for (const Json &poll : minion.polls) {
        CHECK_FALSE(poll.contains("deadlineMs"));
        CHECK(poll.at("ackCursor") == 0);
    }
}

TEST_CASE("A start that waits for its delivery is given up when the minion announces less capacity")
{
    // The leader has decided it for the larger capacity, and it may wait as long as the lease.
    Fixture minion;
    minion.startStatus = 0;
    minion.sendDirective(6'000, true);
    minion.runUntil([&] { return minion.starts.size() == 1; });
    minion.announce(2, 500);
    minion.runUntil([&] { return minion.starts.size() > 1 || minion.reportsRefusal(); });
    CHECK(minion.starts.size() == 1);
    CHECK(minion.stops == 1);
}

TEST_CASE("A start that may still reach a shrunken minion counts as refused only after a stop")
{
    Fixture minion;
    minion.startStatus = 0;
    minion.answersStops = false;
    minion.sendDirective(6'000, true);
    minion.announce(2, 500);
    minion.runUntil([&] { return minion.stops == 1; });
    CHECK_FALSE(minion.reportsRefusal());
    minion.answersStops = true;
    minion.runUntil([&] {
        minion.sendStop();
        return minion.reportsRefusal();
    });
}

TEST_CASE("An announcement that arrives late does not bring back an old capacity")
{
    Fixture minion;
    minion.announce(3, 500);
    minion.announce(2, 1'000);
    CHECK(minion.task.makeReport(++minion.reports).minion.milliCores == 500);
}

TEST_CASE("An announcement from the far future does not displace the minion")
{
    Fixture fixture;
    fixture.runUntil([&] { return !fixture.polls.empty(); });
    const auto now = fixture.loop.clock().wallNow().time_since_epoch();
    const auto ahead = [&](std::chrono::milliseconds difference) {
        fixture.born = static_cast<std::uint64_t>((now + difference).count());
        fixture.announce();
        return fixture.task.makeReport(++fixture.reports).minion.life.bornMs;
    };
    CHECK(ahead(std::chrono::hours(48)) == Born);
    CHECK(ahead(std::chrono::hours(24 * 365 * 1000)) == Born);
    CHECK(ahead(std::chrono::minutes(1)) == fixture.born);
}

TEST_CASE("A change of the capacity is reported at once")
{
    Fixture minion;
    unsigned emitted = 0;
    minion.task.reportNeeded.connect([&] { ++emitted; });
    minion.announce(2, 500);
    CHECK(emitted == 1);
    minion.announce(3, 500);
    CHECK(emitted == 1);
    minion.announce(4, 1'000);
    CHECK(emitted == 2);
}

TEST_CASE("The acknowledgement of an earlier report does not drop a crash that none has contained")
{
    Fixture minion;
    MinionAnnouncement announcement;
    announcement.sequence = 1;
    announcement.minion.life = {"i-2", Born + 1};
    minion.task.handleAnnouncement(announcement);
    REQUIRE(minion.task.makeReport(1).crashes.size() == 1);
    announcement.minion.life = {"i-3", Born + 2};
    minion.task.handleAnnouncement(announcement);
    MachineDirective directive;
    directive.term = 1;
    directive.acknowledgedReport = 1;
    minion.task.handleDirective(directive);
    const MachineReport report = minion.task.makeReport(2);
    REQUIRE_FALSE(report.crashes.empty());
    CHECK(report.crashes.back().life == MinionLife{"i-2", Born + 1});
    CHECK(report.ended.back() == MinionLife{"i-2", Born + 1});
    directive.acknowledgedReport = 2;
    minion.task.handleDirective(directive);
    CHECK(minion.task.makeReport(3).ended.empty());
}
