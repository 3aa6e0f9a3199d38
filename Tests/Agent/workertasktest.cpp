#include "Agent/workertask.h"

#include "Support/rununtil.h"

#include <catch2/catch.hpp>

using namespace Oleander;

namespace {

constexpr std::size_t Tasks = 60;
/** Number of starts that a WorkerTask has under way at once. */
constexpr std::size_t StartsAtOnce = 8;

/** A scripted worker, the WorkerTask of its agent, and a leader. */
struct WorkerFixture
{
    EventLoop loop;
    Messenger leader{loop, "entry-1", 1};
    Messenger agent{loop, "agent-1", 1};
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<WorkerTask> task;
    std::vector<std::string> calls;
    std::vector<std::shared_ptr<HttpExchange>> heldStarts;
    std::size_t frames = 0;
    /** True once the leader has received a frame of the agent. */
    bool isConnected = false;
    bool answersStarts = false;

    WorkerFixture()
    {
        server = std::make_unique<HttpServer>(
            loop, HttpLimits{},
            [this](const std::shared_ptr<HttpExchange> &exchange) { handle(exchange); });
        const auto address = server->listen("127.0.0.1:0");
        REQUIRE(address.has_value());
        WorkerTaskOptions options;
        options.address = *address;
        task = std::make_unique<WorkerTask>(loop, agent, options);
        const auto link = leader.listen("127.0.0.1:0");
        REQUIRE(link.has_value());
        agent.frameReceived.connect([this](const Sender &) { ++frames; });
        agent.addPeer("entry-1", *link);
        leader.frameReceived.connect([this](const Sender &) { isConnected = true; });
        runUntil([&] {
            static_cast<void>(agent.send("entry-1", TaskReport{}));
            return isConnected && task->isReady();
        });
        task->recordHeartbeat(1);
        send(HeartbeatReply{1, std::chrono::seconds(60), "entry-1", 1});
        runUntil([&] { return count("PUT /lease") == 1; });
    }

    void handle(const std::shared_ptr<HttpExchange> &exchange)
    {
        const HttpRequest &request = exchange->request();
        const bool isStart = request.method == "PUT" && request.path.starts_with("/tasks/");
        calls.push_back(request.method + ' ' + request.path);
        if (isStart && !answersStarts)
            return heldStarts.push_back(exchange);
        exchange->respond({200, {}, request.method == "GET" ? "[]" : "{}"});
    }

    void send(Message message)
    {
        const auto sent = leader.send("agent-1", std::move(message));
        REQUIRE(sent);
    }

    void sendOrder(const std::string &name, TaskAction action)
    {
        TaskOrder order;
        order.task = name;
        order.attempt = 1;
        order.action = action;
        order.session = 1;
        order.stamp = 1;
        send(std::move(order));
    }

    std::size_t count(const std::string &prefix) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            calls, [&](const std::string &call) { return call.starts_with(prefix); }));
    }

    /** Number of starts that the worker received before its first call \a name. */
    std::size_t startsBefore(const std::string &name) const
    {
        const auto end = std::ranges::find(calls, name);
        return static_cast<std::size_t>(
            std::count_if(calls.begin(), end,
                          [](const std::string &call) { return call.starts_with("PUT /tasks/"); }));
    }

    /** Waits for frame number \a received of the agent, then answers starts until \a call came. */
    void answerUntil(std::size_t received, const std::string &call)
    {
        runUntil([&] { return frames == received; });
        answersStarts = true;
        runUntil([&] {
            for (const auto &exchange : std::exchange(heldStarts, {}))
                exchange->respond({200, {}, "{}"});
            return count(call) > 0;
        });
    }

    void runUntil(const std::function<bool()> &done) { Testing::runUntil(loop, done); }
};

} // namespace

TEST_CASE("Neither a stop nor a lease waits for starts that the worker leaves unanswered")
{
    WorkerFixture fixture;
    for (std::size_t i = 0; i < Tasks; ++i)
        fixture.sendOrder("t-" + std::to_string(i), TaskAction::Start);
    fixture.runUntil([&] { return fixture.heldStarts.size() == StartsAtOnce; });
    fixture.runUntil([&] { return fixture.frames == Tasks + 1; });
    fixture.calls.clear();
    const bool isStop = GENERATE(true, false);
    if (isStop) {
        fixture.sendOrder("other", TaskAction::Stop);
    } else {
        fixture.task->recordHeartbeat(2);
        fixture.send(HeartbeatReply{2, std::chrono::seconds(60), "entry-1", 1});
    }
    const std::string call = isStop ? "DELETE /tasks/other" : "PUT /lease";
    fixture.answerUntil(Tasks + 2, call);
    CHECK(fixture.startsBefore(call) < Tasks - StartsAtOnce);
}

TEST_CASE("A start that waits for a connection to the worker is dropped once its task is to stop")
{
    WorkerFixture fixture;
    for (std::size_t i = 0; i < Tasks; ++i)
        fixture.sendOrder("t-" + std::to_string(i), TaskAction::Start);
    fixture.runUntil([&] { return fixture.heldStarts.size() == StartsAtOnce; });
    fixture.runUntil([&] { return fixture.frames == Tasks + 1; });
    for (std::size_t i = 0; i < Tasks; ++i)
        fixture.sendOrder("t-" + std::to_string(i), TaskAction::Stop);
    fixture.answerUntil(2 * Tasks + 1, "DELETE /tasks/t-");
    fixture.runUntil([&] { return fixture.count("DELETE /tasks/t-") >= Tasks; });
    CHECK(fixture.count("PUT /tasks/") == StartsAtOnce);
}
