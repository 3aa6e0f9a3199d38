#include "Entry/operatorserver.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Oleander;
using Catch::Matchers::Contains;
using nlohmann::json;

namespace {

/** HTTP exchange that stores its response for the test. */
class FakeExchange final : public HttpExchange
{
public:
    explicit FakeExchange(HttpRequest request) : request_(std::move(request)) {}

    const HttpRequest &request() const override { return request_; }
    void respond(HttpResponse response) override
    {
        REQUIRE_FALSE(answered);
        answered = true;
        answer = std::move(response);
    }
    bool isClosed() const override { return false; }
    void onClosed(std::function<void()>) override {}

    bool answered = false;
    HttpResponse answer;

private:
    HttpRequest request_;
};

const std::string Batch = R"({"schema":1,"team":"t","cores":1,"memory-gib":1,"command":"c"})";
const std::string Values = R"({"schema":2,"values":{"x":"1"}})";

/** Operator server whose log commits immediately, or fails with \a failure if that is set. */
struct Fixture
{
    EventLoop loop;
    State::ControlState state;
    std::uint64_t index = 0;
    std::optional<Error> failure;
    ConfigurationRollout rollout;
    OperatorServer server{loop, state, {}, dependencies()};

    OperatorServerDependencies dependencies()
    {
        return {"entry-1",
                [this](const std::string &command, const ReplicaTask::ProposeCallback &done) {
                    if (failure)
                        done(tl::make_unexpected(*failure));
                    else
                        done(state.apply(++index, command));
                },
                [this](const ReplicaTask::ReadCallback &done) {
                    if (failure)
                        done(tl::make_unexpected(*failure));
                    else
                        done({});
                },
                [] { return ReplicaStatus{}; }, [this] { return rollout; }};
    }

    std::shared_ptr<FakeExchange> send(const std::string &method, const std::string &path,
                                       const std::string &body = {},
                                       std::vector<HeaderField> headers = {},
                                       const std::string &query = {})
    {
        HttpRequest request;
        request.method = method;
        request.path = path;
        request.query = query;
        request.body = body;
        request.headers = std::move(headers);
        request.headers.push_back({"Oleander-Operator", "anna"});
        auto exchange = std::make_shared<FakeExchange>(std::move(request));
        server.handle(exchange);
        return exchange;
    }
    json answerTo(unsigned status, const std::string &method, const std::string &path,
                  const std::string &body = {}, std::vector<HeaderField> headers = {},
                  const std::string &query = {})
    {
        const auto exchange = send(method, path, body, std::move(headers), query);
        REQUIRE(exchange->answered);
        INFO(exchange->answer.body);
        CHECK(exchange->answer.status == status);
        return json::parse(exchange->answer.body);
    }
};

} // namespace

TEST_CASE("A record is submitted, shown, listed and withdrawn, and the events report its changes")
{
    Fixture fixture;
    const auto created = fixture.answerTo(201, "PUT", "/v1/records/batch/a", Batch);
    CHECK(created["result"] == "created");
    CHECK(created["revision"] == 1);
    const auto shown = fixture.answerTo(200, "GET", "/v1/records/batch/a");
    CHECK(shown["body"]
          == json::parse(R"({"schema":1,"team":"t","cores":1,"memory-gib":1,)"
                         R"("accelerators":0,"command":"c","urgent":false})"));
    CHECK(shown["outcome"]["tasks"].size() == 1);
    CHECK(fixture.answerTo(200, "GET", "/v1/records")["records"].size() == 1);
    CHECK(fixture.answerTo(200, "DELETE", "/v1/records/batch/a")["result"] == "withdrawn");
    CHECK(fixture.answerTo(200, "GET", "/v1/records")["records"].empty());
    const auto all =
        fixture.answerTo(200, "GET", "/v1/records", {}, {}, "withdrawn=yes&kind=batch");
    CHECK(all["records"].size() == 1);
    const auto events = fixture.answerTo(200, "GET", "/v1/events", {}, {}, "after=1");
    CHECK(events["newest"].get<std::uint64_t>() >= 2);
    CHECK(events["events"].front()["number"] == 2);
    CHECK(fixture.answerTo(200, "GET", "/v1/status")["entry"] == "entry-1");
}

