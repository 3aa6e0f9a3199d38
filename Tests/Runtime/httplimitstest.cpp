#include "Runtime/httpbudget.h"
#include "Runtime/httpserver.h"
#include "Support/rununtil.h"
#include "Support/socket.h"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <sys/socket.h>

#include <algorithm>
#include <list>

using namespace Oleander;

namespace {

/** Client that sends without waiting and collects what it receives. */
class Client
{
public:
    explicit Client(const std::string &address) : socket_(Testing::Socket::connectedTo(address))
    {
        REQUIRE(socket_.valid());
        fcntl(socket_.descriptor(), F_SETFL, O_NONBLOCK);
    }

    void write(const std::string &bytes) { unsent_ += bytes; }
    /** Sends and receives what is possible; returns true while the connection is open. */
    bool poll()
    {
        const ssize_t sent =
            send(socket_.descriptor(), unsent_.data(), unsent_.size(), MSG_NOSIGNAL);
        if (sent > 0)
            unsent_.erase(0, static_cast<std::size_t>(sent));
        char buffer[4096];
        const ssize_t size = recv(socket_.descriptor(), buffer, sizeof buffer, 0);
        if (size > 0)
            answer_.append(buffer, static_cast<std::size_t>(size));
        isOpen_ = isOpen_ && size != 0 && (size > 0 || errno == EAGAIN);
        return isOpen_;
    }
    bool hasSent() const { return unsent_.empty(); }
    const std::string &answer() const { return answer_; }

private:
    Testing::Socket socket_;
    std::string unsent_;
    std::string answer_;
    bool isOpen_ = true;
};

std::string post(std::size_t bytes, const std::string &path = "/")
{
    return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bytes)
           + "\r\n\r\n";
}

struct Fixture
{
    explicit Fixture(HttpLimits limits = {}, std::uint64_t budgetBytes = 1U << 20U,
                     BodyFilter acceptsBody = {})
        : budget(std::make_shared<HttpBudget>(HttpSettings{.requestBudget = budgetBytes}))
        , server(loop, limits,
                 [this](const std::shared_ptr<HttpExchange> &exchange) {
                     ++handled;
                     if (isHolding)
                         held.push_back(exchange);
                     else
                         exchange->respond({200, {}, responseBody});
                 },
                 {budget, std::move(acceptsBody)})
        , address(*server.listen("127.0.0.1:0"))
    {}

    void runUntil(const std::function<bool()> &done) { Testing::runUntil(loop, done); }
    /** Sends \a request on a connection of its own and returns the answer. */
    std::string answerTo(const std::string &request)
    {
        Client client(address);
        client.write(request + "\r\n");
        runUntil([&] {
            return !client.poll() || client.answer().find("\r\n\r\n") != std::string::npos;
        });
        return client.answer();
    }
    std::uint64_t refusals(RefusalReason reason) { return budget->decisions().refusals(reason); }

    EventLoop loop;
    std::shared_ptr<HttpBudget> budget;
    std::string responseBody = "served";
    std::vector<std::shared_ptr<HttpExchange>> held;
    std::size_t handled = 0;
    bool isHolding = false;
    HttpServer server;
    std::string address;
};

const std::string PlainGet = "GET / HTTP/1.1\r\nHost: a\r\n";

bool isServed(const std::string &answer)
{
    return answer.starts_with("HTTP/1.1 200");
}

} // namespace

TEST_CASE("Bodies that stop one byte short hold no more than the budget")
{
    // Without the budget each of them is held until its idle timeout.
    constexpr std::size_t Body = 100'000;
    constexpr std::size_t Crowd = 30;
    Fixture f;
    std::list<Client> crowd;
    std::size_t peak = 0;
    for (std::size_t i = 0; i < Crowd; ++i) {
        Client &client = crowd.emplace_back(f.address);
        client.write(post(Body) + std::string(Body - 1, 'x'));
        f.runUntil([&] {
            peak = std::max(peak, f.budget->decisions().heldBytes());
            return !client.poll() || client.hasSent();
        });
    }
    f.runUntil([&] { return f.refusals(RefusalReason::Budget) > Crowd / 2; });
    CHECK(peak <= 1U << 20U);
    CHECK(f.handled == 0);
    CHECK(isServed(f.answerTo(PlainGet)));
    CHECK(isServed(f.answerTo(post(1) + "x")));
    auto refused = crowd.end();
    f.runUntil([&] {
        refused = std::ranges::find_if(
            crowd, [](Client &client) { return !client.poll() && !client.answer().empty(); });
        return refused != crowd.end();
    });
    CHECK(refused->answer().starts_with("HTTP/1.1 503"));
    CHECK(refused->answer().find("not-run") != std::string::npos);
    crowd.clear();
    f.runUntil([&] {
        return f.budget->decisions().heldBytes() == 0
               && f.budget->decisions().openConnections() == 0;
    });
}

