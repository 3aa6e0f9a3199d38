// All minions of a service crash together again and again for half a minute, while clients hand
// jobs in. Then minions and machines are sound.
#include "deployment.h"

#include <algorithm>
#include <cstdio>

using namespace Review;

namespace {

constexpr std::size_t Minions = 11;
constexpr int MilliCores = 16'000;
constexpr int Crashes = 14;
constexpr std::int64_t PeriodMs = 2'500;
constexpr std::int64_t DownMs = 400;
constexpr std::int64_t FinishMs = 14'000;
constexpr std::int64_t IdleMs = 3'000;
constexpr int TaskMilliCores = 300;
constexpr int TasksPerJob = 14;

} // namespace

int main()
{
    Deployment system(Minions, MilliCores);
    system.start();
    for (const auto &minion : system.minions)
        minion->workMs = 1'200;
    std::vector<std::string> jobs;
    const std::int64_t begin = nowMs();
    std::int64_t nextCrash = begin + PeriodMs;
    const std::int64_t end = begin + (Crashes + 2) * PeriodMs;
    int crashes = 0;
    while (nowMs() < end) {
        if (hasTrouble() && crashes < Crashes && nowMs() >= nextCrash) {
            for (const auto &minion : system.minions)
                minion->crash();
            sleepMs(DownMs);
            for (const auto &minion : system.minions)
                minion->start();
            ++crashes;
            nextCrash += PeriodMs;
        }
        char id[17];
        std::snprintf(id, sizeof id, "00000000000c%04x", static_cast<unsigned>(jobs.size()));
        if (!system.submit(id, {{{"count", TasksPerJob}, {"cpu", TaskMilliCores}, {"memMb", 64}}}))
            leave(2, "a job was not accepted");
        jobs.emplace_back(id);
        sleepMs(115);
    }
    record("end of the traffic, " + std::to_string(jobs.size()) + " jobs");
    sleepMs(FinishMs);
    std::vector<std::string> open;
    for (const std::string &job : jobs) {
        const std::string state = system.state(job);
        // A job that is shown as failed after crashes is left out: that is not what this case is
        // about.
        if (state == "queued" || state == "running")
            open.push_back(job);
    }
    record(std::to_string(open.size()) + " jobs are not completed");
    // Which of them have nothing running for the whole time, with under half of the service in use?
    std::size_t mostRuns = 0;
    const std::int64_t until = nowMs() + IdleMs;
    while (nowMs() < until) {
        std::size_t runs = 0;
        for (const auto &minion : system.minions)
            runs += minion->runningTasks().size();
        mostRuns = std::max(mostRuns, runs);
        std::erase_if(open, [&](const std::string &job) {
            return std::any_of(system.minions.begin(), system.minions.end(),
                               [&](const auto &minion) { return minion->runs(job); });
        });
        sleepMs(10);
    }
    const double used = static_cast<double>(mostRuns) * TaskMilliCores / (Minions * MilliCores);
    std::erase_if(open, [&](const std::string &job) {
        const std::string state = system.state(job);
        return state != "queued" && state != "running";
    });
    record("in use at most: " + std::to_string(used));
    if (!open.empty() && used < 0.5)
        leave(1, std::to_string(open.size()) + " jobs, as " + open.front()
                     + ", had nothing running for 3 s, 14 s after the end of the traffic, with at "
                       "most "
                     + std::to_string(static_cast<int>(100 * used))
                     + " percent of the service in use");
    leave(0, "no job waited for 3 s beside free capacity");
}
