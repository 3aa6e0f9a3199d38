#pragma once

#include "Routing/claimtable.h"
#include "Routing/duplicatetable.h"
#include "Routing/router.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Oleander::Testing {

using namespace std::chrono_literals;

/** Router with a manual clock and simulated agents that record the messages sent to them. */
struct RouterFixture : RouterPort
{
    struct Sent
    {
        std::string agent;
        std::uint64_t incarnation = 0;
        RequestDispatch message;
    };

    ManualClock clock;
    RouterSettings settings;
    std::unique_ptr<Router> router;
    std::vector<Sent> sent;
    std::vector<std::string> cancelled;
    std::set<std::string> unreachable;
    std::map<RequestId, CallerResponse> answers;
    std::uint64_t stamp = 0;

    RouterFixture()
    {
        settings.entry = "entry-1";
        settings.location = {"south", "a", "r1"};
        settings.claims.entry = "entry-1";
    }

    Router &start()
    {
        router = std::make_unique<Router>(clock, settings, *this);
        sendHeartbeat("agent-1");
        sendHeartbeat("agent-2");
        return *router;
    }

    Result<void> dispatch(const std::string &agent, std::uint64_t incarnation,
                          RequestDispatch message) override
    {
        if (unreachable.contains(agent))
            return fail(Failure::Unavailable, Step::Send, agent, "No connection stands.");
        sent.push_back({agent, incarnation, std::move(message)});
        return {};
    }
    void cancel(const std::string &, std::uint64_t, RequestCancel message) override
    {
        cancelled.push_back(message.request);
    }

    void sendHeartbeat(const std::string &agent, std::uint64_t incarnation = 1,
                       MinionState state = MinionState::Serving)
    {
        Heartbeat heartbeat;
        heartbeat.stamp = ++stamp;
        heartbeat.location = settings.location;
        heartbeat.minions.push_back({"m", "notices", state, 8, 64, 0, 0});
        router->heartbeat(agent, incarnation, heartbeat);
    }

    /** Advances the clock in steps of 10 ms, each with a heartbeat of the agents in \a alive. */
    void advanceTime(Duration time, const std::vector<std::string> &alive = {"agent-1", "agent-2"})
    {
        for (Duration done{}; done < time; done += 10ms) {
            clock.advance(10ms);
            for (const auto &agent : alive)
                sendHeartbeat(agent);
            router->tick();
        }
    }

    RequestId submit(bool idempotent, std::string key = {}, std::string body = {})
    {
        CallerRequest request;
        request.service = "notices";
        request.method = idempotent ? "GET" : "POST";
        request.path = "/x";
        request.timeout = 2s;
        request.idempotent = idempotent;
        request.idempotencyKey = std::move(key);
        request.body = std::move(body);
        auto id = std::make_shared<RequestId>(0);
        std::optional<CallerResponse> early;
        *id = router->submit(std::move(request), [this, id, &early](CallerResponse answer) {
            if (*id == 0) {
                early = std::move(answer);
                return;
            }
            CHECK_FALSE(answers.contains(*id));
            answers.emplace(*id, std::move(answer));
        });
        if (early)
            answers.emplace(*id, std::move(*early));
        return *id;
    }

    void answer(const Sent &attempt, Outcome outcome, std::uint32_t status = 0,
                Step step = Step::Answer)
    {
        RequestAnswer message;
        message.request = attempt.message.request;
        message.outcome = outcome;
        message.status = status;
        message.step = step;
        message.peer = attempt.agent;
        message.body = attempt.message.request;
        router->answered(attempt.agent, attempt.incarnation, std::move(message));
    }

    /** Applies all queued claims and finishes to \a table. */
    void commit(ClaimTable &table)
    {
        while (auto proposal = router->claims().takeProposal())
            router->claims().proposalDone(proposal->id, table.apply(proposal->batch));
    }

    const RequestProblem &problem(RequestId id)
    {
        REQUIRE(answers.contains(id));
        REQUIRE(std::holds_alternative<RequestProblem>(answers.at(id)));
        return std::get<RequestProblem>(answers.at(id));
    }
    const MinionResponse &response(RequestId id)
    {
        REQUIRE(answers.contains(id));
        REQUIRE(std::holds_alternative<MinionResponse>(answers.at(id)));
        return std::get<MinionResponse>(answers.at(id));
    }
};

} // namespace Oleander::Testing
