// Two minions crash one after the other, each for a reason of its own, while they run the same
// task. No run ends failed. Rule LOST.
#include "harness.h"

#include <algorithm>

using namespace Review;

namespace {

/** One minion of seven at a time: within the share of .15 that the pages give. */
constexpr std::size_t Machines = 7;
constexpr std::int64_t RunMs = 3000;
constexpr std::int64_t DownMs = 1000;
/** Times from the start of the first and the second run to the crash of its minion. */
constexpr std::int64_t CrashAfterMs[] = {20, 800};

} // namespace

int main(int, char **argv)
{
    openRecord(argv[1]);
    Deployment deployment(1, Machines);
    if (!deployment.start())
        return CannotRun;
    const std::string id = "00000000000000c1";
    const std::string task = id + ".0.0.0";
    if (!deployment.submit(id, makeJob(1, RunMs)))
        return CannotRun;
    std::vector<std::thread> restarts;
    for (const std::int64_t crashAfter : CrashAfterMs) {
        if (!hasTrouble())
            break;
        if (!waitFor(10'000, [&] { return deployment.machineRunning(task) < Machines; }))
            break;
        const std::size_t machine = deployment.machineRunning(task);
        sleepMs(crashAfter);
        deployment.minion(machine).crash();
        restarts.emplace_back([&deployment, machine] {
            sleepMs(DownMs);
            deployment.minion(machine).restart("i-" + std::to_string(machine + 1) + "-again");
        });
    }
    for (std::thread &restart : restarts)
        restart.join();
    std::string state;
    waitFor(20'000, [&] {
        state = deployment.state(id);
        return state == "completed" || state == "failed" || (sleepMs(500), false);
    });
    recordRuns(deployment.history());
    const auto runs = deployment.history().all();
    const auto failures = std::count_if(runs.begin(), runs.end(),
                                        [](const RunRecord &run) { return run.how == "failed"; });
    record("state of the job: " + state + "; runs that ended failed: " + std::to_string(failures)
           + "; maxAttempts: 3");
    if (state == "failed" && failures < 3) {
        record("LOST: the job is shown as failed without cause");
        return RuleBroken;
    }
    return state == "completed" ? RuleHeld : CannotRun;
}
