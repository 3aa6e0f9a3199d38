#include "Placement/taskexecutor.h"

#include <catch2/catch.hpp>

using namespace Oleander;
using namespace Oleander::Placement;

namespace {

/** An executor with a lease in session 4, granted for its heartbeat 1 at 100 s. */
struct ExecutorFixture
{
    TaskExecutor executor{ExecutorSettings{}};
    TimePoint now{std::chrono::seconds(100)};

    ExecutorFixture()
    {
        executor.noteHeartbeat(1, now);
        executor.handleReply({1, std::chrono::seconds(5), "leader", 4});
    }

    std::string start(std::uint32_t attempt, std::uint64_t session = 4, std::uint64_t stamp = 1)
    {
        TaskOrder order;
        order.task = "t";
        order.attempt = attempt;
        order.session = session;
        order.stamp = stamp;
        return executor.handleOrder(order, now);
    }

    std::string stop(std::uint32_t attempt)
    {
        TaskOrder order;
        order.task = "t";
        order.attempt = attempt;
        order.action = TaskAction::Stop;
        return executor.handleOrder(order, now);
    }

    /** Starts attempt 1, whose start the worker refuses with \a reason. */
    void startAndRefuse(const std::string &reason)
    {
        CHECK(start(1).empty());
        const auto starts = executor.dueCalls(now);
        REQUIRE(starts.size() == 1);
        executor.handleCallFailure(starts.front(), reason);
    }

    /** Sends heartbeats up to stamp \a last, each answered by the leader. */
    void exchangeHeartbeatsUntil(std::uint64_t last)
    {
        for (std::uint64_t stamp = 2; stamp <= last; ++stamp) {
            now += std::chrono::milliseconds(500);
            executor.noteHeartbeat(stamp, now);
            executor.handleReply({stamp, std::chrono::seconds(5), "leader", 4});
        }
    }
};

} // namespace

TEST_CASE("A start needs the lease, its session and a recent heartbeat")
{
    ExecutorFixture fixture;
    CHECK(fixture.start(1, 3).find("session 3") != std::string::npos);
    CHECK(fixture.start(1, 5).find("session 5") != std::string::npos);
    CHECK(fixture.start(1, 4, 9) == "The order is too old.");
    fixture.exchangeHeartbeatsUntil(100);
    CHECK(fixture.start(1, 4, 1) == "The order is too old.");
    CHECK(fixture.start(1, 4, 100).empty());
    fixture.now += std::chrono::seconds(6);
    CHECK(fixture.start(2, 4, 100) == "The worker holds no lease.");
}

TEST_CASE("A repeated start has no effect, and a late one does not restart a stopped attempt")
{
    ExecutorFixture fixture;
    CHECK(fixture.start(1).empty());
    CHECK(fixture.start(1).empty());
    CHECK(fixture.executor.dueCalls(fixture.now).size() == 1);
    CHECK(fixture.stop(1).empty());
    CHECK_FALSE(fixture.start(1).empty());
    fixture.executor.handleRemoval("t", 1);
    CHECK_FALSE(fixture.start(1).empty());
    CHECK(fixture.executor.reports().at(0).state == AttemptState::Stopped);
    // The end is remembered as long as an order from before it would be accepted.
    fixture.exchangeHeartbeatsUntil(60);
    CHECK_FALSE(fixture.start(1).empty());
}

TEST_CASE("The stop of an unknown attempt is sent to the worker before it is reported")
{
    ExecutorFixture fixture;
    CHECK(fixture.stop(3).empty());
    const auto calls = fixture.executor.dueCalls(fixture.now);
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].action == TaskAction::Stop);
    CHECK(fixture.executor.reports().at(0).state == AttemptState::Stopping);
    fixture.executor.handleRemoval("t", 3);
    CHECK(fixture.executor.reports().at(0).state == AttemptState::Stopped);
}

TEST_CASE("A stop without a reply is repeated")
{
    ExecutorFixture fixture;
    CHECK(fixture.start(1).empty());
    fixture.stop(1);
    CHECK(fixture.executor.dueCalls(fixture.now).size() == 1);
    CHECK(fixture.executor.dueCalls(fixture.now).empty());
    fixture.now += ExecutorSettings{}.retryInterval;
    CHECK(fixture.executor.dueCalls(fixture.now).size() == 1);
}

