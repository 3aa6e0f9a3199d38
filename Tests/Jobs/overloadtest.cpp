#include "simulatedfleet.h"

#include <random>

using namespace Oleander;
using namespace Oleander::Testing;

namespace {

/** Results of a play for the callers. */
struct Outcome
{
    /** Share of the requested work in jobs that completed within their objective. */
    double workWithinObjective = 0;
    /** The same for the tenth of the jobs with the most work. */
    double largestWithinObjective = 0;
    /** Share of the jobs that completed, however late. */
    double completed = 0;
    /** Share of their time in which serving tasks exceeded their latency target. */
    double servingOverTarget = 0;
};

/** A submitted job of two or three steps of filling tasks. */
struct SubmittedJob
{
    std::string id;
    double work = 0;
    std::int64_t submittedAtMs = 0;
    std::int64_t objectiveMs = 0;
};

std::vector<StepSpec> randomSteps(std::mt19937 &random)
{
    const auto between = [&](std::uint32_t low, std::uint32_t high) {
        return low + static_cast<std::uint32_t>(random()) % (high - low + 1);
    };
    std::vector<StepSpec> steps;
    const std::uint32_t count = between(1, 3);
    for (std::uint32_t i = 0; i < count; ++i) {
        // Compilers evaluate the arguments of one call in different orders.
        const std::uint32_t tasks = between(3, 12);
        const std::uint32_t milliCores = between(20, 60) * 100;
        StepSpec spec = step(tasks, milliCores);
        spec.estimateMs = between(800, 4'000);
        spec.filling = true;
        spec.image = "image-" + std::to_string(random() % 4);
        if (i > 0)
            spec.dependsOn = {i - 1};
        steps.push_back(std::move(spec));
    }
    return steps;
}

constexpr std::uint32_t Minions = 8;
constexpr std::uint32_t CoresPerMinion = 24;

/** Submits filling jobs that request \a cores on average for \a seconds, and waits until they have
 * completed. */
Outcome playJobs(SimulatedFleet &fleet, std::uint32_t seed, double cores, int seconds)
{
    constexpr double MilliCores = 1000.0;
    std::mt19937 random(seed);
    std::vector<SubmittedJob> jobs;
    double requested = 0;
    const std::int64_t begin = fleet.leader().nowMs;
    const auto submitDue = [&] {
        const double elapsed = static_cast<double>(fleet.leader().nowMs - begin) / 1000;
        while (elapsed < seconds && requested < cores * elapsed) {
            SubmittedJob job{"job-" + std::to_string(jobs.size()), 0, fleet.leader().nowMs, 0};
            const std::vector<StepSpec> steps = randomSteps(random);
            std::int64_t chainMs = 0;
            for (const StepSpec &spec : steps) {
                job.work += spec.count * spec.milliCores / MilliCores * spec.estimateMs / 1000;
                chainMs += spec.estimateMs;
            }
            // The queue of the fixture: twice the critical path and half a second.
            job.objectiveMs = 2 * chainMs + 500;
            requested += job.work;
            fleet.leader().submit(job.id, steps);
            jobs.push_back(std::move(job));
        }
    };
    fleet.pass(std::chrono::seconds(3 * seconds), submitDue);
    std::ranges::stable_sort(jobs, std::ranges::greater(), &SubmittedJob::work);
    Outcome outcome;
    double work = 0;
    double largest = 0;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        const Job &job = *fleet.leader().book.find(jobs[i].id);
        const bool inTime = job.state == JobState::Completed
                            && job.endedAtMs - jobs[i].submittedAtMs <= jobs[i].objectiveMs;
        outcome.completed += job.state == JobState::Completed ? 1 : 0;
        work += jobs[i].work;
        outcome.workWithinObjective += inTime ? jobs[i].work : 0;
        if (i < jobs.size() / 10) {
            largest += jobs[i].work;
            outcome.largestWithinObjective += inTime ? jobs[i].work : 0;
        }
    }
    outcome.completed /= static_cast<double>(jobs.size());
    outcome.workWithinObjective /= work;
    outcome.largestWithinObjective /= largest;
    outcome.servingOverTarget = fleet.shareOverTarget();
    return outcome;
}

/** Starts services that claim five eighths of the fleet. Each image of the services is slowed
 * strongly by one image of the filling tasks and weakly by the others. */
void startServices(SimulatedFleet &fleet)
{
    SimulatedFleet::Interference perCore;
    for (int filling = 0; filling < 4; ++filling) {
        for (int serving = 0; serving < 3; ++serving)
            perCore[{"image-" + std::to_string(filling), "web-" + std::to_string(serving)}] =
                filling == serving ? 0.1 : 0.004;
    }
    fleet.setInterference(std::move(perCore));
    for (int i = 0; i < 4; ++i) {
        StepSpec spec = step(6, 5'000);
        spec.longRunning = true;
        spec.targetLatencyMs = 1'000;
        spec.image = "web-" + std::to_string(i % 3);
        fleet.leader().submit("service-" + std::to_string(i), {spec});
    }
    fleet.pass(2s);
}

} // namespace

TEST_CASE("At 1.3 times the capacity two thirds of the work complete within the objective")
{
    constexpr double Load = 1.3;
    constexpr std::uint32_t Plays = 4;
    double work = 0;
    double largest = 0;
    for (std::uint32_t seed = 1; seed <= Plays; ++seed) {
        SimulatedFleet fleet(std::vector<std::uint32_t>(Minions, 1'000 * CoresPerMinion));
        const Outcome outcome = playJobs(fleet, seed, Load * Minions * CoresPerMinion, 20);
        CHECK(outcome.completed == 1.0);
        work += outcome.workWithinObjective / Plays;
        largest += outcome.largestWithinObjective / Plays;
    }
    CHECK(work > 2.0 / 3);
    // The users ask for half, over the jobs of a day; one play has only a few large jobs.
    CHECK(largest > 0.5 * work);
}

TEST_CASE("Filling jobs beside services complete in time and do not slow the services")
{
    // The services leave about 140 of 192 cores; the filling jobs request 100.
    constexpr double Cores = 100;
    constexpr std::uint32_t Plays = 6;
    double work = 0;
    double overTarget = 0;
    for (std::uint32_t seed = 1; seed <= Plays; ++seed) {
        SimulatedFleet fleet(std::vector<std::uint32_t>(Minions, 1'000 * CoresPerMinion));
        startServices(fleet);
        const Outcome outcome = playJobs(fleet, seed, Cores, 40);
        CHECK(outcome.completed == 1.0);
        work += outcome.workWithinObjective / Plays;
        overTarget += outcome.servingOverTarget / Plays;
    }
    CHECK(work > 0.98);
    CHECK(overTarget < 0.01);
}