TEST_CASE("A withdrawn service counts as stopping until its last replica has stopped")
{
    Fixture fixture;
    const std::string service =
        R"({"schema":1,"team":"t","cores":1,"memory-gib":1,"replicas":2,"command":"c"})";
    fixture.answerTo(201, "PUT", "/v1/records/service/s", service);
    const auto &tasks = fixture.state.tasks().tasks();
    REQUIRE(tasks.size() == 2);
    const auto apply = [&](const Placement::TaskCommand &command) {
        fixture.state.apply(++fixture.index, State::encodeCommand(command));
    };
    apply(
        Placement::RegisterWorker{"w1", {}, {4000, 8192, 0}, std::chrono::seconds(3), WallTime{}});
    const auto id = tasks.begin()->first;
    apply(Placement::PlaceTasks{{{id, 1, "w1", fixture.state.tasks().worker("w1")->session}}, {}});
    REQUIRE(tasks.begin()->second.live.has_value());
    fixture.answerTo(200, "DELETE", "/v1/records/service/s");
    const auto shown = fixture.answerTo(200, "GET", "/v1/records/service/s");
    CHECK(shown["outcome"]["state"] == "stopping");
}

TEST_CASE("The loser of a race gets the current record and its author")
{
    Fixture fixture;
    fixture.send("PUT", "/v1/records/batch/a", Batch);
    fixture.send("PUT", "/v1/records/batch/a", Batch, {{"If-Match", "\"1\""}});
    const auto lost =
        fixture.answerTo(409, "PUT", "/v1/records/batch/a", Batch, {{"If-Match", "1"}});
    CHECK(lost["result"] == "conflict");
    CHECK(lost["outcome"] == "not-run");
    CHECK(lost["record"]["revision"] == 2);
    CHECK(lost["record"]["author"] == "anna");
    CHECK_THAT(lost["detail"].get<std::string>(), Contains("written by anna"));
}

TEST_CASE("A resend with the same idempotency key gets the first answer")
{
    Fixture fixture;
    const std::vector<HeaderField> key{{"Idempotency-Key", "k"}};
    fixture.answerTo(201, "PUT", "/v1/records/batch/a", Batch, key);
    const auto again = fixture.answerTo(201, "PUT", "/v1/records/batch/a", Batch, key);
    CHECK(again["replayed"] == true);
    CHECK(again["index"] == 1);
}

TEST_CASE("A bulk withdrawal returns a result for each of its records")
{
    Fixture fixture;
    fixture.send("PUT", "/v1/records/batch/a", Batch);
    const auto bulk =
        fixture.answerTo(200, "POST", "/v1/withdrawals", R"({"records":["batch/a","batch/b"]})");
    CHECK(bulk["accepted"] == 1);
    CHECK(bulk["refused"] == 1);
    CHECK(bulk["results"][1]["result"] == "missing");
}

