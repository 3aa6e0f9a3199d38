#include "Support/cluster.h"
#include "Support/httpcall.h"
#include "Support/temporaryfolder.h"
#include "Support/waitfor.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <limits>
#include <map>
#include <sstream>
#include <string>
#include <vector>

using namespace Oleander::Testing;

namespace {

constexpr std::size_t Jobs = 4;

const std::string Record = R"({"schema": 2, "team": "t", "payload": "run",)"
                           R"( "resources": {"milli-cores": 500, "memory-mib": 256}})";

/** When one attempt of a task ran, by the clock that the stand-in workers share. */
struct Interval
{
    std::uint32_t attempt = 0;
    std::int64_t begin = 0;
    std::int64_t end = std::numeric_limits<std::int64_t>::max();
};

/** Three entries, two agents and two stand-in workers that write down what really ran. */
class TaskCluster
{
public:
    explicit TaskCluster(const std::vector<std::string> &moreWorkerFlags = {})
        : cluster_(options(moreWorkerFlags))
    {
        REQUIRE(cluster_.start());
    }

    Cluster &cluster() { return cluster_; }

    /** Submits the jobs and waits until both workers together run all of them. */
    void startJobs()
    {
        for (std::size_t job = 0; job < Jobs; ++job) {
            const auto result = cluster_.operate(
                0, {"submit", fmt::format("batch/job-{}", job), "-", "--author=anna"}, Record);
            INFO(result.errors);
            REQUIRE(result.exitCode == 0);
        }
        REQUIRE(waitFor([&] { return running(0) + running(1) == Jobs; }));
    }

    /** Number of attempts that run at a stand-in worker. */
    std::size_t running(std::size_t worker) const
    {
        const auto reply = httpCall(cluster_.workerAddress(worker), {"GET", "/tasks", {}, {}});
        std::size_t count = 0;
        if (!reply)
            return count;
        for (auto at = reply->body.find("\"running\""); at != std::string::npos;
             at = reply->body.find("\"running\"", at + 1))
            ++count;
        return count;
    }

    /** The worker that runs more of the jobs. */
    std::size_t busier() const { return running(0) >= running(1) ? 0 : 1; }

    /** Describes the first two attempts of one task that ran at the same time, if any did. */
    std::string overlap() const
    {
        for (const auto &[task, list] : intervals()) {
            for (std::size_t later = 1; later < list.size(); ++later) {
                for (std::size_t earlier = 0; earlier < later; ++earlier) {
                    if (list[earlier].end > list[later].begin) {
                        return fmt::format("{}: attempts {} and {}", task, list[earlier].attempt,
                                           list[later].attempt);
                    }
                }
            }
        }
        return {};
    }

private:
    ClusterOptions options(const std::vector<std::string> &moreWorkerFlags) const
    {
        ClusterOptions options;
        options.forwardLinks = true;
        options.workerFlags = {"--intervals=" + file()};
        options.workerFlags.insert(options.workerFlags.end(), moreWorkerFlags.begin(),
                                   moreWorkerFlags.end());
        return options;
    }

    std::string file() const { return (folder_.path() / "intervals").string(); }

    /** Intervals of each task in the order of their begin. */
    std::map<std::string, std::vector<Interval>> intervals() const
    {
        std::map<std::string, std::vector<Interval>> result;
        std::ifstream lines(file());
        std::string line;
        while (std::getline(lines, line)) {
            // A line of an end carries the last state, that of a begin carries none.
            std::istringstream words(line);
            std::string what;
            std::string task;
            std::uint32_t attempt = 0;
            std::int64_t time = 0;
            if (!(words >> what >> task >> attempt >> time))
                continue;
            auto &list = result[task];
            if (what == "begin") {
                list.push_back({attempt, time});
                continue;
            }
            for (auto &interval : list) {
                if (interval.attempt == attempt)
                    interval.end = std::min(interval.end, time);
            }
        }
        for (auto &[name, list] : result) {
            std::sort(list.begin(), list.end(),
                      [](const auto &a, const auto &b) { return a.begin < b.begin; });
        }
        return result;
    }

    TemporaryFolder folder_;
    Cluster cluster_;
};

} // namespace

TEST_CASE("Tasks of a frozen agent move once its lease has run out, and run in one place only")
{
    TaskCluster tasks;
    tasks.startJobs();
    const std::size_t frozen = tasks.busier();
    tasks.cluster().agent(frozen).freeze();
    REQUIRE(waitFor([&] { return tasks.running(1 - frozen) == Jobs; }));
    CHECK(tasks.running(frozen) == 0);
    tasks.cluster().agent(frozen).resume();
    REQUIRE(waitFor([&] {
        const auto events = tasks.cluster().operate(0, {"events"});
        return events.output.find("The worker is back.") != std::string::npos;
    }));
    CHECK(tasks.running(0) + tasks.running(1) == Jobs);
    CHECK(tasks.overlap().empty());
}

TEST_CASE("Tasks of an agent that is cut off move, and run in one place only after it is back")
{
    TaskCluster tasks;
    tasks.startJobs();
    const std::size_t cut = tasks.busier();
    const std::string name = fmt::format("agent-{}", cut + 1);
    tasks.cluster().isolate(name);
    REQUIRE(waitFor([&] { return tasks.running(1 - cut) == Jobs; }));
    CHECK(tasks.running(cut) == 0);
    tasks.cluster().heal();
    REQUIRE(waitFor([&] {
        const auto events = tasks.cluster().operate(0, {"events"});
        return events.output.find("The worker is back.") != std::string::npos;
    }));
    CHECK(tasks.running(0) + tasks.running(1) == Jobs);
    CHECK(tasks.overlap().empty());
}

TEST_CASE("Tasks go on while the leader is killed, and run in one place only")
{
    TaskCluster tasks;
    tasks.startJobs();
    for (std::size_t entry = 0; entry < 3; ++entry) {
        tasks.cluster().entry(entry).kill();
        tasks.cluster().startEntry(entry);
        REQUIRE(tasks.cluster().waitStarted(tasks.cluster().entry(entry)));
        REQUIRE(waitFor([&] { return tasks.cluster().operate(entry, {"status"}).exitCode == 0; }));
    }
    REQUIRE(waitFor([&] { return tasks.running(0) + tasks.running(1) == Jobs; }));
    CHECK(tasks.overlap().empty());
}

TEST_CASE("An agent that is killed and started again keeps its tasks or moves them")
{
    TaskCluster tasks;
    tasks.startJobs();
    const std::size_t killed = tasks.busier();
    tasks.cluster().agent(killed).kill();
    tasks.cluster().startAgent(killed);
    REQUIRE(tasks.cluster().waitStarted(tasks.cluster().agent(killed)));
    REQUIRE(waitFor([&] { return tasks.running(0) + tasks.running(1) == Jobs; }));
    CHECK(tasks.overlap().empty());
}

TEST_CASE("A worker that goes on past its lease is seen as running a task in two places")
{
    TaskCluster tasks({"--ignore_lease"});
    tasks.startJobs();
    const std::size_t frozen = tasks.busier();
    tasks.cluster().agent(frozen).freeze();
    REQUIRE(waitFor([&] { return tasks.running(1 - frozen) == Jobs; }));
    CHECK_FALSE(tasks.overlap().empty());
}
