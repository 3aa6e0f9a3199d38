// One of ten minions fails all calls to it with resets of their connections for some seconds, three
// times. Its runs go on, and it sends heartbeats.
#include "deployment.h"

using namespace Review;

namespace {

constexpr std::size_t Minions = 10;
constexpr std::int64_t ResetsMs = 5'500;
constexpr int Episodes = 3;

void play(Deployment &system, const std::string &job)
{
    if (!system.submit(job, {{{"count", 4}, {"cpu", 1000}, {"memMb", 256}}}))
        leave(2, "the job was not accepted");
    Minion *grey = nullptr;
    const auto isFound = [&] {
        for (const auto &minion : system.minions)
            grey = minion->runs(job) ? minion.get() : grey;
        return grey != nullptr;
    };
    if (!waitFor(isFound, 5'000))
        leave(2, "the job's tasks did not start");
    sleepMs(1'000);
    if (hasTrouble()) {
        record(grey->id() + " resets connections from now on");
        grey->resetsConnections = true;
    }
    sleepMs(ResetsMs);
    grey->resetsConnections = false;
    if (hasTrouble())
        record(grey->id() + " resets no connections any more");
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
    for (int episode = 1; episode <= Episodes; ++episode)
        play(system, "00000000000000b" + std::to_string(episode));
    leave(0, "no task was at work twice");
}
