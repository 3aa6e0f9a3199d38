// Another writer sends the agent a heartbeat about its minion in which fields are missing. Later
// the minion says that it drains, and the agent acknowledges that.
#include "deployment.h"

using namespace Review;

int main()
{
    constexpr std::int64_t DrainMs = 2'000;
    Deployment system(2);
    for (const auto &minion : system.minions)
        minion->workMs = 600;
    system.start();
    Minion &leaving = *system.minions[0];
    if (hasTrouble()) {
        Json foreign = leaving.heartbeat();
        for (const char *field : {"version", "slots"})
            foreign.erase(field);
        foreign["sequence"] = 1'000'000;
        const Reply reply =
            httpCall(leaving.agent, "PUT", "/oleanderusher/instances/" + leaving.id(),
                     leaving.agent, foreign.dump(), 1'000);
        record("another writer's heartbeat " + foreign.dump() + ": "
               + std::to_string(reply.status));
    }
    sleepMs(4'000);
    leaving.drains = true;
    if (!waitFor([&] { return leaving.drainAckedMs >= 0; }, 6'000))
        leave(2, "no heartbeat with the state draining was acknowledged");
    sleepMs(DrainMs + 500);
    for (int i = 0; i < 8; ++i) {
        const std::string job = "00000000000000e" + std::to_string(i);
        if (!system.submit(job, {{{"count", 4}, {"cpu", 1500}, {"memMb", 256}}}))
            leave(2, "a job was not accepted");
        sleepMs(300);
    }
    sleepMs(2'000);
    int late = 0;
    std::int64_t latest = 0;
    for (const TaskRun &run : leaving.history()) {
        if (run.startMs > leaving.drainAckedMs + DrainMs) {
            ++late;
            latest = std::max(latest, run.startMs - leaving.drainAckedMs);
        }
    }
    if (late > 0)
        leave(1, std::to_string(late) + " tasks started on the leaving minion, the last one "
                     + std::to_string(latest) + " ms after the acknowledgement that it drains");
    leave(0, "no task started on the leaving minion");
}
