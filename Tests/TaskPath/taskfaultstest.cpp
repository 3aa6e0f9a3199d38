#include "Support/cluster.h"
#include "Support/httpcall.h"
#include "Support/temporaryfolder.h"
#include "Support/waitfor.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
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

/** Time in which an attempt of a task ran, by the clock that the stand-in workers share. */
struct Interval
{
    std::uint32_t attempt = 0;
    std::int64_t begin = 0;
    std::int64_t end = std::numeric_limits<std::int64_t>::max();
};

/** Three entries, two agents and two stand-in workers that log when each attempt ran. */
class TaskCluster
{
public:
    explicit TaskCluster(const std::vector<std::string> &extraWorkerFlags = {})
        : cluster_(options(extraWorkerFlags))
    {
        REQUIRE(cluster_.start());
    }

    Cluster &cluster() { return cluster_; }

    /** Submits the jobs and waits until all of them run on the two workers. */
    void startJobs()
    {
        for (std::size_t job = 0; job < Jobs; ++job) {
            const auto result = cluster_.operate(
                0, {"submit", fmt::format("batch/job-{}", job), "-", "--author=anna"}, Record);
            INFO(result.errors);
            REQUIRE(result.exitCode == 0);
        }
        REQUIRE(waitFor([&] { return runningAttempts(0) + runningAttempts(1) == Jobs; }));
    }

    /** Waits for an event with \a text; shows the last answer of the entry if there is none. */
    bool waitForEvent(const std::string &text) const
    {
        CommandResult events;
        const bool found = waitFor([&] {
            events = cluster_.operate(0, {"events"});
            return events.output.find(text) != std::string::npos;
        });
        if (!found) {
            UNSCOPED_INFO(
                fmt::format("exit code {}\n{}{}", events.exitCode, events.errors, events.output));
        }
        return found;
    }

    /** Number of attempts running on a stand-in worker. */
    std::size_t runningAttempts(std::size_t worker) const
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

    /** The worker that runs more of the jobs, from one look that finds all of them. */
    std::size_t busierWorker() const
    {
        std::array<std::size_t, 2> attempts{};
        REQUIRE(waitFor([&] {
            attempts = {runningAttempts(0), runningAttempts(1)};
            return attempts[0] + attempts[1] == Jobs;
        }));
        return attempts[0] >= attempts[1] ? 0 : 1;
    }

    /** Describes the first two overlapping attempts of a task; empty if there are none. */
    std::string describeOverlap() const
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
    ClusterOptions options(const std::vector<std::string> &extraWorkerFlags) const
    {
        ClusterOptions options;
        options.forwardLinks = true;
        options.workerFlags = {"--intervals=" + intervalsFile()};
        options.workerFlags.insert(options.workerFlags.end(), extraWorkerFlags.begin(),
                                   extraWorkerFlags.end());
        return options;
    }

    std::string intervalsFile() const { return (folder_.path() / "intervals").string(); }

    /** Intervals of each task, sorted by begin. */
    std::map<std::string, std::vector<Interval>> intervals() const
    {
        std::map<std::string, std::vector<Interval>> result;
        std::ifstream lines(intervalsFile());
        std::string line;
        while (std::getline(lines, line)) {
            // A line for an end has the final state as an additional field.
            std::istringstream words(line);
            std::string kind;
            std::string task;
            std::uint32_t attempt = 0;
            std::int64_t time = 0;
            if (!(words >> kind >> task >> attempt >> time))
                continue;
            auto &list = result[task];
            if (kind == "begin") {
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

TEST_CASE("Tasks of a frozen agent move after its lease has expired, and never run on two workers")
{
    TaskCluster tasks;
    tasks.startJobs();
    const std::size_t frozen = tasks.busierWorker();
    tasks.cluster().agent(frozen).freeze();
    REQUIRE(waitFor([&] { return tasks.runningAttempts(1 - frozen) == Jobs; }));
    CHECK(tasks.runningAttempts(frozen) == 0);
    REQUIRE(tasks.waitForEvent("The worker is lost."));
    tasks.cluster().agent(frozen).resume();
    REQUIRE(tasks.waitForEvent("The worker is back."));
    CHECK(tasks.runningAttempts(0) + tasks.runningAttempts(1) == Jobs);
    CHECK(tasks.describeOverlap().empty());
}

TEST_CASE("Tasks of an isolated agent move, and never run on two workers after it reconnects")
{
    TaskCluster tasks;
    tasks.startJobs();
    const std::size_t cut = tasks.busierWorker();
    const std::string name = fmt::format("agent-{}", cut + 1);
    tasks.cluster().isolate(name);
    REQUIRE(waitFor([&] { return tasks.runningAttempts(1 - cut) == Jobs; }));
    CHECK(tasks.runningAttempts(cut) == 0);
    REQUIRE(tasks.waitForEvent("The worker is lost."));
    tasks.cluster().heal();
    REQUIRE(tasks.waitForEvent("The worker is back."));
    CHECK(tasks.runningAttempts(0) + tasks.runningAttempts(1) == Jobs);
    CHECK(tasks.describeOverlap().empty());
}

TEST_CASE("Tasks keep running while each entry in turn is killed, and never run on two workers")
{
    TaskCluster tasks;
    tasks.startJobs();
    for (std::size_t entry = 0; entry < 3; ++entry) {
        tasks.cluster().entry(entry).kill();
        tasks.cluster().startEntry(entry);
        REQUIRE(tasks.cluster().waitStarted(tasks.cluster().entry(entry)));
        REQUIRE(waitFor([&] { return tasks.cluster().operate(entry, {"status"}).exitCode == 0; }));
    }
    REQUIRE(waitFor([&] { return tasks.runningAttempts(0) + tasks.runningAttempts(1) == Jobs; }));
    CHECK(tasks.describeOverlap().empty());
}

TEST_CASE("Tasks of a restarted agent stay or move, and never run on two workers")
{
    TaskCluster tasks;
    tasks.startJobs();
    const std::size_t killed = tasks.busierWorker();
    tasks.cluster().agent(killed).kill();
    tasks.cluster().startAgent(killed);
    REQUIRE(tasks.cluster().waitStarted(tasks.cluster().agent(killed)));
    REQUIRE(waitFor([&] { return tasks.runningAttempts(0) + tasks.runningAttempts(1) == Jobs; }));
    CHECK(tasks.describeOverlap().empty());
}

TEST_CASE("The overlap check detects a worker that runs tasks past its lease")
{
    TaskCluster tasks({"--ignore_lease"});
    tasks.startJobs();
    const std::size_t frozen = tasks.busierWorker();
    tasks.cluster().agent(frozen).freeze();
    REQUIRE(waitFor([&] { return tasks.runningAttempts(1 - frozen) == Jobs; }));
    CHECK_FALSE(tasks.describeOverlap().empty());
}
