#include "Jobs/evictionrounds.h"

#include <catch2/catch.hpp>

using namespace Oleander;
using namespace Oleander::Jobs;
using namespace std::chrono_literals;

namespace {

const TaskRef Waiting{"j", 0, 0};

/** Rounds that are updated every 100 ms, as by a planner. */
struct Fixture
{
    EvictionRounds rounds;
    TimePoint now{};

    void pass(Duration time, const std::set<TaskRef> &waiting, bool isSettled)
    {
        for (Duration passed{}; passed < time; passed += 100ms) {
            now += 100ms;
            rounds.update(now, waiting, isSettled);
        }
    }
};

} // namespace

TEST_CASE("Evictions are not limited until a task has waited for some time")
{
    Fixture fixture;
    fixture.pass(1s, {Waiting}, true);
    fixture.rounds.recordEviction(fixture.now);
    fixture.pass(900ms, {Waiting}, false);
    CHECK(fixture.rounds.mayEvict(fixture.now));
    // The wait of another task starts anew.
    fixture.pass(1s, {{"j", 0, 1}}, false);
    CHECK(fixture.rounds.mayEvict(fixture.now));
}

TEST_CASE("While a task waits, the next evictions follow a pause after the last replacement")
{
    Fixture fixture;
    fixture.pass(3s, {Waiting}, true);
    REQUIRE(fixture.rounds.mayEvict(fixture.now));
    fixture.rounds.recordEviction(fixture.now);
    fixture.pass(200ms, {Waiting}, false);
    CHECK(fixture.rounds.mayEvict(fixture.now));
    fixture.pass(800ms, {Waiting}, false);
    CHECK_FALSE(fixture.rounds.mayEvict(fixture.now));
    fixture.pass(1'400ms, {Waiting}, true);
    CHECK_FALSE(fixture.rounds.mayEvict(fixture.now));
    fixture.pass(200ms, {Waiting}, true);
    CHECK(fixture.rounds.mayEvict(fixture.now));
}