TEST_CASE("Chunked bodies count as they arrive and are released at once")
{
    // A chunked body declares no length, and evhttp moves its chunks out of the input buffer. While
    // refused connections lingered, 400 such bodies of 1 MB took 223 MB.
    Fixture f({}, 64U << 10U);
    Client client(f.address);
    client.write("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    // Bytes that the server has not read when it closes the connection would discard its answer.
    for (std::size_t sent = 0; f.refusals(RefusalReason::Budget) == 0; sent += 1'024) {
        REQUIRE(sent < 64U << 10U);
        client.write("400\r\n" + std::string(1'024, 'x') + "\r\n");
        f.runUntil([&] {
            client.poll();
            return f.budget->decisions().heldBytes() > sent
                   || f.refusals(RefusalReason::Budget) > 0;
        });
    }
    f.runUntil([&] { return !client.poll(); });
    CHECK(f.refusals(RefusalReason::Budget) == 1);
    CHECK(client.answer().starts_with("HTTP/1.1 503"));
    f.runUntil([&] { return f.budget->decisions().openConnections() == 0; });
    CHECK(isServed(f.answerTo(PlainGet)));
}

TEST_CASE("Complete requests over the budget are refused before the handler, others are answered")
{
    Fixture f;
    f.isHolding = true;
    std::list<Client> clients;
    const auto send = [&] {
        clients.emplace_back(f.address).write(post(200'000) + std::string(200'000, 'x'));
        return &clients.back();
    };
    Client *first = send();
    f.runUntil([&] { return first->poll() && f.handled == 1; });
    Client *second = send();
    f.runUntil([&] { return !second->poll(); });
    CHECK(second->answer().starts_with("HTTP/1.1 503"));
    CHECK(second->answer().find("not-run") != std::string::npos);
    CHECK(f.handled == 1);
    f.held[0]->respond({200, {}, "done"});
    f.runUntil([&] { return first->poll() && first->answer().find("done") != std::string::npos; });
    f.isHolding = false;
    Client *third = send();
    f.runUntil([&] { return third->poll() && isServed(third->answer()); });
}

TEST_CASE("A body where none is expected is refused when the head declares it")
{
    const auto acceptsBody = [](std::string_view method, std::string_view path) {
        return method == "POST" && path == "/jobs";
    };
    Fixture f({}, 1U << 20U, acceptsBody);
    const std::string refused = f.answerTo(post(MaxUnexpectedBody + 1, "/other"));
    CHECK(refused.starts_with("HTTP/1.1 413"));
    CHECK(refused.find("not-run") != std::string::npos);
    CHECK(f.refusals(RefusalReason::UnexpectedBody) == 1);
    CHECK(f.handled == 0);
    CHECK(isServed(f.answerTo(post(MaxUnexpectedBody + 1, "/jobs")
                              + std::string(MaxUnexpectedBody + 1, 'x'))));
    CHECK(isServed(f.answerTo(post(100, "/other") + std::string(100, 'x'))));
}

TEST_CASE("Requests with too many header fields are refused, those within the limit are served")
{
    // Each field takes far more memory than its four bytes.
    const HttpLimits limits{.maxHeaderFields = 20};
    Fixture f(limits);
    std::string fields;
    for (int i = 0; i < 19; ++i)
        fields += "a:\r\n";
    CHECK(isServed(f.answerTo(PlainGet + fields)));
    CHECK(f.answerTo(PlainGet + fields + "a:\r\n").starts_with("HTTP/1.1 431"));
    CHECK(f.refusals(RefusalReason::HeaderFields) == 1);
    CHECK(f.handled == 1);
}

TEST_CASE("A request that keeps arriving slowly is closed at the request timeout")
{
    // The idle timeout alone never ends it.
    HttpLimits limits;
    limits.requestTimeout = std::chrono::milliseconds(200);
    Fixture f(limits);
    Client client(f.address);
    client.write("GET / HTTP/1.1\r\nX: ");
    f.runUntil([&] {
        client.write("x");
        return !client.poll();
    });
    CHECK(client.answer().starts_with("HTTP/1.1 408"));
    CHECK(f.refusals(RefusalReason::Timeout) == 1);
}

TEST_CASE("A response that is not read is dropped at the idle timeout")
{
    HttpLimits limits;
    limits.idleTimeout = std::chrono::milliseconds(200);
    Fixture f(limits, 64U << 20U);
    f.responseBody.assign(20U << 20U, 'x');
    Client client(f.address);
    client.write(PlainGet + "\r\n");
    client.poll();
    f.runUntil([&] { return f.handled == 1; });
    f.runUntil([&] { return f.refusals(RefusalReason::Timeout) == 1; });
    f.runUntil([&] { return f.budget->decisions().openConnections() == 0; });
    CHECK(f.budget->decisions().heldBytes() == 0);
}

TEST_CASE("Pipelined requests that are not read are neither held nor handled ahead")
{
    Fixture f;
    f.isHolding = true;
    Client client(f.address);
    for (int i = 0; i < 5'000; ++i)
        client.write(PlainGet + "\r\n");
    f.runUntil([&] { return client.poll() && f.handled == 1; });
    CHECK(f.budget->decisions().heldBytes() < 16'384);
    f.held[0]->respond({200, {}, "1"});
    f.runUntil([&] { return client.poll() && f.handled == 2; });
    CHECK(f.budget->decisions().heldBytes() < 16'384);
    f.held.clear();
}

TEST_CASE("Silent connections do not shut out a client")
{
    HttpLimits limits;
    limits.maxConnections = 8;
    Fixture f(limits);
    std::list<Client> silent;
    for (int i = 0; i < 40; ++i)
        silent.emplace_back(f.address);
    CHECK(isServed(f.answerTo(PlainGet)));
    CHECK(f.refusals(RefusalReason::Connections) >= 30);
    CHECK(f.budget->decisions().openConnections() <= 8);
}
