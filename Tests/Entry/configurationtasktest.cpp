#include "Entry/configurationtask.h"

#include <catch2/catch.hpp>

using namespace Oleander;

namespace {

constexpr Duration Timeout = std::chrono::seconds(20);

/** The configuration task of an entry without peers, whose reads always succeed. */
struct Fixture
{
    EventLoop loop;
    Messenger messenger{loop, "entry-1", 1};
    State::ControlState state;
    ConfigurationTask task;

    explicit Fixture(Duration lease)
        : task(loop, messenger, state,
               {[](const ReplicaTask::ReadCallback &read) { read({}); },
                [](const std::string &, const ReplicaTask::ProposeCallback &) {},
                [] { return false; }},
               {"entry-1", {"entry-1"}, lease})
    {
        task.start();
    }
};

} // namespace

TEST_CASE("An entry that has just started does not report a configuration as in force everywhere")
{
    // An agent that has not contacted the entry yet may still hold a lease on an older version.
    Fixture entry(std::chrono::hours(1));
    REQUIRE(entry.task.rollout().isConfirmedLocally);
    CHECK(entry.task.rollout().waitingFor.empty());
    CHECK_FALSE(entry.task.rollout().isInForceEverywhere());
}

TEST_CASE("After one lease an entry knows all processes that may admit work")
{
    Fixture entry(std::chrono::milliseconds(100));
    const TimePoint start = entry.loop.clock().now();
    Timer poll(entry.loop, [&] {
        if (entry.task.rollout().isInForceEverywhere()
            || entry.loop.clock().now() > start + Timeout)
            entry.loop.stop();
    });
    poll.startEvery(std::chrono::milliseconds(1));
    entry.loop.run();
    CHECK(entry.task.rollout().isInForceEverywhere());
}
