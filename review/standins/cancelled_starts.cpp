// Minions leave half of the orders unanswered for 5.5 s and carry them out late, while clients
// cancel jobs that have just been accepted. Rule UNASKED.
#include "harness.h"

using namespace Review;

namespace {

/** Bounds of the pages: cancel_ms, and the share and length of applied_late. */
constexpr std::int64_t CancelMs = 3000;
constexpr double UnansweredShare = 0.5;
constexpr std::int64_t UnansweredMs = 5500;
constexpr int Disruptions = 5;
constexpr std::int64_t SettleMs = 4000;
constexpr std::size_t Machines = 6;
/** One job in three is cancelled: within the share of .35 that the pages give for give_up. */
constexpr int CancelEvery = 3;
constexpr int Jobs = 120;
constexpr int TasksOfJob = 36;
/** Time from the acknowledgement of a job to its cancelling, and to the next job. */
constexpr std::int64_t CancelAfterMs = 100;
constexpr std::int64_t JobIntervalMs = 100;

/** Counts the starts that break the rule, and records them if \a verbose is true. */
int brokenStarts(const History &history, const std::map<std::string, std::int64_t> &cancelledAt,
                 bool verbose)
{
    int broken = 0;
    for (const RunRecord &run : history.all()) {
        const auto cancelled = cancelledAt.find(run.task.substr(0, 16));
        if (run.late || cancelled == cancelledAt.end()
            || run.startedAt <= cancelled->second + CancelMs)
            continue;
        ++broken;
        if (verbose) {
            record("UNASKED: " + run.task + " run " + std::to_string(run.run) + " began on "
                   + run.minion + ' ' + std::to_string(run.startedAt - cancelled->second)
                   + " ms after the cancelling of its job was acknowledged");
        }
    }
    return broken;
}

} // namespace

int main(int argc, char **argv)
{
    startCase(argc, argv);
    Deployment deployment(1, Machines);
    if (!deployment.start())
        return CannotRun;
    // Machines are in touch only contactMs after their start.
    sleepMs(SettleMs);
    if (hasTrouble()) {
        record("five times 5.5 s the minions leave half of the orders unanswered");
        for (std::size_t i = 0; i < Machines; ++i) {
            deployment.minion(i).leaveOrdersUnanswered(UnansweredShare,
                                                       nowMs() + Disruptions * UnansweredMs,
                                                       static_cast<unsigned>(i + 1));
        }
    }
    std::map<std::string, std::int64_t> cancelledAt;
    // The case ends soon after the rule has been broken.
    for (int job = 0; job < Jobs && brokenStarts(deployment.history(), cancelledAt, false) == 0;
         ++job) {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", 0xd100 + job);
        if (!deployment.submit(id, makeJob(TasksOfJob, 700, 960)))
            return CannotRun;
        sleepMs(CancelAfterMs);
        if (job % CancelEvery != 0) {
            sleepMs(JobIntervalMs);
            continue;
        }
        const int status = deployment.client(0, "DELETE", id).status;
        if (status / 100 == 2)
            cancelledAt[id] = nowMs();
        sleepMs(JobIntervalMs);
    }
    if (cancelledAt.empty())
        return CannotRun;
    sleepMs(CancelMs + 4000);
    recordRuns(deployment.history());
    const int broken = brokenStarts(deployment.history(), cancelledAt, true);
    record("starts later than cancel_ms after the acknowledgement: " + std::to_string(broken));
    return broken > 0 ? RuleBroken : RuleHeld;
}
