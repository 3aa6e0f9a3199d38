// The agent of a leaving minion stands still while the minion's departure call arrives. Without an
// acknowledgement the minion ends some seconds later, with its run at work until then. Rule TWICE.
#include "harness.h"

#include <csignal>

using namespace Review;

namespace {

/** One of 15 machines stands still: within the share of .1 that the pages give. */
constexpr std::size_t Machines = 11;
constexpr std::int64_t RunMs = 8000;
/** drainMs of the pages, and "a little longer". */
constexpr std::int64_t ServeAfterDrainingMs = 2200;
constexpr std::int64_t FreezeBeforeDepartureMs = 100;
constexpr std::int64_t FreezeMs = 1500;
/** Time from the missing acknowledgement to the end of the minion ("some seconds later"). */
constexpr std::int64_t EndAfterMs = 3000;

} // namespace

int main(int argc, char **argv)
{
    startCase(argc, argv);
    Deployment deployment(1, Machines);
    if (!deployment.start())
        return CannotRun;
    const std::string id = "00000000000000b1";
    const std::string task = id + ".0.0.0";
    if (!deployment.submit(id, makeJob(1, RunMs)))
        return CannotRun;
    if (!waitFor(10'000, [&] { return deployment.machineRunning(task) < Machines; }))
        return CannotRun;
    const std::size_t machine = deployment.machineRunning(task);
    Minion &minion = deployment.minion(machine);
    sleepMs(300);
    if (!minion.announceDraining())
        return CannotRun;
    sleepMs(ServeAfterDrainingMs - FreezeBeforeDepartureMs);
    std::thread thaw;
    if (hasTrouble()) {
        deployment.agent(machine).signal(SIGSTOP);
        thaw = std::thread([&] {
            sleepMs(FreezeMs);
            deployment.agent(machine).signal(SIGCONT);
        });
    }
    sleepMs(FreezeBeforeDepartureMs);
    if (!minion.depart())
        sleepMs(EndAfterMs);
    minion.leave();
    if (thaw.joinable())
        thaw.join();
    const bool completed = waitFor(
        30'000, [&] { return deployment.state(id) == "completed" || (sleepMs(900), false); });
    recordRuns(deployment.history());
    const auto overlaps = deployment.history().overlaps();
    for (const std::string &overlap : overlaps)
        record("TWICE: " + overlap);
    if (overlaps.empty() && !completed)
        return CannotRun;
    return overlaps.empty() ? RuleHeld : RuleBroken;
}
