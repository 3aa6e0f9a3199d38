#include "bookfixture.h"
#include "faultrun.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Oleander;
using namespace Oleander::Placement;
using namespace Oleander::Testing;

namespace {

constexpr int Jobs = 6;
constexpr int Workers = 3;

Faults allFaults()
{
    Faults faults;
    faults.freezeAgent = 0.002;
    faults.restartAgent = 0.001;
    faults.cutWorker = 0.002;
    faults.changeLeader = 0.001;
    faults.lose = 0.05;
    faults.duplicate = 0.1;
    faults.unknownOutcome = 0.02;
    faults.evict = 0.002;
    return faults;
}

/** Runs jobs that never end on their own under \a faults. Returns a description of two attempts of
 * one task that ran at the same time, or an empty string. */
std::string overlapUnder(const Faults &faults, std::uint32_t seed)
{
    FaultRun run(seed, faults, Workers);
    for (int job = 0; job < Jobs; ++job)
        run.submit("j" + std::to_string(job), batchOf());
    run.runFor(std::chrono::seconds(90));
    return run.overlap();
}

void checkSeeds(const Faults &faults)
{
    for (std::uint32_t seed = 1; seed <= 25; ++seed) {
        INFO("seed " << seed);
        CHECK(overlapUnder(faults, seed).empty());
    }
}

} // namespace

TEST_CASE("No task runs in two places while agents freeze and resume")
{
    Faults faults;
    faults.freezeAgent = 0.004;
    checkSeeds(faults);
}

TEST_CASE("No task runs in two places while agents are killed and restarted")
{
    Faults faults;
    faults.restartAgent = 0.01;
    checkSeeds(faults);
}

TEST_CASE("No task runs in two places while workers are disconnected and reconnected")
{
    Faults faults;
    faults.cutWorker = 0.004;
    checkSeeds(faults);
}

TEST_CASE("No task runs in two places while leaders change and old ones act as leaders for a while")
{
    Faults faults;
    faults.changeLeader = 0.005;
    faults.cutWorker = 0.001;
    checkSeeds(faults);
}

TEST_CASE("No task runs in two places while messages are lost, late and duplicated")
{
    Faults faults;
    faults.lose = 0.1;
    faults.duplicate = 0.3;
    faults.unknownOutcome = 0.1;
    checkSeeds(faults);
}

TEST_CASE("No task runs in two places while tasks are evicted and orders are late and duplicated")
{
    Faults faults;
    faults.evict = 0.01;
    faults.duplicate = 0.5;
    faults.restartAgent = 0.002;
    checkSeeds(faults);
    faults.loseStopAnswers = true;
    checkSeeds(faults);
}

TEST_CASE("No task runs in two places under all faults together")
{
    checkSeeds(allFaults());
}

TEST_CASE("Once the faults end every job runs again and finishes once")
{
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        FaultRun run(seed, allFaults(), Workers);
        for (int job = 0; job < Jobs; ++job)
            run.submit("j" + std::to_string(job), batchOf());
        run.runFor(std::chrono::seconds(60));
        run.stopFaults();
        run.runFor(std::chrono::seconds(20));
        run.setRunTime(std::chrono::seconds(5));
        const auto areDone = [&] {
            for (const auto &[id, task] : run.book().tasks()) {
                if (task.state != TaskState::Done)
                    return false;
            }
            return true;
        };
        CHECK(run.runUntil(areDone, std::chrono::minutes(10)));
        CHECK(run.overlap().empty());
        for (const auto &[id, list] : run.intervals()) {
            const auto succeeded =
                std::count_if(list.begin(), list.end(), [](const auto &interval) {
                    return interval.endReason == "succeeded";
                });
            INFO(id);
            CHECK(succeeded == 1);
        }
        for (const auto &[id, task] : run.book().tasks()) {
            INFO(id << " is " << nameIn(TaskStateNames, task.state) << ": " << task.reason);
            CHECK(task.state == TaskState::Done);
        }
    }
}
