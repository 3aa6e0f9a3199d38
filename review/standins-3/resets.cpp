// Two of twenty minions fail all calls to them with resets of their connections for some seconds,
// up to six times. Their runs go on, and they send heartbeats.
#include "deployment.h"

using namespace Review;

namespace {

constexpr std::size_t Minions = 20;
constexpr std::size_t GreyMinions = 2;
constexpr std::int64_t ResetsMs = 5'500;
constexpr int Episodes = 6;
/** No episode begins after this time, so that the script ends within its 120 s. */
constexpr std::int64_t LastBeginMs = 90'000;

void play(Deployment &system, const std::string &job)
{
    const std::size_t tasks = 2 * GreyMinions;
    if (!system.submit(job, {{{"count", tasks},
                              {"cpu", 1000},
                              {"memMb", 256},
                              {"maxPerServer", tasks / GreyMinions}}}))
        leave(2, "the job was not accepted");
    std::vector<Minion *> grey;
    const auto areFound = [&] {
        grey.clear();
        std::size_t running = 0;
        for (const auto &minion : system.minions) {
            running += minion->runningTasks().size();
            if (minion->runs(job))
                grey.push_back(minion.get());
        }
        return running == tasks;
    };
    if (!waitFor(areFound, 5'000) || grey.size() != GreyMinions)
        leave(2, "the job's tasks did not start on as many minions as planned");
    sleepMs(1'000);
    for (Minion *minion : grey) {
        if (hasTrouble())
            record(minion->id() + " resets connections from now on");
        minion->resetsConnections = hasTrouble();
    }
    sleepMs(ResetsMs);
    for (Minion *minion : grey) {
        minion->resetsConnections = false;
        if (hasTrouble())
            record(minion->id() + " resets no connections any more");
    }
    const auto isCompleted = [&] {
        sleepMs(500);
        return system.state(job) == "completed";
    };
    const bool hasEnded = waitFor(isCompleted, 20'000);
    if (const auto twice = findDoubleRun(system.history())) {
        const auto &[a, b] = *twice;
        leave(1, a.task + " was at work twice at the same time: run " + std::to_string(a.run)
                     + " on " + a.minion + " from " + std::to_string(a.startMs) + " to "
                     + std::to_string(a.endMs) + " ms, run " + std::to_string(b.run) + " on "
                     + b.minion + " from " + std::to_string(b.startMs) + " to "
                     + std::to_string(b.endMs) + " ms");
    }
    if (!hasEnded)
        leave(2, "the job did not end");
}

} // namespace

int main()
{
    Deployment system(Minions);
    system.start();
    for (const auto &minion : system.minions)
        minion->workMs = 8'000;
    for (int episode = 1; episode <= Episodes && nowMs() < LastBeginMs; ++episode)
        play(system, "00000000000000b" + std::to_string(episode));
    leave(0, "no task was at work twice");
}
