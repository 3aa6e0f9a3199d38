#include "Routing/requestadmission.h"

#include <catch2/catch.hpp>

#include <map>

using namespace Oleander;
using namespace std::chrono_literals;

namespace {

struct Fixture : AdmissionPort
{
    ManualClock clock;
    RequestAdmissionSettings settings{.agent = "agent-1"};
    std::vector<std::string> runs;
    std::vector<std::string> aborted;
    std::map<std::string, std::vector<RequestAnswer>> answers;
    RequestAdmission admission{clock, settings, *this};
    std::uint64_t sequence = 0;

    void run(const std::string &, RequestDispatch message, Duration) override
    {
        runs.push_back(message.request);
    }
    void abort(const std::string &, const std::string &request) override
    {
        aborted.push_back(request);
    }
    void answer(const std::string &, RequestAnswer answer) override
    {
        answers[answer.request].push_back(answer);
    }

    void announce(std::uint32_t slots, std::uint32_t connections,
                  std::optional<std::uint32_t> busy = std::nullopt)
    {
        REQUIRE(
            admission.announce({"m", "notices", "127.0.0.1:1", {slots, connections}, 2s, busy}));
    }
    std::string send(Duration remaining = 10s)
    {
        return send(AttemptId{"entry-1", 1, ++sequence}.text(), remaining);
    }
    std::string send(const std::string &name, Duration remaining = 10s)
    {
        RequestDispatch message;
        message.request = name;
        message.minion = "m";
        message.timeRemaining = remaining;
        admission.dispatch("entry-1", message);
        return name;
    }
    Outcome outcome(const std::string &name)
    {
        REQUIRE(answers[name].size() == 1);
        return answers[name][0].outcome;
    }
    void finish(const std::string &name)
    {
        RequestAnswer whole;
        whole.status = 200;
        admission.finished(name, whole);
    }
};

} // namespace

TEST_CASE("A duplicated attempt runs once, also when a copy arrives after its answer")
{
    Fixture f;
    f.announce(8, 64);
    const auto name = f.send();
    f.send(name);
    f.finish(name);
    f.send(name);
    CHECK(f.runs == std::vector<std::string>{name});
    CHECK(f.answers[name].size() == 1);
}

TEST_CASE("An attempt whose cancel arrives first does not run")
{
    Fixture f;
    f.announce(8, 64);
    f.admission.cancel({"entry-1/1/5"});
    f.send("entry-1/1/5");
    CHECK(f.runs.empty());
}

TEST_CASE("Cancelling removes an attempt from the queue or its slot and discards its late answer")
{
    Fixture f;
    f.announce(1, 64);
    const auto running = f.send();
    const auto queued = f.send();
    const auto last = f.send();
    f.admission.cancel({queued});
    f.admission.cancel({running});
    CHECK(f.aborted == std::vector<std::string>{running});
    CHECK(f.runs == std::vector<std::string>{running, last});
    f.finish(running);
    CHECK(f.answers[running].empty());
    CHECK(f.admission.running() == 1);
}

TEST_CASE("Requests beyond the slot and connection limits are refused as not run")
{
    Fixture f;
    f.announce(1, 2);
    f.send();
    const auto queued = f.send();
    CHECK(f.outcome(f.send()) == Outcome::NotRun);
    CHECK(f.outcome(f.send(0s)) == Outcome::NotRun);
    CHECK(f.admission.minions().at(0).running == 1);
    CHECK(f.admission.minions().at(0).queued == 1);
    CHECK(f.answers[queued].empty());
}

TEST_CASE("A request that expires in the queue is answered as not run")
{
    Fixture f;
    f.announce(1, 64);
    f.send();
    const auto late = f.send(50ms);
    f.clock.advance(60ms);
    f.admission.tick();
    CHECK(f.outcome(late) == Outcome::NotRun);
    CHECK(f.runs.size() == 1);
}

