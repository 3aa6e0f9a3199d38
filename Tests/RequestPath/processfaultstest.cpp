#include "Support/cluster.h"
#include "Support/httpcall.h"
#include "Support/socket.h"

#include <catch2/catch.hpp>
#include <sys/socket.h>

#include <csignal>
#include <future>
#include <thread>

using namespace Oleander::Testing;

namespace {

using Reply = std::optional<HttpReply>;

/** Three entries, two agents and their minions as processes, all ready to answer. */
struct Processes
{
    Cluster cluster;

    explicit Processes(ClusterOptions options = {}) : cluster(withMinions(std::move(options)))
    {
        REQUIRE(cluster.start());
        for (std::size_t entry = 0; entry < 3; ++entry) {
            REQUIRE(waitFor([&] {
                const auto reply = call(entry, "POST", {{"Idempotency-Key", freshKey()}});
                return reply && reply->status == 200;
            }));
            REQUIRE(waitFor([&] { return servingMinions(entry) == cluster.agentCount(); }));
        }
    }

    static ClusterOptions withMinions(ClusterOptions options)
    {
        options.workers = false;
        options.minions = true;
        return options;
    }

    std::string freshKey() { return "ready-" + std::to_string(++keys_); }

    Reply call(std::size_t entry, const std::string &method, std::vector<CallHeader> headers = {})
    {
        return httpCall(cluster.callerDoor(entry), {method, "/notices/x", std::move(headers)});
    }
    std::future<Reply> start(std::size_t entry, const std::string &method,
                             std::vector<CallHeader> headers)
    {
        return std::async(std::launch::async, [this, entry, method, headers = std::move(headers)] {
            return call(entry, method, headers);
        });
    }
    /** Number of minions that the entry can choose for a request. */
    std::size_t servingMinions(std::size_t entry)
    {
        const auto reply = httpCall(cluster.operatorDoor(entry), {"GET", "/v1/dump"});
        const std::string serving = "state=serving";
        std::size_t count = 0;
        for (auto at = reply ? reply->body.find(serving) : std::string::npos;
             at != std::string::npos; at = reply->body.find(serving, at + serving.size()))
            ++count;
        return count;
    }
    int runCount(const std::string &id)
    {
        int total = 0;
        for (std::size_t agent = 0; agent < 2; ++agent) {
            const auto reply =
                httpCall(cluster.minionAddress(agent), {"GET", "/standin/runs/" + id});
            total += reply ? std::stoi(reply->body) : 0;
        }
        return total;
    }

private:
    int keys_ = 0;
};

/** Longer than the time after which entries close idle connections, 10 s. */
constexpr std::chrono::seconds LongerThanIdleTimeout(12);

/** Waits for bytes and returns them; nothing if the connection has ended. */
std::string receiveSome(const Socket &socket)
{
    char buffer[4096];
    const ssize_t count = recv(socket.descriptor(), buffer, sizeof(buffer), 0);
    return std::string(buffer, count > 0 ? static_cast<std::size_t>(count) : 0);
}

std::vector<CallHeader> keyed(const std::string &key, int delayMs, int timeoutMs)
{
    return {{"Idempotency-Key", key},
            {"Standin-Request", key},
            {"Standin-Delay-Ms", std::to_string(delayMs)},
            {"Oleander-Timeout-Ms", std::to_string(timeoutMs)}};
}

} // namespace

TEST_CASE(
    "An entry is killed between claim and answer: a resend to another entry runs nothing twice")
{
    Processes processes;
    auto lost = processes.start(0, "POST", keyed("order-1", 1500, 5000));
    REQUIRE(waitFor([&] { return processes.runCount("order-1") == 1; }));
    processes.cluster.entry(0).kill();
    CHECK_FALSE(lost.get().has_value());

    Reply resent;
    // Until a new leader is elected, a resend ends as not run.
    CHECK(waitFor([&] {
        resent = processes.call(1, "POST", keyed("order-1", 0, 2000));
        return resent && resent->body.find("\"outcome\":\"not-run\"") == std::string::npos;
    }));
    REQUIRE(resent.has_value());
    CHECK(resent->body.find("\"outcome\":\"unknown\"") != std::string::npos);
    CHECK(resent->body.find("\"peer\":\"entry-1\"") != std::string::npos);
    CHECK(processes.runCount("order-1") == 1);
}

TEST_CASE("An entry is killed after its answer: a resend to another entry gets the first answer")
{
    Processes processes;
    const auto first = processes.call(0, "POST", keyed("order-2", 0, 5000));
    REQUIRE(first.has_value());
    REQUIRE(first->status == 200);
    const auto again = processes.call(0, "POST", keyed("order-2", 0, 5000));
    REQUIRE(again.has_value());
    processes.cluster.entry(0).kill();
    Reply resent;
    CHECK(waitFor([&] {
        resent = processes.call(1, "POST", keyed("order-2", 0, 2000));
        return resent && resent->status == 200;
    }));
    REQUIRE(resent.has_value());
    CHECK(resent->body == first->body);
    CHECK(processes.runCount("order-2") == 1);
}

