// A heartbeat of another writer, for a service that no configuration names, reaches an agent while
// its minion runs a task. Rule TWICE.
#include "harness.h"

using namespace Review;

int main(int argc, char **argv)
{
    startCase(argc, argv);
    Deployment deployment(1, 4);
    if (!deployment.start())
        return CannotRun;
    const std::string id = "00000000000000a1";
    const std::string task = id + ".0.0.0";
    if (!deployment.submit(id, makeJob(1, 6000)))
        return CannotRun;
    if (!waitFor(10'000, [&] { return deployment.machineRunning(task) < 4; }))
        return CannotRun;
    const std::size_t machine = deployment.machineRunning(task);
    sleepMs(1000);
    if (hasTrouble()) {
        const Json body = {{"service", "archive-of-another-writer"},
                           {"address", "127.77.1.1:9999"},
                           {"zone", "zone-a"},
                           {"version", "v1"},
                           {"slots", 8},
                           {"state", "ready"},
                           {"coldRemainingMs", 0},
                           {"capacity", {{"cpu", 16000}, {"memMb", 32768}, {"gpu", 0}}},
                           {"labels", {"a", "r1"}},
                           {"clockMs", 1000},
                           {"born", wallMs()},
                           {"sequence", 1}};
        const Reply reply =
            httpCall(deployment.agentAddress(machine),
                     {"PUT", "/oleanderusher/instances/i-other", {}, body.dump()}, 1000);
        record("another writer: heartbeat of i-other, service archive-of-another-writer, at side-"
               + std::to_string(machine + 1) + " -> " + std::to_string(reply.status));
    }
    // The job ends within 6 s of its start if its run stays the only one.
    waitFor(9000, [&] { return !deployment.history().overlaps().empty() && false; });
    const std::string state = deployment.state(id);
    recordRuns(deployment.history());
    const auto overlaps = deployment.history().overlaps();
    for (const std::string &overlap : overlaps)
        record("TWICE: " + overlap);
    record("state of the job: " + state);
    if (overlaps.empty() && !hasTrouble() && state != "completed")
        return CannotRun;
    return overlaps.empty() ? RuleHeld : RuleBroken;
}
