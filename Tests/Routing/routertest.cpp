#include "routerfixture.h"

#include <algorithm>
#include <random>

using namespace Oleander;
using namespace Oleander::Testing;

TEST_CASE("Each caller gets the response to its own request, in any order of the responses")
{
    RouterFixture f;
    f.start();
    std::vector<RequestId> ids;
    ids.reserve(10);
    for (int i = 0; i < 10; ++i)
        ids.push_back(f.submit(i % 2 == 0));
    REQUIRE(f.sent.size() == 10);
    const auto sent = f.sent;
    auto reversed = sent;
    std::reverse(reversed.begin(), reversed.end());
    for (const auto &attempt : reversed) {
        f.answer(attempt, Outcome::Ran, 200);
        f.answer(attempt, Outcome::Ran, 200);
    }
    for (std::size_t i = 0; i < ids.size(); ++i)
        CHECK(f.response(ids[i]).body == sent[i].message.request);
    CHECK(f.router->counters().lateAnswers == 10);
    CHECK(f.router->inFlight() == 0);
}

TEST_CASE(
    "A request that did not run is retried at another minion, whether or not it is idempotent")
{
    RouterFixture f;
    f.start();
    const auto id = f.submit(false);
    REQUIRE(f.sent.size() == 1);
    f.answer(f.sent[0], Outcome::NotRun, 0, Step::Admit);
    REQUIRE(f.sent.size() == 2);
    CHECK(f.sent[1].agent != f.sent[0].agent);
    f.answer(f.sent[1], Outcome::NotRun, 0, Step::Admit);
    CHECK(f.problem(id).outcome == Outcome::NotRun);
    CHECK(f.problem(id).status == HttpStatus::ServiceUnavailable);
    CHECK(f.problem(id).retryAfter.has_value());
}

TEST_CASE("A request that may have run is retried only when it is idempotent")
{
    RouterFixture f;
    f.start();
    const bool idempotent = GENERATE(true, false);
    const auto id = f.submit(idempotent);
    f.answer(f.sent[0], Outcome::Unknown);
    if (idempotent) {
        REQUIRE(f.sent.size() == 2);
        f.answer(f.sent[1], Outcome::Ran, 200);
        CHECK(f.response(id).status == 200);
        return;
    }
    CHECK(f.sent.size() == 1);
    CHECK(f.problem(id).outcome == Outcome::Unknown);
    CHECK(f.problem(id).step == Step::Answer);
    CHECK(f.problem(id).peer == f.sent[0].agent);
}

TEST_CASE("A request is reported as not run only when none of its attempts may have run")
{
    RouterFixture f;
    f.start();
    const auto id = f.submit(true);
    f.answer(f.sent[0], Outcome::Unknown);
    f.answer(f.sent.at(1), Outcome::NotRun, 0, Step::Admit);
    CHECK(f.problem(id).outcome == Outcome::Unknown);
}

TEST_CASE("A request without an answer by the deadline is cancelled and its outcome is unknown")
{
    RouterFixture f;
    f.start();
    const auto id = f.submit(false);
    CHECK(f.sent[0].message.timeRemaining < 2s);
    f.advanceTime(2s);
    CHECK(f.problem(id).outcome == Outcome::Unknown);
    CHECK(f.problem(id).status == HttpStatus::GatewayTimeout);
    CHECK(f.problem(id).peer == f.sent[0].agent);
    CHECK(f.cancelled == std::vector<std::string>{f.sent[0].message.request});
    f.answer(f.sent[0], Outcome::Ran, 200);
    CHECK(f.answers.size() == 1);
}

TEST_CASE("Each attempt carries the remaining time")
{
    RouterFixture f;
    f.start();
    f.submit(true);
    f.advanceTime(500ms);
    f.answer(f.sent[0], Outcome::NotRun, 0, Step::Admit);
    REQUIRE(f.sent.size() == 2);
    CHECK(f.sent[1].message.timeRemaining <= f.sent[0].message.timeRemaining - 500ms);
}

TEST_CASE("An unreachable agent is skipped, and a request is not run when no agent is reachable")
{
    RouterFixture f;
    f.start();
    f.unreachable = {"agent-1"};
    for (int i = 0; i < 20; ++i) {
        const auto id = f.submit(false);
        f.answer(f.sent.back(), Outcome::Ran, 200);
        CHECK(f.response(id).status == 200);
    }
    f.unreachable = {"agent-1", "agent-2"};
    const auto id = f.submit(false);
    CHECK(f.problem(id).outcome == Outcome::NotRun);
}

