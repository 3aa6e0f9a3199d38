// A minion leaves a start without an answer, crashes, starts again under its id, and carries the
// start out in that life. The task fails each time.
#include "deployment.h"

using namespace Review;

int main()
{
    constexpr std::size_t MaxAttempts = 2;
    const std::string job = "00000000000000b9";
    Deployment system(8);
    for (const auto &minion : system.minions) {
        minion->failing.insert(job);
        if (hasTrouble())
            minion->unansweredJob = job;
    }
    system.start(MaxAttempts);
    for (const auto &minion : system.minions)
        minion->workMs = 3'000;
    const Json others = {{{"count", 20}, {"cpu", 500}, {"memMb", 64}}};
    if (!system.submit("00000000000000ba", others)
        || !system.submit(job, {{{"count", 1}, {"cpu", 1000}, {"memMb", 64}}}))
        leave(2, "a job was not accepted");
    if (hasTrouble()) {
        Minion *late = nullptr;
        const auto isLeft = [&] {
            for (const auto &minion : system.minions)
                late = minion->unansweredJob.empty() ? minion.get() : late;
            return late != nullptr;
        };
        if (!waitFor(isLeft, 5'000))
            leave(2, "no start was left without an answer");
        for (const auto &minion : system.minions)
            minion->unansweredJob.clear();
        sleepMs(100);
        late->crash();
        sleepMs(100);
        late->start(true);
    }
    const auto hasEnded = [&] {
        sleepMs(300);
        return system.state(job) == "failed";
    };
    if (!waitFor(hasEnded, 20'000))
        leave(2, "the job did not end");
    sleepMs(1'500);
    std::vector<TaskRun> failed;
    for (const TaskRun &run : system.history()) {
        if (run.task == taskName(job, 0, 0) && run.how == "failed" && run.isAcknowledged)
            failed.push_back(run);
    }
    for (const TaskRun &run : system.history()) {
        std::size_t before = 0;
        for (const TaskRun &end : failed)
            before += end.endMs < run.startMs ? 1 : 0;
        if (run.task == taskName(job, 0, 0) && before >= MaxAttempts)
            leave(1, "run " + std::to_string(run.run) + " of the task started after "
                         + std::to_string(before)
                         + " runs had ended as failed, all of them acknowledged; maxAttempts is "
                         + std::to_string(MaxAttempts));
    }
    leave(0, "the task started no more often than its queue allows");
}