TEST_CASE("An agent is killed while requests run: POST ends as unknown, GET gets its answer")
{
    Processes processes;
    std::vector<std::future<Reply>> nonIdempotent;
    std::vector<std::future<Reply>> idempotent;
    for (int i = 0; i < 4; ++i) {
        const std::string id = std::to_string(i);
        nonIdempotent.push_back(processes.start(1, "POST",
                                                {{"Standin-Request", "once" + id},
                                                 {"Standin-Delay-Ms", "1500"},
                                                 {"Oleander-Timeout-Ms", "6000"}}));
        idempotent.push_back(processes.start(1, "GET",
                                             {{"Standin-Request", "safe" + id},
                                              {"Standin-Delay-Ms", "1500"},
                                              {"Oleander-Timeout-Ms", "15000"}}));
    }
    // A POST that its minion has not started yet ends as not run.
    for (std::size_t i = 0; i < nonIdempotent.size(); ++i) {
        REQUIRE(waitFor([&] { return processes.runCount("once" + std::to_string(i)) == 1; }));
    }
    processes.cluster.agent(0).kill();
    processes.cluster.startAgent(0);
    for (std::size_t i = 0; i < nonIdempotent.size(); ++i) {
        const auto reply = nonIdempotent[i].get();
        REQUIRE(reply.has_value());
        CHECK((reply->status == 200
               || reply->body.find("\"outcome\":\"unknown\"") != std::string::npos));
        CHECK(processes.runCount("once" + std::to_string(i)) == 1);
    }
    for (auto &call : idempotent) {
        const auto reply = call.get();
        REQUIRE(reply.has_value());
        INFO(reply->body);
        CHECK(reply->status == 200);
    }
}

TEST_CASE("A stopping entry still serves requests, finishes those in flight, and exits with 0")
{
    Processes processes;
    auto slow = processes.start(2, "POST", {{"Standin-Delay-Ms", "3000"}});
    REQUIRE(waitFor([&] { return processes.runCount("") >= 1; }));
    processes.cluster.entry(2).signal(SIGTERM);
    REQUIRE(waitFor([&] {
        const auto health = httpCall(processes.cluster.callerDoor(2), {"GET", "/healthz"});
        return health && health->status == 503;
    }));
    const auto served = processes.call(2, "GET");
    REQUIRE(served.has_value());
    CHECK(served->status == 200);
    const auto reply = slow.get();
    REQUIRE(reply.has_value());
    CHECK(reply->status == 200);
    const auto end = processes.cluster.entry(2).wait();
    REQUIRE(end.has_value());
    CHECK(end->exitCode == 0);
}

TEST_CASE(
    "A request sent over a kept connection to a frozen entry is answered once the entry wakes")
{
    ClusterOptions options;
    options.entries = 1;
    options.agents = 0;
    Cluster cluster(std::move(options));
    REQUIRE(cluster.start());
    const std::string request = "GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n";
    const Socket kept = Socket::connectedTo(cluster.callerDoor(0));
    REQUIRE(kept.sendAll(request));
    REQUIRE(receiveSome(kept).starts_with("HTTP/1.1 "));
    cluster.entry(0).freeze();
    REQUIRE(kept.sendAll(request));
    std::this_thread::sleep_for(LongerThanIdleTimeout);
    cluster.entry(0).resume();
    CHECK(receiveSome(kept).starts_with("HTTP/1.1 "));
}

TEST_CASE("Requests succeed across failure domains with slow links")
{
    ClusterOptions options;
    options.forwardLinks = true;
    Processes processes(std::move(options));
    for (std::size_t entry = 0; entry < 3; ++entry) {
        for (std::size_t agent = 0; agent < 2; ++agent) {
            const std::string to = "agent-" + std::to_string(agent + 1);
            const std::string from = "entry-" + std::to_string(entry + 1);
            processes.cluster.forwarder(from, to).setDelay(std::chrono::microseconds(4500));
            processes.cluster.forwarder(to, from).setDelay(std::chrono::microseconds(4500));
        }
    }
    for (int i = 0; i < 20; ++i) {
        const std::string id = "far" + std::to_string(i);
        const auto reply =
            processes.call(static_cast<std::size_t>(i % 3), "POST", {{"Standin-Request", id}});
        REQUIRE(reply.has_value());
        INFO(reply->body);
        CHECK(reply->status == 200);
        CHECK(processes.runCount(id) == 1);
    }
}

TEST_CASE("A recorded service without a minion is unavailable, an unknown one is not found")
{
    ClusterOptions options;
    options.agents = 1;
    options.workers = false;
    Cluster cluster(std::move(options));
    REQUIRE(cluster.start());
    const auto statusOf = [&] {
        const auto reply = httpCall(cluster.callerDoor(0), {"GET", "/archive/x"});
        return reply ? reply->status : 0;
    };
    REQUIRE(waitFor([&] { return statusOf() == 404; }));
    const auto submitted =
        cluster.operate(0, {"submit", "service/archive", "-", "--author=anna"},
                        R"({"schema":2,"team":"t","resources":{"milli-cores":500,)"
                        R"("memory-mib":64},"payload":"c"})");
    INFO(submitted.errors);
    REQUIRE(submitted.exitCode == 0);
    CHECK(waitFor([&] { return statusOf() == 503; }));
}
