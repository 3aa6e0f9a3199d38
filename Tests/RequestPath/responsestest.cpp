#include "requestpath.h"

#include <catch2/catch.hpp>

using namespace Oleander;
using namespace Oleander::Testing;

namespace {

constexpr std::size_t OneMegabyte = 1'048'576;

std::vector<CallHeader> mode(const std::string &name, const std::string &id = "r1")
{
    return {{"Standin-Mode", name}, {"Standin-Request", id}};
}

} // namespace

TEST_CASE("A caller gets the complete response: status, header fields and body")
{
    RequestPath path;
    const auto plain = path.call("GET", "/notices/a/b?c=d", {{"Standin-Request", "r1"}});
    REQUIRE(plain.has_value());
    CHECK(plain->status == 200);
    CHECK(plain->body.find("path=/a/b?c=d") != std::string::npos);
    const auto chunked = path.call("GET", "/notices/x", mode("chunked"));
    REQUIRE(chunked.has_value());
    CHECK(chunked->body.find("path=/x") != std::string::npos);
    const auto large = path.call("GET", "/notices/x", mode("large"));
    REQUIRE(large.has_value());
    CHECK(large->body.size() == OneMegabyte);
    const std::string body(OneMegabyte, 'y');
    const auto echo = path.call("POST", "/notices/x", mode("echo"), body);
    REQUIRE(echo.has_value());
    CHECK(echo->body == body);
    const auto head = path.call("HEAD", "/notices/x");
    REQUIRE(head.has_value());
    CHECK(head->status == 200);
}

TEST_CASE(
    "A truncated or endless response becomes an error, and a non-idempotent request is not resent")
{
    RequestPath path;
    for (const char *name : {"cut", "cut-chunk", "no-length", "reset"}) {
        INFO(name);
        const auto nonIdempotent = path.call("POST", "/notices/x", mode(name, name));
        REQUIRE(nonIdempotent.has_value());
        CHECK(nonIdempotent->status == 502);
        CHECK(nonIdempotent->headers.at("content-type") == "application/problem+json");
        CHECK(nonIdempotent->body.find("\"outcome\":\"unknown\"") != std::string::npos);
        CHECK(nonIdempotent->body.find("\"step\":\"") != std::string::npos);
        CHECK(nonIdempotent->body.find("\"peer\":\"minion-") != std::string::npos);
        CHECK(path.runCount(name) == 1);
    }
    const auto again = path.call("GET", "/notices/x", mode("cut", "again"));
    REQUIRE(again.has_value());
    CHECK(again->body.find("\"outcome\":\"unknown\"") != std::string::npos);
    CHECK(path.runCount("again") == 2);
}

TEST_CASE("Bytes after a response are never used as the response to the next request")
{
    RequestPath path(RequestPath::Options{.agents = 1});
    for (int i = 0; i < 5; ++i) {
        const auto first = path.call("GET", "/notices/x", mode("wrong-length"));
        REQUIRE(first.has_value());
        CHECK((first->status == 502 || first->body == "four"));
        CHECK(first->body.find("other") == std::string::npos);
        const auto next = path.call("GET", "/notices/next");
        REQUIRE(next.has_value());
        CHECK(next->body.find("path=/next") != std::string::npos);
    }
}

TEST_CASE("A connection that the minion closed while idle causes no second run")
{
    RequestPath path(RequestPath::Options{.agents = 1});
    for (int i = 0; i < 20; ++i) {
        const std::string id = "keep" + std::to_string(i);
        path.call("POST", "/notices/x", mode("reset", id));
        CHECK(path.runCount(id) == 1);
        const auto good = path.call("POST", "/notices/x", {{"Standin-Request", id + "g"}});
        REQUIRE(good.has_value());
        CHECK(good->status == 200);
        CHECK(path.runCount(id + "g") == 1);
    }
}

TEST_CASE("Late and out-of-order responses reach the right callers")
{
    RequestPath path;
    std::vector<std::future<std::optional<HttpReply>>> calls;
    calls.reserve(12);
    for (int i = 0; i < 12; ++i) {
        calls.push_back(path.start("POST", "/notices/" + std::to_string(i),
                                   {{"Standin-Delay-Ms", std::to_string(200 - 15 * i)}}));
    }
    for (std::size_t i = 0; i < calls.size(); ++i) {
        const auto reply = calls[i].get();
        REQUIRE(reply.has_value());
        CHECK(reply->body.find("path=/" + std::to_string(i) + "\n") != std::string::npos);
    }
}

TEST_CASE("A resend with the same key gets the first answer and runs once")
{
    RequestPath path;
    const std::vector<CallHeader> headers{{"Idempotency-Key", "k1"}, {"Standin-Request", "k1"}};
    const auto first = path.call("POST", "/notices/x", headers);
    const auto second = path.call("POST", "/notices/x", headers);
    REQUIRE(first.has_value());
    REQUIRE(second.has_value());
    CHECK(first->status == 200);
    CHECK(second->body == first->body);
    CHECK(path.runCount("k1") == 1);
}
