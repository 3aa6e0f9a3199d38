#include "routerfixture.h"

using namespace Oleander;
using namespace Oleander::Testing;

TEST_CASE("A request is dispatched only after its claim is committed, and its response is recorded")
{
    RouterFixture f;
    ClaimTable table;
    f.start();
    const auto id = f.submit(false, "k1");
    CHECK(f.sent.empty());
    f.commit(table);
    REQUIRE(f.sent.size() == 1);
    f.answer(f.sent[0], Outcome::Ran, 201);
    CHECK(f.response(id).status == 201);
    f.commit(table);
    REQUIRE(table.find("notices/k1") != nullptr);
    CHECK(table.find("notices/k1")->finished);

    const auto again = f.submit(false, "k1");
    f.commit(table);
    CHECK(f.sent.size() == 1);
    CHECK(f.response(again).body == f.response(id).body);
}

TEST_CASE("A resend through another entry never runs again, whenever the first entry was killed")
{
    ClaimTable table;
    RouterFixture first;
    RouterFixture second;
    first.start();
    second.settings.entry = second.settings.claims.entry = "entry-2";
    second.start();
    const int killedAfter = GENERATE(0, 1, 2, 3);
    first.submit(false, "k1");
    if (killedAfter >= 1)
        first.commit(table);
    if (killedAfter >= 2)
        first.answer(first.sent.at(0), Outcome::Ran, 201);
    if (killedAfter >= 3)
        first.commit(table);

    const auto resent = second.submit(false, "k1");
    second.commit(table);
    if (killedAfter == 0) {
        // The claim was never committed: the first entry dispatched nothing.
        CHECK(first.sent.empty());
        CHECK(second.sent.size() == 1);
        return;
    }
    if (killedAfter < 3) {
        for (int i = 0; i < 210; ++i) {
            second.advanceTime(10ms);
            second.commit(table);
        }
        CHECK(second.problem(resent).outcome == Outcome::Unknown);
        CHECK(second.problem(resent).step == Step::Claim);
        CHECK(second.problem(resent).peer == "entry-1");
    } else {
        CHECK(second.response(resent).status == 201);
    }
    CHECK(first.sent.size() == 1);
    CHECK(second.sent.empty());
}

TEST_CASE("A resend waits for the response of the first request while that is running")
{
    ClaimTable table;
    RouterFixture f;
    f.start();
    f.submit(false, "k1");
    f.commit(table);
    const auto resent = f.submit(false, "k1");
    f.commit(table);
    f.advanceTime(100ms);
    f.commit(table);
    CHECK_FALSE(f.answers.contains(resent));
    f.answer(f.sent[0], Outcome::Ran, 201);
    f.commit(table);
    f.advanceTime(100ms);
    f.commit(table);
    CHECK(f.response(resent).status == 201);
    CHECK(f.sent.size() == 1);
}

TEST_CASE(
    "A claimed request continues when its caller disconnects, so that a resend gets the response")
{
    ClaimTable table;
    RouterFixture f;
    f.start();
    const auto id = f.submit(false, "k1");
    f.commit(table);
    f.router->callerDisconnected(id);
    CHECK(f.cancelled.empty());
    f.answer(f.sent.at(0), Outcome::Ran, 201);
    const auto again = f.submit(false, "k1");
    f.commit(table);
    CHECK(f.response(again).status == 201);
}

TEST_CASE(
    "A claim is released when its request did not run, and another request on its key is refused")
{
    ClaimTable table;
    RouterFixture f;
    f.start();
    const auto id = f.submit(false, "k1");
    f.commit(table);
    f.answer(f.sent.at(0), Outcome::NotRun, 0, Step::Admit);
    f.answer(f.sent.at(1), Outcome::NotRun, 0, Step::Admit);
    CHECK(f.problem(id).outcome == Outcome::NotRun);
    f.commit(table);
    CHECK(table.size() == 0);

    f.submit(false, "k1");
    f.commit(table);
    const auto other = f.submit(false, "k1", "another body");
    f.commit(table);
    CHECK(f.problem(other).status == HttpStatus::UnprocessableContent);
    CHECK(f.sent.size() == 3);
}

TEST_CASE("A request with a key is reported as not run when the control log is unavailable")
{
    ClaimTable table;
    RouterFixture f;
    f.start();
    const auto id = f.submit(false, "k1");
    for (int i = 0; i < 210; ++i) {
        while (auto proposal = f.router->claims().takeProposal())
            f.router->claims().proposalDone(
                proposal->id, fail(Failure::Unavailable, Step::Commit, "entry-2", "No quorum."));
        f.advanceTime(10ms);
    }
    CHECK(f.problem(id).outcome == Outcome::NotRun);
    CHECK(f.problem(id).step == Step::Claim);
    CHECK(f.sent.empty());
}

TEST_CASE("A claim that commits although its proposal failed is released after the deadline")
{
    ClaimTable table;
    RouterFixture f;
    f.start();
    f.submit(false, "k1");
    auto proposal = f.router->claims().takeProposal();
    REQUIRE(proposal.has_value());
    f.advanceTime(2s);
    table.apply(proposal->batch);
    CHECK(table.size() == 1);
    f.router->claims().proposalDone(
        proposal->id, fail(Failure::Unknown, Step::Commit, "entry-2", "No answer came."));
    f.advanceTime(100ms);
    f.commit(table);
    CHECK(table.size() == 0);
    CHECK(f.sent.empty());
}

TEST_CASE("Finishes are proposed until they are committed, and claims are batched")
{
    ClaimTable table;
    RouterFixture f;
    f.start();
    for (int i = 0; i < 10; ++i)
        f.submit(false, "k" + std::to_string(i));
    auto proposal = f.router->claims().takeProposal();
    REQUIRE(proposal.has_value());
    CHECK(proposal->batch.commands.size() == 10);
    f.router->claims().proposalDone(proposal->id, table.apply(proposal->batch));
    f.answer(f.sent.at(0), Outcome::Ran, 201);
    auto lost = f.router->claims().takeProposal();
    REQUIRE(lost.has_value());
    f.router->claims().proposalDone(
        lost->id, fail(Failure::Unknown, Step::Commit, "entry-2", "No answer came."));
    CHECK_FALSE(f.router->claims().takeProposal().has_value());
    f.advanceTime(100ms);
    f.commit(table);
    CHECK(table.find("notices/k0")->finished);
}