TEST_CASE("The first stop does not wait for the retry interval of the start")
{
    ExecutorFixture fixture;
    CHECK(fixture.start(1).empty());
    CHECK(fixture.executor.dueCalls(fixture.now).size() == 1);
    CHECK(fixture.stop(1).empty());
    fixture.now += std::chrono::milliseconds(10);
    const auto calls = fixture.executor.dueCalls(fixture.now);
    REQUIRE(calls.size() == 1);
    CHECK(calls.front().action == TaskAction::Stop);
    CHECK(fixture.executor.dueCalls(fixture.now).empty());
}

TEST_CASE("A start that the worker refuses counts as failed only after a confirmed stop")
{
    // The worker may still execute an earlier call without an answer, of this or an earlier agent
    // process, while the next attempt runs elsewhere.
    ExecutorFixture fixture;
    fixture.startAndRefuse("No room.");
    CHECK(fixture.executor.reports().at(0).state == AttemptState::Stopping);
    const auto stops = fixture.executor.dueCalls(fixture.now);
    REQUIRE(stops.size() == 1);
    CHECK(stops.front().action == TaskAction::Stop);
    fixture.executor.handleRemoval("t", 1);
    CHECK(fixture.executor.reports().at(0).state == AttemptState::Failed);
    CHECK(fixture.executor.reports().at(0).reason == "No room.");
    CHECK_FALSE(fixture.start(1).empty());
}

TEST_CASE("An attempt that runs although its start was refused is reported as stopped")
{
    ExecutorFixture fixture;
    fixture.startAndRefuse("No room.");
    fixture.executor.handleListing({{"t", 1, 4, AttemptState::Running, "", 3}}, fixture.now);
    CHECK(fixture.executor.reports().at(0).state == AttemptState::Stopping);
    fixture.executor.handleRemoval("t", 1);
    CHECK(fixture.executor.reports().at(0).state == AttemptState::Stopped);
    CHECK(fixture.executor.reports().at(0).checkpoint == 3);
}

TEST_CASE("A restarted agent adopts attempts of its session and stops those of an earlier one")
{
    TaskExecutor executor{ExecutorSettings{}};
    const TimePoint now(std::chrono::seconds(200));
    executor.noteHeartbeat(1, now);
    executor.handleListing(
        {{"old", 2, 3, AttemptState::Running, "", 0}, {"new", 5, 4, AttemptState::Running, "", 7}},
        now);
    CHECK(executor.dueCalls(now).empty());
    executor.handleReply({1, std::chrono::seconds(5), "leader", 4});
    const auto calls = executor.dueCalls(now);
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].task == "old");
    CHECK(calls[0].action == TaskAction::Stop);
    CHECK(executor.reports().at(0).checkpoint == 7);
}

TEST_CASE("A lease counts from the heartbeat, not from the reply, and its end stops the tasks")
{
    ExecutorFixture fixture;
    fixture.executor.noteHeartbeat(2, fixture.now + std::chrono::seconds(1));
    fixture.executor.handleReply({2, std::chrono::seconds(5), "leader", 4});
    CHECK(fixture.start(1).empty());
    fixture.executor.dueCalls(fixture.now);
    fixture.now += std::chrono::seconds(6) - ExecutorSettings{}.stopMargin;
    CHECK_FALSE(fixture.executor.holdsLease(fixture.now));
    const auto calls = fixture.executor.dueCalls(fixture.now);
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].action == TaskAction::Stop);
}

TEST_CASE("A result is kept until the leader orders a stop")
{
    ExecutorFixture fixture;
    CHECK(fixture.start(1).empty());
    fixture.executor.handleListing({{"t", 1, 4, AttemptState::Succeeded, "", 0}}, fixture.now);
    fixture.exchangeHeartbeatsUntil(50);
    CHECK(fixture.executor.reports().at(0).state == AttemptState::Succeeded);
    CHECK(fixture.stop(1).empty());
    fixture.executor.handleRemoval("t", 1);
    CHECK(fixture.executor.reports().at(0).state == AttemptState::Succeeded);
}
