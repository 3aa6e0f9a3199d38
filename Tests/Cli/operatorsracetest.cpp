#include "Support/cluster.h"
#include "Support/httpcall.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

using namespace Oleander::Testing;
using nlohmann::json;

namespace {

constexpr int Operators = 9;

ClusterOptions entriesOnly()
{
    ClusterOptions options;
    options.agents = 0;
    options.workers = false;
    return options;
}

std::string bodyOf(int number)
{
    return R"({"schema":1,"team":"t","cores":1,"memory-gib":1,"command":"run )"
           + std::to_string(number) + "\"}";
}

HttpReply put(const std::string &door, const std::string &name, int number,
              std::vector<CallHeader> headers)
{
    headers.push_back({"Oleander-Operator", "operator-" + std::to_string(number)});
    return httpCall(door, {"PUT", "/v1/records/batch/" + name, std::move(headers), bodyOf(number)})
        .value_or(HttpReply{});
}

} // namespace

TEST_CASE("Of concurrent amendments of one revision through all entries exactly one succeeds")
{
    Cluster cluster(entriesOnly());
    REQUIRE(cluster.start());
    REQUIRE(put(cluster.operatorDoor(0), "a", 0, {}).status == 201);
    for (int round = 1; round <= 5; ++round) {
        std::vector<HttpReply> replies(Operators);
        std::vector<std::thread> threads;
        threads.reserve(Operators);
        for (int i = 0; i < Operators; ++i) {
            threads.emplace_back([&, i] {
                const auto &door = cluster.operatorDoor(static_cast<std::size_t>(i) % 3);
                replies[static_cast<std::size_t>(i)] =
                    put(door, "a", i, {{"If-Match", std::to_string(round)}});
            });
        }
        for (auto &thread : threads)
            thread.join();
        const auto winner = std::find_if(replies.begin(), replies.end(),
                                         [](const auto &reply) { return reply.status == 200; });
        REQUIRE(winner != replies.end());
        const auto author = json::parse(winner->body)["record"]["author"];
        for (auto reply = replies.begin(); reply != replies.end(); ++reply) {
            if (reply == winner)
                continue;
            REQUIRE(reply->status == 409);
            CHECK(json::parse(reply->body)["record"]["author"] == author);
        }
    }
}

TEST_CASE("Commands resent after the leader was killed take effect exactly once")
{
    constexpr int Records = 30;
    Cluster cluster(entriesOnly());
    REQUIRE(cluster.start());
    const auto status = cluster.operate(0, {"status", "--output=json"});
    REQUIRE(status.exitCode == 0);
    const std::string leader = json::parse(status.output)["replica"]["leader"];
    const auto leaderEntry = static_cast<std::size_t>(leader.back() - '1');

    // Each command is resent through the next entry until a complete answer arrives.
    const auto submitAll = [&](int first) {
        for (int i = first; i < Records; i += 3) {
            const auto name = "r" + std::to_string(i);
            const auto isAnswered = [&, entry = static_cast<std::size_t>(i)]() mutable {
                const auto reply = put(cluster.operatorDoor(entry++ % 3), name, i,
                                       {{"Idempotency-Key", "key-" + name}});
                return reply.status == 201;
            };
            if (!waitFor(isAnswered))
                return;
        }
    };
    std::vector<std::thread> threads;
    threads.reserve(3);
    for (int first = 0; first < 3; ++first)
        threads.emplace_back(submitAll, first);
    cluster.entry(leaderEntry).kill();
    for (auto &thread : threads)
        thread.join();

    const auto list = cluster.operate((leaderEntry + 1) % 3, {"list", "batch", "--output=json"});
    REQUIRE(list.exitCode == 0);
    const auto records = json::parse(list.output)["records"];
    CHECK(records.size() == Records);
    for (const auto &record : records)
        CHECK(record["revision"] == 1);
}
