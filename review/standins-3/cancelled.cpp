// An entry freezes with a client's job in its socket. The client gets no answer, cancels the job at
// another entry, and is answered. Then the entry wakes.
#include "deployment.h"

#include <csignal>

using namespace Review;

int main()
{
    constexpr std::int64_t CancelMs = 3'000;
    constexpr std::int64_t FreezeMs = 6'000;
    const std::string job = "00000000000000d1";
    Deployment system(3);
    system.start();
    const Json steps = {{{"count", 2}, {"cpu", 1000}, {"memMb", 256}}};
    const std::string body = Json{{"spec", "work"}, {"steps", steps}}.dump();
    const std::int64_t frozenAt = nowMs();
    if (hasTrouble())
        system.signal(system.entries[0], SIGSTOP);
    system.call(0, "POST", job, body, 1'000);
    const auto isCancelled = [&] {
        const int status = system.call(1, "DELETE", job, "").status;
        return status / 100 == 2 || status == 410;
    };
    if (!waitFor(isCancelled, 2'000))
        leave(2, "the cancelling was not acknowledged");
    const std::int64_t cancelledAt = nowMs();
    sleepMs(frozenAt + FreezeMs - nowMs());
    if (hasTrouble())
        system.signal(system.entries[0], SIGCONT);
    sleepMs(4'000);
    system.state(job);
    for (const TaskRun &run : system.history()) {
        if (run.task.rfind(job, 0) == 0 && run.startMs > cancelledAt + CancelMs)
            leave(1, "a task of the job started " + std::to_string(run.startMs - cancelledAt)
                         + " ms after the acknowledgement of its cancelling");
    }
    leave(0, "no task of the job started later than the bound after its cancelling");
}