TEST_CASE("Invalid requests are refused before anything is committed")
{
    Fixture fixture;
    const auto refused = [&](unsigned status, const std::string &method, const std::string &path,
                             const std::string &body, std::vector<HeaderField> headers = {},
                             const std::string &query = {}) {
        const auto answer = fixture.answerTo(status, method, path, body, std::move(headers), query);
        CHECK(answer["outcome"] == "not-run");
        CHECK(answer["step"] == "receive");
        return answer["detail"].get<std::string>();
    };
    CHECK_THAT(refused(400, "PUT", "/v1/records/job/a", Batch), Contains("'job'"));
    CHECK_THAT(refused(400, "PUT", "/v1/records/batch/a", "{}"), Contains("'schema' is missing"));
    CHECK_THAT(refused(400, "PUT", "/v1/records/batch/a", Batch, {{"If-Match", "x"}}),
               Contains("If-Match"));
    CHECK_THAT(refused(400, "PUT", "/v1/records/configuration/system",
                       R"({"schema":2,"values":{"events-kept":"few"}})"),
               Contains("system/events-kept") && Contains("few"));
    CHECK_THAT(refused(400, "GET", "/v1/events", "", {}, "since=1"), Contains("since"));
    CHECK_THAT(refused(400, "POST", "/v1/withdrawals", R"({"records":["a"]})"),
               Contains("<kind>/<name>"));
    const std::string nested = std::string(1'000, '[') + std::string(1'000, ']');
    CHECK_THAT(refused(400, "POST", "/v1/withdrawals", R"({"records":[)" + nested + "]}"),
               Contains("nested"));
    CHECK_THAT(refused(404, "GET", "/v1/nothing", ""), Contains("/v1/nothing"));
    CHECK_THAT(refused(405, "DELETE", "/v1/events", ""), Contains("GET"));
    CHECK(fixture.index == 0);
}

TEST_CASE("The answer states whether a failed command may still take effect")
{
    Fixture fixture;
    fixture.failure = makeError(Failure::Unavailable, Step::Commit, "entry-2", "No leader.");
    auto answer = fixture.answerTo(503, "PUT", "/v1/records/batch/a", Batch);
    CHECK(answer["outcome"] == "not-run");
    CHECK(answer["peer"] == "entry-2");
    fixture.failure = makeError(Failure::Unknown, Step::Commit, "entry-2", "The leader went.");
    answer = fixture.answerTo(504, "PUT", "/v1/records/batch/a", Batch);
    CHECK(answer["outcome"] == "unknown");
}

TEST_CASE("A read fails if the read barrier fails")
{
    Fixture fixture;
    fixture.failure = makeError(Failure::Unavailable, Step::Commit, "", "Cut off.");
    fixture.answerTo(503, "GET", "/v1/records");
}

TEST_CASE("A configuration change is answered when it is in force everywhere, or with the missing "
          "processes")
{
    Fixture fixture;
    fixture.rollout = {0, true, {"entry-1"}, {"agent-1"}, {}};

    SECTION("without a wait the answer is immediate")
    {
        const auto answer = fixture.answerTo(201, "PUT", "/v1/records/configuration/c", Values);
        CHECK(answer["configuration"]["in-force-everywhere"] == false);
    }
    SECTION("with a wait the answer is sent when the last process has the configuration")
    {
        const auto exchange =
            fixture.send("PUT", "/v1/records/configuration/c", Values, {}, "wait-ms=60000");
        CHECK_FALSE(exchange->answered);
        Timer later(fixture.loop, [&] {
            fixture.rollout = {1, true, {"entry-1", "agent-1"}, {}, {}};
        });
        later.startOnce(std::chrono::milliseconds(20));
        Timer poll(fixture.loop, [&] {
            if (exchange->answered)
                fixture.loop.stop();
        });
        poll.startEvery(std::chrono::milliseconds(10));
        fixture.loop.run();
        const auto answer = json::parse(exchange->answer.body);
        CHECK(answer["configuration"]["in-force-everywhere"] == true);
    }
    SECTION("at the end of the wait the answer names the missing processes")
    {
        fixture.rollout.version = 1;
        const auto exchange =
            fixture.send("PUT", "/v1/records/configuration/c", Values, {}, "wait-ms=30");
        Timer poll(fixture.loop, [&] {
            if (exchange->answered)
                fixture.loop.stop();
        });
        poll.startEvery(std::chrono::milliseconds(10));
        fixture.loop.run();
        const auto answer = json::parse(exchange->answer.body);
        CHECK(answer["configuration"]["in-force-everywhere"] == false);
        CHECK(answer["configuration"]["waiting-for"] == json::array({"agent-1"}));
        CHECK_THAT(answer["configuration"]["detail"].get<std::string>(), Contains("agent-1"));
    }
}
