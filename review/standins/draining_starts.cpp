// Minions leave half of the orders unanswered for 5.5 s and carry them out late, while two of them
// are replaced: they report draining, serve on for some seconds and leave. Rule DRAIN.
#include "harness.h"

using namespace Review;

namespace {

/** Bounds of the pages: drainMs, and the share and length of applied_late. */
constexpr std::int64_t DrainMs = 2000;
constexpr double UnansweredShare = 0.5;
constexpr std::int64_t UnansweredMs = 5500;
constexpr std::int64_t SettleMs = 4000;
constexpr std::size_t Machines = 6;
/** Minions that are replaced, two at a time; the new ones start first (release). */
constexpr std::size_t Leaving = 2;
/** Time from the first unanswered order to the draining of the minions, and from there to their end
 * ("at times many seconds"). */
constexpr std::int64_t DrainAfterMs = 1500;
constexpr std::int64_t ServeAfterDrainingMs = 6000;
constexpr int Jobs = 24;
constexpr int TasksOfJob = 36;
constexpr std::int64_t JobIntervalMs = 100;

} // namespace

int main(int argc, char **argv)
{
    startCase(argc, argv);
    Deployment deployment(1, Machines + Leaving, Leaving);
    if (!deployment.start())
        return CannotRun;
    // Machines are in touch only contactMs after their start.
    sleepMs(SettleMs);
    if (hasTrouble()) {
        record("for 5.5 s the minions leave half of the orders unanswered");
        for (std::size_t i = 0; i < Machines; ++i) {
            deployment.minion(i).leaveOrdersUnanswered(UnansweredShare, nowMs() + UnansweredMs,
                                                       static_cast<unsigned>(i + 1));
        }
    }
    std::atomic<bool> acknowledged = true;
    std::map<std::string, std::int64_t> drainingSince;
    std::mutex mutex;
    std::vector<std::thread> leaving;
    for (std::size_t i = 0; i < Leaving; ++i) {
        leaving.emplace_back([&, i] {
            sleepMs(DrainAfterMs / 2);
            deployment.startMinion(Machines + i);
            sleepMs(DrainAfterMs / 2);
            if (!deployment.minion(i).announceDraining())
                acknowledged = false;
            {
                const std::lock_guard lock(mutex);
                drainingSince[deployment.minion(i).options().id] = nowMs();
            }
            sleepMs(ServeAfterDrainingMs);
            deployment.minion(i).depart();
            deployment.minion(i).leave();
        });
    }
    bool submitted = true;
    for (int job = 0; job < Jobs; ++job) {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", 0xf100 + job);
        submitted = deployment.submit(id, makeJob(TasksOfJob, 700, 960)) && submitted;
        sleepMs(JobIntervalMs);
    }
    for (std::thread &thread : leaving)
        thread.join();
    recordRuns(deployment.history());
    if (!acknowledged || !submitted)
        return CannotRun;
    int broken = 0;
    for (const RunRecord &run : deployment.history().all()) {
        const auto since = drainingSince.find(run.minion);
        if (run.late || since == drainingSince.end() || run.startedAt <= since->second + DrainMs)
            continue;
        ++broken;
        record("DRAIN: " + run.task + " run " + std::to_string(run.run) + " began on " + run.minion
               + ' ' + std::to_string(run.startedAt - since->second)
               + " ms after its draining was acknowledged, and ended " + run.how);
    }
    record("starts later than drainMs after the acknowledgement: " + std::to_string(broken));
    return broken > 0 ? RuleBroken : RuleHeld;
}
