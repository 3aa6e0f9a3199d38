#include "requestpath.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace Oleander;
using namespace Oleander::Testing;

TEST_CASE("A draining minion finishes its running requests and gets no new ones")
{
    RequestPath path;
    std::vector<std::future<std::optional<HttpReply>>> calls;
    calls.reserve(8);
    for (int i = 0; i < 8; ++i)
        calls.push_back(path.start("POST", "/notices/x", {{"Standin-Delay-Ms", "500"}}));
    REQUIRE(waitFor([&] { return path.runningRequests() == 8; }));
    path.minion(0).signal(SIGTERM);
    REQUIRE(waitFor([&] { return path.eligibleMinions() == 1; }));
    for (auto &call : calls) {
        const auto reply = call.get();
        REQUIRE(reply.has_value());
        CHECK(reply->status == 200);
    }
    const auto end = path.minion(0).wait();
    REQUIRE(end.has_value());
    CHECK(end->exitCode == 0);
    for (int i = 0; i < 10; ++i) {
        const auto reply = path.call("POST", "/notices/x");
        REQUIRE(reply.has_value());
        CHECK(reply->body.find("minion=minion-2") != std::string::npos);
    }
}

TEST_CASE(
    "A killed minion refuses connections: its requests, including POST, run on another minion")
{
    RequestPath path;
    path.minion(0).kill();
    for (int i = 0; i < 10; ++i) {
        const auto reply = path.call("POST", "/notices/x");
        REQUIRE(reply.has_value());
        CHECK(reply->status == 200);
    }
    CHECK(waitFor([&] { return path.eligibleMinions() == 1; }));
}

TEST_CASE(
    "A frozen minion lapses: idempotent requests are retried on another, others end as unknown")
{
    RequestPath path;
    path.minion(0).freeze();
    std::vector<std::future<std::optional<HttpReply>>> idempotent;
    std::vector<std::future<std::optional<HttpReply>>> nonIdempotent;
    for (int i = 0; i < 6; ++i) {
        idempotent.push_back(path.start("GET", "/notices/x"));
        nonIdempotent.push_back(
            path.start("POST", "/notices/x", {{"Oleander-Timeout-Ms", "2500"}}));
    }
    for (auto &call : idempotent) {
        const auto reply = call.get();
        REQUIRE(reply.has_value());
        INFO(reply->body);
        CHECK(reply->status == 200);
    }
    for (auto &call : nonIdempotent) {
        const auto reply = call.get();
        REQUIRE(reply.has_value());
        CHECK((reply->status == 200
               || reply->body.find("\"outcome\":\"unknown\"") != std::string::npos));
    }
    CHECK(path.eligibleMinions() == 1);
    path.minion(0).resume();
    CHECK(waitFor([&] { return path.eligibleMinions() == 2; }));
}

TEST_CASE("A draining entry reports it, still serves requests, and finishes them after it closes")
{
    RequestPath path;
    CHECK(path.call("GET", "/healthz")->status == 200);
    auto slow = path.start("POST", "/notices/x", {{"Standin-Delay-Ms", "600"}});
    REQUIRE(waitFor([&] { return path.runningRequests() == 1; }));
    path.onLoop([&] { path.callerServer().startDraining(); });
    CHECK(path.call("GET", "/healthz")->status == 503);
    CHECK(path.call("POST", "/notices/x")->status == 200);
    path.onLoop([&] { path.callerServer().closeListener(); });
    CHECK_FALSE(path.call("GET", "/notices/x").has_value());
    const auto reply = slow.get();
    REQUIRE(reply.has_value());
    CHECK(reply->status == 200);
    CHECK(
        waitFor([&] { return path.onLoop([&] { return path.callerServer().inFlight(); }) == 0; }));
}
