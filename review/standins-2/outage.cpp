// Not a case: it takes longer than a case may. A job is cancelled, and all control processes are
// killed right after the acknowledgement; they are back after 186 s. Prints how many of them have
// ended by themselves within 20 s after that, and whether a new job runs. Exits like the cases.
//
// usage: outage ROOT MINION-PROGRAM RECORD [SECONDS]

#include "cluster.h"

using namespace Review;

namespace {

constexpr int DefaultOutageS = 186;

int play(const std::string &root, const std::string &minionProgram, Record &record, int outageS)
{
    Cluster cluster(root, minionProgram, record, 3, {{}, {}});
    cluster.startAll();
    cluster.configure(
        Cluster::configuration(7, Json::array({Cluster::route("r-1", Cluster::prefix(), 4)})));
    cluster.waitUntilReady();
    const std::string id = "5c0e7a21d94b36f8";
    const Json lasting = {{"count", 6}, {"cpu", 2000}, {"memMb", 256}, {"longRunning", true}};
    if (cluster.submit(id, {{"spec", "lasts=400"}, {"steps", Json::array({lasting})}}, 0) != 200)
        throw CannotRun{"the job was not accepted"};
    sleepMs(2'000);
    const int status = httpCall(cluster.entry(0), "DELETE", Cluster::prefix() + id, Cluster::host(),
                                "", 3'000, nullptr, 3'000);
    for (int i = 0; i < cluster.fronts(); ++i)
        cluster.signal("control-" + std::to_string(i), SIGKILL, "all lose power");
    record.line("client: DELETE -> ", status);
    sleepMs(std::int64_t{outageS} * 1'000);
    for (int i = 0; i < cluster.fronts(); ++i)
        cluster.startControl(i, false);
    sleepMs(20'000);
    const int ended = cluster.endedByThemselves();
    const Json step = {{"count", 1}, {"cpu", 500}, {"memMb", 64}, {"estimateMs", 200}};
    const std::string other = "5c0e7a21d94b36f9";
    const int accepted =
        cluster.submit(other, {{"spec", "ms=200"}, {"steps", Json::array({step})}}, 0);
    record.line("control processes that ended by themselves: ", ended, "; a new job: ", accepted);
    std::cout << "control processes that ended by themselves: " << ended
              << "; a new job: " << accepted << "\n";
    return ended > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 4)
        return 2;
    Record record(argv[3]);
    try {
        return play(argv[1], argv[2], record, argc > 4 ? std::atoi(argv[4]) : DefaultOutageS);
    } catch (const CannotRun &error) {
        std::cout << "could not run: " << error.why << "\n";
        return 2;
    }
}