TEST_CASE("A failed call is reported as not run only when no byte may have been sent")
{
    Fixture f;
    f.announce(8, 64);
    const auto refused = f.send();
    const auto cut = f.send();
    f.admission.failed(refused, Outcome::NotRun, Step::Send, "refused");
    f.admission.failed(cut, Outcome::Unknown, Step::Answer, "cut");
    CHECK(f.outcome(refused) == Outcome::NotRun);
    CHECK(f.outcome(cut) == Outcome::Unknown);
    CHECK(f.answers[cut][0].status == 0);
    CHECK(f.answers[cut][0].peer == "m");
}

TEST_CASE(
    "A minion that is withdrawn or lapses gets no new requests and completes its running ones")
{
    Fixture f;
    f.announce(1, 64);
    const auto running = f.send();
    const auto queued = f.send();
    int changes = 0;
    f.admission.onMinionsChanged([&] { ++changes; });
    if (GENERATE(true, false)) {
        REQUIRE(f.admission.withdraw("m"));
        CHECK(f.admission.minions().at(0).state == MinionState::Draining);
    } else {
        f.clock.advance(2s);
        f.admission.tick();
        CHECK(f.admission.minions().at(0).state == MinionState::Lapsed);
    }
    CHECK(changes == 1);
    CHECK(f.outcome(queued) == Outcome::NotRun);
    CHECK(f.outcome(f.send()) == Outcome::NotRun);
    f.finish(running);
    CHECK(f.outcome(running) == Outcome::Ran);
    CHECK(f.runs.size() == 1);
    f.announce(1, 64);
    f.send();
    CHECK(f.runs.size() == 2);
}

TEST_CASE("Requests from before the agent's start and aborted requests keep occupying their slots")
{
    Fixture f;
    f.announce(2, 64, 1);
    const auto first = f.send();
    f.send();
    CHECK(f.runs.size() == 1);
    f.announce(2, 64, 1);
    CHECK(f.runs.size() == 2);
    f.admission.cancel({first});
    f.send();
    CHECK(f.runs.size() == 2);
    f.announce(2, 64, 2);
    CHECK(f.runs.size() == 2);
    f.announce(2, 64, 1);
    CHECK(f.runs.size() == 3);
}

TEST_CASE("An attempt with an invalid id, an unknown minion or a closed gate is refused as not run")
{
    Fixture f;
    f.announce(8, 64);
    CHECK(f.outcome(f.send("entry-2/1/1")) == Outcome::NotRun);
    CHECK(f.outcome(f.send("nonsense")) == Outcome::NotRun);
    RequestDispatch message;
    message.request = "entry-1/1/900";
    message.minion = "other";
    message.timeRemaining = 1s;
    f.admission.dispatch("entry-1", message);
    CHECK(f.outcome("entry-1/1/900") == Outcome::NotRun);
    CHECK(f.runs.empty());

    Fixture gated;
    bool isOpen = false;
    gated.settings.gate = [&] {
        if (isOpen)
            return Result<void>();
        return Result<void>(fail(Failure::StaleConfiguration, Step::Apply, "agent-1", "stale"));
    };
    RequestAdmission admission(gated.clock, gated.settings, gated);
    REQUIRE(admission.announce({"m", "notices", "127.0.0.1:1", {8, 64}, 2s, std::nullopt}));
    message.minion = "m";
    admission.dispatch("entry-1", message);
    CHECK(gated.outcome("entry-1/1/900") == Outcome::NotRun);
    CHECK(gated.runs.empty());
    // The minion is reported as serving only when its requests would be admitted.
    CHECK(admission.minions().at(0).state == MinionState::Draining);
    isOpen = true;
    CHECK(admission.minions().at(0).state == MinionState::Serving);
}

TEST_CASE("Minions that announce themselves while their agent shuts down get no new requests")
{
    Fixture f;
    f.announce(8, 64);
    const auto running = f.send();
    f.admission.withdrawAll();
    f.announce(8, 64);
    CHECK(f.admission.minions().at(0).state == MinionState::Draining);
    CHECK(f.outcome(f.send()) == Outcome::NotRun);
    CHECK(f.runs.size() == 1);
    f.finish(running);
    CHECK(f.outcome(running) == Outcome::Ran);
}
