// Minions leave half of the orders unanswered for 5.5 s and carry them out late, while clients
// cancel jobs that have just been accepted. Rule UNASKED.
#include "harness.h"

using namespace Review;

namespace {

/** Bounds of the pages: cancel_ms, and the share and length of applied_late. */
constexpr std::int64_t CancelMs = 3000;
constexpr double UnansweredShare = 0.5;
constexpr std::int64_t UnansweredMs = 5500;
constexpr std::size_t Machines = 6;
constexpr int Jobs = 24;
constexpr int TasksOfJob = 36;
/** Time from the acknowledgement of a job to its cancelling, and to the next job. */
constexpr std::int64_t CancelAfterMs = 100;
constexpr std::int64_t JobIntervalMs = 100;

} // namespace

int main(int, char **argv)
{
    openRecord(argv[1]);
    Deployment deployment(1, Machines);
    if (!deployment.start())
        return CannotRun;
    sleepMs(2000);
    if (hasTrouble()) {
        record("for 5.5 s the minions leave half of the orders unanswered");
        for (std::size_t i = 0; i < Machines; ++i) {
            deployment.minion(i).leaveOrdersUnanswered(UnansweredShare, nowMs() + UnansweredMs,
                                                       static_cast<unsigned>(i + 1));
        }
    }
    std::map<std::string, std::int64_t> cancelledAt;
    for (int job = 0; job < Jobs; ++job) {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", 0xd100 + job);
        if (!deployment.submit(id, makeJob(TasksOfJob, 700, 960)))
            return CannotRun;
        sleepMs(CancelAfterMs);
        const int status = deployment.client(0, "DELETE", id).status;
        if (status / 100 == 2)
            cancelledAt[id] = nowMs();
        sleepMs(JobIntervalMs);
    }
    if (cancelledAt.empty())
        return CannotRun;
    sleepMs(UnansweredMs + 7000);
    recordRuns(deployment.history());
    int broken = 0;
    for (const RunRecord &run : deployment.history().all()) {
        const auto cancelled = cancelledAt.find(run.task.substr(0, 16));
        if (run.late || cancelled == cancelledAt.end()
            || run.startedAt <= cancelled->second + CancelMs)
            continue;
        ++broken;
        record("UNASKED: " + run.task + " run " + std::to_string(run.run) + " began on "
               + run.minion + ' ' + std::to_string(run.startedAt - cancelled->second)
               + " ms after the cancelling of its job was acknowledged");
    }
    record("starts later than cancel_ms after the acknowledgement: " + std::to_string(broken));
    return broken > 0 ? RuleBroken : RuleHeld;
}
