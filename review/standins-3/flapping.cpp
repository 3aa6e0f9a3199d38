// A lasting job has one task on each minion. One minion goes down and up by turns for 7 s.
#include "deployment.h"

using namespace Review;

int main()
{
    constexpr std::size_t Minions = 7;
    constexpr std::int64_t HalfPeriodMs = 700;
    constexpr std::int64_t FlappingMs = 7'000;
    const std::string job = "00000000000000c1";
    Deployment system(Minions);
    for (const auto &minion : system.minions)
        minion->longRunning.insert(job);
    system.start();
    const Json steps = {{{"count", Minions},
                         {"cpu", 1000},
                         {"memMb", 256},
                         {"longRunning", true},
                         {"maxPerServer", 1}}};
    if (!system.submit(job, steps))
        leave(2, "the job was not accepted");
    const auto isAtWorkEverywhere = [&] {
        for (const auto &minion : system.minions) {
            if (!minion->runs(job))
                return false;
        }
        return true;
    };
    if (!waitFor(isAtWorkEverywhere, 10'000))
        leave(2, "the job's tasks did not start");
    sleepMs(3'000);
    Minion &flapping = *system.minions[3];
    const std::int64_t until = nowMs() + FlappingMs;
    int crashes = 0;
    while (nowMs() < until) {
        if (hasTrouble()) {
            flapping.crash();
            ++crashes;
        }
        sleepMs(HalfPeriodMs);
        if (hasTrouble())
            flapping.start();
        sleepMs(HalfPeriodMs);
    }
    record("the minion stays up from now on");
    sleepMs(10'000);
    const std::string state = system.state(job);
    for (const TaskRun &run : system.history()) {
        if (run.how == "failed")
            leave(2, "a run ended as failed, which no stand-in does");
    }
    const std::string after = " after " + std::to_string(crashes) + " crashes of one minion";
    if (state == "failed")
        leave(1, "the lasting job is shown as failed" + after + ", and no run ended as failed");
    if (state != "running" || !isAtWorkEverywhere())
        leave(1, "the lasting job is shown as " + state + " and has a task that is not at work"
                     + after);
    leave(0, "the lasting job has all its tasks at work" + after);
}