TEST_CASE("A minion is selected for a retry when its agent has become reachable again")
{
    RouterFixture f;
    f.start();
    f.unreachable = {"agent-2"};
    const auto id = f.submit(true);
    f.unreachable.clear();
    f.answer(f.sent.at(0), Outcome::Unknown);
    REQUIRE(f.sent.size() == 2);
    CHECK(f.sent[1].agent == "agent-2");
    f.answer(f.sent[1], Outcome::Ran, 200);
    CHECK(f.response(id).status == 200);
}

TEST_CASE("Retries are limited by their budget")
{
    RouterFixture f;
    f.settings.retryBudget = {.share = 0.1, .minimumPerSecond = 1.0, .maximumBalance = 10.0};
    f.settings.table.outlier.consecutiveFailures = 1'000'000;
    f.start();
    for (int i = 0; i < 200; ++i) {
        f.submit(true);
        while (f.router->inFlight() > 0)
            f.answer(f.sent.back(), Outcome::Unknown);
    }
    CHECK(f.router->counters().retries >= 20);
    CHECK(f.router->counters().retries <= 22);
}

TEST_CASE("A slow idempotent request is hedged once, a non-idempotent request never")
{
    RouterFixture f;
    f.start();
    for (int i = 0; i < 50; ++i) {
        f.submit(true);
        f.clock.advance(1ms);
        f.answer(f.sent.back(), Outcome::Ran, 200);
    }
    f.sent.clear();
    const bool idempotent = GENERATE(true, false);
    const auto id = f.submit(idempotent);
    f.advanceTime(1s);
    if (!idempotent) {
        CHECK(f.sent.size() == 1);
        return;
    }
    REQUIRE(f.sent.size() == 2);
    CHECK(f.sent[0].agent != f.sent[1].agent);
    f.answer(f.sent[1], Outcome::Ran, 200);
    CHECK(f.response(id).body == f.sent[1].message.request);
    CHECK(f.cancelled == std::vector<std::string>{f.sent[0].message.request});
}

TEST_CASE("Hedges are limited by their budget")
{
    RouterFixture f;
    f.settings.hedgeBudget = {.share = 0.05, .minimumPerSecond = 1.0, .maximumBalance = 10.0};
    f.start();
    for (int i = 0; i < 10; ++i) {
        f.submit(true);
        f.answer(f.sent.back(), Outcome::Ran, 200);
    }
    for (int i = 0; i < 100; ++i)
        f.submit(true);
    f.advanceTime(500ms);
    CHECK(f.router->counters().hedges >= 5);
    CHECK(f.router->counters().hedges <= 8);
}

TEST_CASE("Attempts at an earlier incarnation of an agent fail, and stale answers are ignored")
{
    RouterFixture f;
    f.start();
    const auto once = f.submit(false);
    const Testing::RouterFixture::Sent attempt = f.sent[0];
    f.sendHeartbeat(attempt.agent, 2);
    CHECK(f.problem(once).outcome == Outcome::Unknown);
    CHECK(f.problem(once).peer == attempt.agent);

    const auto again = f.submit(false);
    auto stale = f.sent.back();
    stale.incarnation += 7;
    const std::size_t before = f.sent.size();
    f.answer(stale, Outcome::NotRun);
    CHECK_FALSE(f.answers.contains(again));
    CHECK(f.sent.size() == before);
}

TEST_CASE("Idempotent requests at a silent agent or a lapsed minion are retried elsewhere")
{
    RouterFixture f;
    f.start();
    const auto id = f.submit(true);
    const auto first = f.sent[0];
    const std::string other = first.agent == "agent-1" ? "agent-2" : "agent-1";
    if (GENERATE(true, false)) {
        f.advanceTime(1700ms, {other});
    } else {
        f.sendHeartbeat(first.agent, 1, MinionState::Lapsed);
        f.advanceTime(200ms, {other});
    }
    REQUIRE(f.sent.size() == 2);
    CHECK(f.sent[1].agent == other);
    f.answer(first, Outcome::Ran, 200);
    CHECK(f.response(id).body == first.message.request);
}

