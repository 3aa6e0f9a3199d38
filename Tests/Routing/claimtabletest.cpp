#include "Routing/claimtable.h"

#include "Protocol/codec.h"

#include <catch2/catch.hpp>

using namespace Oleander;
using namespace std::chrono_literals;

namespace {

WallTime at(std::chrono::seconds time)
{
    return WallTime(time);
}

ClaimRequest claim(const std::string &token, std::chrono::seconds now = 100s)
{
    return {"orders/k1", 42, token, "entry-" + token, at(now), 60s};
}

FinishRequest finish(const std::string &token, Outcome outcome, std::chrono::seconds now = 101s)
{
    RecordedResponse response;
    response.outcome = outcome;
    response.status = 201;
    response.body = "receipt";
    return {"orders/k1", token, response, at(now)};
}

} // namespace

TEST_CASE("The first of two claims on a key is granted, also when it is proposed again")
{
    ClaimTable table;
    CHECK(table.apply(claim("a")).verdict == ClaimVerdict::Granted);
    const auto second = table.apply(claim("b"));
    CHECK(second.verdict == ClaimVerdict::Held);
    CHECK(second.holder == "entry-a");
    CHECK(table.apply(claim("a")).verdict == ClaimVerdict::Granted);
}

TEST_CASE("A resend gets the recorded response, and only the first finish of the holder counts")
{
    ClaimTable table;
    table.apply(claim("a"));
    table.apply(finish("b", Outcome::NotRun));
    CHECK(table.apply(claim("b")).verdict == ClaimVerdict::Held);
    table.apply(finish("a", Outcome::Ran));
    table.apply(finish("a", Outcome::NotRun));
    const auto resent = table.apply(claim("c"));
    CHECK(resent.verdict == ClaimVerdict::Finished);
    CHECK(resent.response.status == 201);
    CHECK(resent.response.body == "receipt");
    auto other = claim("d");
    other.fingerprint = 43;
    CHECK(table.apply(other).verdict == ClaimVerdict::Mismatch);
}

TEST_CASE("A claim is released when its request did not run")
{
    ClaimTable table;
    table.apply(claim("a"));
    table.apply(finish("a", Outcome::NotRun));
    CHECK(table.size() == 0);
    CHECK(table.totalBytes() == 0);
    CHECK(table.apply(claim("b")).verdict == ClaimVerdict::Granted);
}

TEST_CASE("Claims expire by the highest time in the commands, which never decreases")
{
    ClaimTable table;
    table.apply(claim("a", 100s));
    CHECK(table.apply(claim("b", 50s)).verdict == ClaimVerdict::Held);
    CHECK(table.apply(claim("b", 159s)).verdict == ClaimVerdict::Held);
    CHECK(table.apply(claim("b", 160s)).verdict == ClaimVerdict::Granted);
    table.apply(finish("a", Outcome::Ran, 161s));
    CHECK(table.apply(claim("c", 162s)).verdict == ClaimVerdict::Held);
    auto behind = claim("d", 50s);
    behind.key = "orders/k2";
    table.apply(behind);
    CHECK(table.find("orders/k2")->expiry == at(222s));
}

TEST_CASE("A full table rejects new claims and evicts none before its expiry")
{
    ClaimTable table;
    auto command = claim("a");
    for (std::size_t i = 0; i < ClaimTable::MaxClaims; ++i) {
        command.key = std::to_string(i);
        table.apply(command);
    }
    command.key = "one more";
    CHECK(table.apply(command).verdict == ClaimVerdict::Full);
    command.key = "0";
    command.token = "b";
    CHECK(table.apply(command).verdict == ClaimVerdict::Held);
    command.now = at(160s);
    CHECK(table.apply(command).verdict == ClaimVerdict::Granted);
    CHECK(table.size() == 1);
}

TEST_CASE("Only the status is stored of a response that is too large")
{
    ClaimTable table;
    table.apply(claim("a"));
    auto large = finish("a", Outcome::Ran);
    large.response.body.assign(ClaimTable::MaxResponseBytes + 1, 'x');
    table.apply(large);
    const auto resent = table.apply(claim("b"));
    CHECK(resent.verdict == ClaimVerdict::Finished);
    CHECK_FALSE(resent.response.complete);
    CHECK(resent.response.status == 201);
    CHECK(resent.response.body.empty());
}

TEST_CASE("A restored claim table behaves like the saved one")
{
    ClaimTable table;
    const ClaimBatch batch{{claim("a"), finish("a", Outcome::Ran)}};
    CHECK(table.apply(batch).outcomes.size() == 2);
    auto restored = decode<ClaimTable>(encode(table));
    REQUIRE(restored.has_value());
    CHECK(encode(*restored) == encode(table));
    CHECK(restored->apply(claim("b")).verdict == ClaimVerdict::Finished);
    CHECK(restored->apply(claim("b", 160s)).verdict == ClaimVerdict::Granted);
}
