#include "requestpath.h"
#include "Support/socket.h"

#include <catch2/catch.hpp>

using namespace Oleander;
using namespace Oleander::Testing;

TEST_CASE("Requests beyond slots, connections and the deadline are shed as not run and never run")
{
    RequestPath path(
        RequestPath::Options{.agents = 1, .minionFlags = {"--slots=2", "--connections=4"}});
    std::vector<std::future<std::optional<HttpReply>>> calls;
    calls.reserve(20);
    for (int i = 0; i < 20; ++i) {
        calls.push_back(path.start(
            "POST", "/notices/x",
            {{"Standin-Delay-Ms", "300"}, {"Standin-Request", "shed" + std::to_string(i)}}));
    }
    int answered = 0;
    for (std::size_t i = 0; i < calls.size(); ++i) {
        const auto reply = calls[i].get();
        REQUIRE(reply.has_value());
        const int runs = path.runCount("shed" + std::to_string(i));
        if (reply->status == 200) {
            ++answered;
            CHECK(runs == 1);
            continue;
        }
        CHECK(reply->status == 503);
        CHECK(reply->body.find("\"outcome\":\"not-run\"") != std::string::npos);
        CHECK(reply->headers.contains("retry-after"));
        CHECK(runs == 0);
    }
    CHECK(answered >= 4);
    CHECK(answered < 20);
}

TEST_CASE("A request at its deadline ends with an unknown outcome that names the peer")
{
    RequestPath path;
    const auto reply = path.call("POST", "/notices/x",
                                 {{"Standin-Delay-Ms", "5000"}, {"Oleander-Timeout-Ms", "200"}});
    REQUIRE(reply.has_value());
    CHECK((reply->status == 502 || reply->status == 504));
    CHECK(reply->body.find("\"outcome\":\"unknown\"") != std::string::npos);
    // A 502 reports that the agent's call to the minion timed out; a 504 that the agent did not
    // answer the entry in time.
    const std::string peer = reply->status == 504 ? "\"peer\":\"agent-" : "\"peer\":\"minion-";
    CHECK(reply->body.find(peer) != std::string::npos);
    CHECK(waitFor([&] { return path.runningRequests() == 0; }));
}

TEST_CASE(
    "After a caller disconnects, the slot is freed as soon as the minion has finished the request")
{
    RequestPath path(RequestPath::Options{.agents = 1});
    {
        const Socket caller = Socket::connectedTo(path.address());
        REQUIRE(caller.sendAll("POST /notices/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
                               "Standin-Delay-Ms: 700\r\n\r\n"));
        REQUIRE(waitFor([&] { return path.runningRequests() == 1; }));
    }
    CHECK(waitFor([&] { return path.runningRequests() == 0; }));
    CHECK(path.status(0).running == 1);
    CHECK(waitFor([&] { return path.status(0).running == 0; }));
    const auto reply = path.call("GET", "/notices/x");
    REQUIRE(reply.has_value());
    CHECK(reply->status == 200);
}

TEST_CASE("A slow sender is disconnected and the server stays usable")
{
    RequestPath::Options options;
    options.callerServer.limits.idleTimeout = std::chrono::milliseconds(300);
    RequestPath path(std::move(options));
    const auto answer = rawCall(path.address(), "POST /notices/x HTTP/1.1\r\nHost: h\r\n");
    CHECK(answer.has_value());
    const auto reply = path.call("GET", "/notices/x");
    REQUIRE(reply.has_value());
    CHECK(reply->status == 200);
}