TEST_CASE("The attempts of a disconnected caller are cancelled, and it gets no answer")
{
    RouterFixture f;
    f.start();
    const auto id = f.submit(false);
    f.router->callerDisconnected(id);
    CHECK(f.cancelled.size() == 1);
    CHECK(f.router->inFlight() == 0);
    f.answer(f.sent[0], Outcome::Ran, 200);
    CHECK(f.answers.empty());
}

TEST_CASE("A request refused because of the in-flight limit or the gate is reported as not run")
{
    RouterFixture f;
    f.settings.maxInFlight = 1;
    bool stale = false;
    f.settings.gate = [&]() -> Result<void> {
        if (stale)
            return fail(Failure::StaleConfiguration, Step::Apply, "entry-1", "It is stale.");
        return {};
    };
    f.start();
    f.submit(true);
    CHECK(f.problem(f.submit(true)).step == Step::Accept);
    f.answer(f.sent[0], Outcome::Ran, 200);
    stale = true;
    const auto refused = f.submit(true);
    CHECK(f.problem(refused).outcome == Outcome::NotRun);
    CHECK(f.problem(refused).step == Step::Apply);
    CHECK(f.problem(refused).retryAfter.has_value());
    CHECK(f.sent.size() == 1);
}

TEST_CASE("An unknown service gives 404, a recorded service without minions gives 503")
{
    RouterFixture f;
    f.settings.hasServiceRecord = [](const std::string &service) { return service == "recorded"; };
    f.start();
    for (const auto &[service, status] : std::map<std::string, unsigned>{
             {"nobody", HttpStatus::NotFound}, {"recorded", HttpStatus::ServiceUnavailable}}) {
        std::optional<CallerResponse> answer;
        CallerRequest request;
        request.service = service;
        request.timeout = 1s;
        f.router->submit(request, [&](CallerResponse given) { answer = std::move(given); });
        REQUIRE(answer.has_value());
        CHECK(std::get<RequestProblem>(*answer).status == status);
        CHECK(std::get<RequestProblem>(*answer).outcome == Outcome::NotRun);
    }
}

TEST_CASE(
    "With lost, late, duplicated or wrong answers, each request ends once with a correct outcome")
{
    for (unsigned seed = 1; seed <= 30; ++seed) {
        std::mt19937 random(seed);
        RouterFixture f;
        f.start();
        std::map<RequestId, bool> idempotent;
        std::map<std::string, int> runs;
        std::set<std::string> refused;
        std::size_t seen = 0;
        std::vector<RouterFixture::Sent> open;
        for (int step = 0; step < 400; ++step) {
            if (random() % 3 == 0) {
                const bool safe = random() % 2 == 0;
                const std::string body = std::to_string(idempotent.size() + 1);
                idempotent[f.submit(safe, {}, body)] = safe;
            }
            for (; seen < f.sent.size(); ++seen)
                open.push_back(f.sent[seen]);
            if (!open.empty()) {
                const std::size_t pick = random() % open.size();
                const auto attempt = open[pick];
                const auto fate = random() % 6;
                const bool ranBefore = runs.contains(attempt.message.request);
                if (fate == 0 && !ranBefore) {
                    // A refused attempt never runs later.
                    refused.insert(attempt.message.request);
                    f.answer(attempt, Outcome::NotRun, 0, Step::Admit);
                } else if (fate == 1) {
                    runs[attempt.message.request] += ranBefore || random() % 2 == 0 ? 0 : 1;
                    f.answer(attempt, Outcome::Unknown);
                } else if (fate >= 3 && !refused.contains(attempt.message.request)) {
                    runs[attempt.message.request] = 1;
                    f.answer(attempt, Outcome::Ran, 200);
                }
                if (fate != 5)
                    open.erase(open.begin() + static_cast<std::ptrdiff_t>(pick));
            }
            if (random() % 10 == 0)
                f.advanceTime(10ms);
        }
        f.advanceTime(2500ms);
        CHECK(f.router->inFlight() == 0);
        CHECK(f.answers.size() == idempotent.size());
        std::map<std::string, int> runsOf;
        for (const auto &attempt : f.sent)
            runsOf[attempt.message.body] += runs[attempt.message.request];
        for (const auto &[id, answer] : f.answers) {
            const int count = runsOf[std::to_string(id)];
            const auto *problem = std::get_if<RequestProblem>(&answer);
            CHECK((idempotent[id] || count <= 1));
            CHECK((!problem || problem->outcome != Outcome::NotRun || count == 0));
            CHECK((problem || count >= 1));
        }
    }
}
