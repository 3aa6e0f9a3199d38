#include "Runtime/address.h"
#include "Runtime/httpclient.h"
#include "Runtime/httpserver.h"
#include "Support/loopback.h"
#include "Support/rununtil.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <optional>
#include <thread>

using namespace Oleander;
using Testing::Loopback;
using Testing::RunLimit;

namespace {

struct Fixture
{
    EventLoop loop;
    std::vector<std::shared_ptr<HttpExchange>> held;
    std::size_t seen = 0;

    void runUntil(const std::function<bool()> &done) { Testing::runUntil(loop, done); }
};

/** A blocking TCP connection for input that no HTTP library would send. */
class RawSocket
{
public:
    explicit RawSocket(const std::string &address) : socket_(socket(AF_INET, SOCK_STREAM, 0))
    {
        const auto parsed = parseSocketAddress(address);
        sockaddr_in peer{};
        peer.sin_family = AF_INET;
        peer.sin_port = htons(parsed->port);
        inet_pton(AF_INET, parsed->host.c_str(), &peer.sin_addr);
        REQUIRE(connect(socket_, reinterpret_cast<sockaddr *>(&peer), sizeof peer) == 0);
    }
    ~RawSocket() { close(socket_); }
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    void write(std::string_view bytes) const
    {
        REQUIRE(send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL)
                == static_cast<ssize_t>(bytes.size()));
    }

    /** Returns the bytes received so far, or nullopt once the connection is closed. */
    std::optional<std::string> poll() const
    {
        char buffer[4096];
        const ssize_t size = recv(socket_, buffer, sizeof buffer, MSG_DONTWAIT);
        if (size == 0 || (size < 0 && errno != EAGAIN))
            return std::nullopt;
        return size < 0 ? std::string() : std::string(buffer, static_cast<std::size_t>(size));
    }

private:
    int socket_;
};

/** Server that answers any data on a connection with fixed bytes and closes the connection. */
class ScriptedServer
{
public:
    explicit ScriptedServer(std::string answer) : answer_(std::move(answer))
    {
        listener_ = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        REQUIRE(bind(listener_, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0);
        REQUIRE(::listen(listener_, 8) == 0);
        socklen_t size = sizeof address;
        getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size);
        port_ = ntohs(address.sin_port);
        thread_ = std::thread([this] { serve(); });
    }
    ~ScriptedServer()
    {
        shutdown(listener_, SHUT_RDWR);
        thread_.join();
        close(listener_);
    }
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    void serve() const
    {
        for (;;) {
            const int connection = accept(listener_, nullptr, nullptr);
            if (connection < 0)
                return;
            char buffer[4096];
            if (recv(connection, buffer, sizeof buffer, 0) > 0)
                send(connection, answer_.data(), answer_.size(), MSG_NOSIGNAL);
            close(connection);
        }
    }

    std::string answer_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

HttpCallResult callOnce(Fixture &fixture, const std::string &address, HttpRequest request,
                        Duration timeout = RunLimit)
{
    HttpClient client(fixture.loop, address, 4);
    std::optional<HttpCallResult> result;
    client.call(std::move(request), timeout,
                [&](HttpCallResult answer) { result = std::move(answer); });
    fixture.runUntil([&] { return result.has_value(); });
    return *result;
}

} // namespace

TEST_CASE("A client gets the complete response for all methods and for a body of a megabyte")
{
    Fixture fixture;
    HttpServer server(fixture.loop, {}, [](const std::shared_ptr<HttpExchange> &exchange) {
        const auto &request = exchange->request();
        exchange->respond({201, {{"X-Method", request.method}}, request.body});
    });
    const auto address = server.listen("127.0.0.1:0");
    REQUIRE(address.has_value());
    const std::string body(1U << 20U, 'x');
    for (const std::string method : {"POST", "PUT", "PATCH"}) {
        const auto answer = callOnce(fixture, *address, {method, "/a", "b=c", {}, body});
        INFO(method << ": " << (answer ? "" : answer.error().error.text()));
        REQUIRE(answer.has_value());
        CHECK(answer->status == 201);
        CHECK(answer->body == body);
    }
    for (const std::string method : {"GET", "HEAD", "DELETE", "OPTIONS"})
        CHECK(callOnce(fixture, *address, {method, "/a"})->status == 201);
}

TEST_CASE("After a refused connection the request is reported as not sent")
{
    Fixture fixture;
    const auto answer = callOnce(fixture, "127.0.0.1:1", {"POST", "/"});
    REQUIRE_FALSE(answer.has_value());
    CHECK_FALSE(answer.error().mayHaveBeenSent);
    CHECK(answer.error().error.step == Step::Connect);
}

TEST_CASE("A truncated response, or one without a declared length, is an error, not a short body")
{
    Fixture fixture;
    const std::string cut = GENERATE(
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort"),
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"),
        std::string("HTTP/1.1 200 OK\r\n\r\nshort"), std::string("HTTP/1.1 200 OK\r\nConte"));
    ScriptedServer server(cut);
    const auto answer = callOnce(fixture, server.address(), {"GET", "/"});
    REQUIRE_FALSE(answer.has_value());
    CHECK(answer.error().mayHaveBeenSent);
}

TEST_CASE("An unsolicited response is not taken for the response to the next request")
{
    Fixture fixture;
    const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";
    const std::string second = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";
    ScriptedServer server(first + second);
    HttpClient client(fixture.loop, server.address(), 1);
    std::vector<std::string> bodies;
    for (int i = 0; i < 2; ++i) {
        client.call({"GET", "/"}, RunLimit, [&](HttpCallResult answer) {
            bodies.push_back(answer ? answer->body : "error");
        });
        fixture.runUntil([&] { return bodies.size() == static_cast<std::size_t>(i) + 1; });
    }
    CHECK(bodies == std::vector<std::string>{"one", "one"});
}

TEST_CASE("A call is not sent on a connection that its check did not accept")
{
    // A connection that was closed between two calls is replaced by one that has to be checked.
    Fixture fixture;
    std::vector<std::string> paths;
    const auto listen = [&](const std::string &address) {
        auto server = std::make_unique<HttpServer>(
            fixture.loop, HttpLimits{}, [&](const std::shared_ptr<HttpExchange> &exchange) {
                paths.push_back(exchange->request().path);
                exchange->respond({200, {}, "x"});
            });
        REQUIRE(server->listen(address));
        return server;
    };
    const std::string address = Loopback::freeAddress(Loopback::nextHost());
    auto server = listen(address);
    bool isAccepted = true;
    HttpClient client(fixture.loop, address, 1,
                      ConnectionCheck{[] {
                                          return HttpRequest{"GET", "/check"};
                                      },
                                      [&](const HttpResponse &response) {
                                          return isAccepted && response.body == "x";
                                      },
                                      RunLimit});
    const auto call = [&] {
        std::optional<HttpCallResult> result;
        client.call({"POST", "/call"}, RunLimit,
                    [&](HttpCallResult answer) { result = std::move(answer); });
        fixture.runUntil([&] { return result.has_value(); });
        return *result;
    };
    CHECK(call().has_value());
    CHECK(call().has_value());
    CHECK(paths == std::vector<std::string>{"/check", "/call", "/call"});

    isAccepted = false;
    paths.clear();
    server = nullptr;
    server = listen(address);
    const bool closeIsSeen = GENERATE(false, true);
    if (closeIsSeen) {
        const TimePoint start = fixture.loop.clock().now();
        fixture.runUntil(
            [&] { return fixture.loop.clock().now() > start + std::chrono::milliseconds(50); });
    }
    for (int i = 0; i < 2; ++i) {
        const HttpCallResult result = call();
        REQUIRE_FALSE(result.has_value());
        CHECK_FALSE(result.error().mayHaveBeenSent);
    }
    CHECK(paths == std::vector<std::string>{"/check", "/check"});
}

TEST_CASE("A server that closes each connection after its response gets calls behind their checks")
{
    Fixture fixture;
    std::vector<std::string> paths;
    HttpServer server(fixture.loop, {}, [&](const std::shared_ptr<HttpExchange> &exchange) {
        paths.push_back(exchange->request().path);
        exchange->respond({200, {{"Connection", "close"}}, "x"});
    });
    const auto address = server.listen("127.0.0.1:0");
    REQUIRE(address.has_value());
    HttpClient client(fixture.loop, *address, 1,
                      ConnectionCheck{[] {
                                          return HttpRequest{"GET", "/check"};
                                      },
                                      [](const HttpResponse &) { return true; }, RunLimit});
    for (int i = 0; i < 2; ++i) {
        std::optional<HttpCallResult> result;
        client.call({"POST", "/call"}, RunLimit,
                    [&](HttpCallResult answer) { result = std::move(answer); });
        fixture.runUntil([&] { return result.has_value(); });
        CHECK(result->has_value());
    }
    CHECK(paths == std::vector<std::string>{"/check", "/call", "/check", "/call"});
}

TEST_CASE("A call does not wait longer for the check of its connection than the check may take")
{
    Fixture fixture;
    HttpServer server(fixture.loop, {}, [&](const std::shared_ptr<HttpExchange> &exchange) {
        fixture.held.push_back(exchange);
    });
    const auto address = server.listen("127.0.0.1:0");
    REQUIRE(address.has_value());
    HttpClient client(fixture.loop, *address, 1,
                      ConnectionCheck{[] {
                                          return HttpRequest{"GET", "/check"};
                                      },
                                      [](const HttpResponse &) { return true; },
                                      std::chrono::milliseconds(50)});
    std::optional<HttpCallResult> result;
    client.call({"POST", "/call"}, 10 * RunLimit,
                [&](HttpCallResult answer) { result = std::move(answer); });
    fixture.runUntil([&] { return result.has_value(); });
    REQUIRE_FALSE(result->has_value());
    CHECK_FALSE(result->error().mayHaveBeenSent);
    fixture.held.clear();
}

TEST_CASE("A call whose deadline passed while the process stood still is not sent")
{
    // The answer that frees or accepts the connection is handled before the expired timer.
    constexpr Duration Timeout = std::chrono::milliseconds(100);
    Fixture fixture;
    std::vector<std::string> paths;
    const auto standStill = [&] {
        fixture.loop.post([=] { std::this_thread::sleep_for(2 * Timeout); });
    };
    HttpServer server(fixture.loop, {}, [&](const std::shared_ptr<HttpExchange> &exchange) {
        paths.push_back(exchange->request().path);
        exchange->respond({200, {}, "x"});
        if (paths.size() == 1)
            standStill();
    });
    const auto address = server.listen("127.0.0.1:0");
    REQUIRE(address.has_value());
    const bool isChecked = GENERATE(false, true);
    std::optional<ConnectionCheck> check;
    if (isChecked) {
        check = ConnectionCheck{[] {
                                    return HttpRequest{"GET", "/first"};
                                },
                                [](const HttpResponse &) { return true; }, RunLimit};
    }
    HttpClient client(fixture.loop, *address, 1, check);
    if (!isChecked)
        client.call({"GET", "/first"}, RunLimit, [](const HttpCallResult &) {});
    std::optional<HttpCallResult> result;
    client.call({"POST", "/call"}, Timeout,
                [&](HttpCallResult answer) { result = std::move(answer); });
    fixture.runUntil([&] { return result.has_value(); });
    REQUIRE_FALSE(result->has_value());
    CHECK_FALSE(result->error().mayHaveBeenSent);
    CHECK(std::ranges::count(paths, "/call") == 0);
    // The connection stays usable.
    result.reset();
    client.call({"POST", "/next"}, RunLimit,
                [&](HttpCallResult answer) { result = std::move(answer); });
    fixture.runUntil([&] { return result.has_value(); });
    CHECK(result->has_value());
}

TEST_CASE("An urgent call goes before normal calls and does not wait for them")
{
    Fixture fixture;
    std::vector<std::string> paths;
    HttpServer server(fixture.loop, {}, [&](const std::shared_ptr<HttpExchange> &exchange) {
        paths.push_back(exchange->request().path);
        fixture.held.push_back(exchange);
    });
    const auto address = server.listen("127.0.0.1:0");
    REQUIRE(address.has_value());
    HttpClient client(fixture.loop, *address, ConnectionLimits{1, 1});
    const auto call = [&](const char *path, Precedence precedence) {
        client.call(
            {"POST", path}, RunLimit, [](const HttpCallResult &) {}, precedence);
    };
    call("/normal-1", Precedence::Normal);
    call("/normal-2", Precedence::Normal);
    call("/urgent-1", Precedence::Urgent);
    call("/urgent-2", Precedence::Urgent);
    fixture.runUntil([&] { return paths.size() == 2; });
    CHECK_THAT(paths, Catch::UnorderedEquals(std::vector<std::string>{"/normal-1", "/urgent-1"}));
    for (const char *next : {"/urgent-2", "/normal-2"}) {
        const std::size_t count = paths.size();
        fixture.held.front()->respond({200, {}, "x"});
        fixture.held.erase(fixture.held.begin());
        fixture.runUntil([&] { return paths.size() > count; });
        CHECK(paths.back() == next);
    }
    fixture.held.clear();
}

TEST_CASE("The timeout of an urgent call counts from its sending")
{
    Fixture fixture;
    HttpServer server(fixture.loop, {}, [&](const std::shared_ptr<HttpExchange> &exchange) {
        fixture.held.push_back(exchange);
    });
    const auto address = server.listen("127.0.0.1:0");
    REQUIRE(address.has_value());
    HttpClient client(fixture.loop, *address, 1);
    std::vector<HttpCallResult> results;
    for (int i = 0; i < 2; ++i) {
        client.call(
            {"POST", "/"}, std::chrono::milliseconds(500),
            [&](HttpCallResult answer) { results.push_back(std::move(answer)); },
            Precedence::Urgent);
    }
    fixture.runUntil([&] { return results.size() == 2; });
    for (const HttpCallResult &result : results) {
        REQUIRE_FALSE(result.has_value());
        CHECK(result.error().mayHaveBeenSent);
    }
    fixture.held.clear();
}

TEST_CASE("A call that times out reports whether the request may have been sent")
{
    Fixture fixture;
    HttpServer server(fixture.loop, {}, [&](const std::shared_ptr<HttpExchange> &exchange) {
        fixture.held.push_back(exchange);
    });
    const auto address = server.listen("127.0.0.1:0");
    const auto answer = callOnce(fixture, *address, {"POST", "/"}, std::chrono::milliseconds(300));
    REQUIRE_FALSE(answer.has_value());
    CHECK(answer.error().error.code == Failure::DeadlineExceeded);
    CHECK(answer.error().mayHaveBeenSent);
    fixture.held.clear();
}

TEST_CASE("The server is notified when a caller disconnects and ignores the late response")
{
    Fixture fixture;
    bool left = false;
    HttpServer server(fixture.loop, {}, [&](const std::shared_ptr<HttpExchange> &exchange) {
        exchange->onClosed([&] { left = true; });
        fixture.held.push_back(exchange);
    });
    const auto address = server.listen("127.0.0.1:0");
    {
        RawSocket socket(*address);
        socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        fixture.runUntil([&] { return !fixture.held.empty(); });
    }
    fixture.runUntil([&] { return left; });
    fixture.held.front()->respond({200, {}, "late"});
    CHECK(server.inFlight() == 0);
    CHECK(callOnce(fixture, *address, {"GET", "/"}, std::chrono::milliseconds(50)).has_value()
          == false);
    fixture.held.clear();
}

TEST_CASE("A pipelined second request does not abort the process")
{
    Fixture fixture;
    HttpServer server(fixture.loop, {}, [&](const std::shared_ptr<HttpExchange> &exchange) {
        fixture.held.push_back(exchange);
    });
    const auto address = server.listen("127.0.0.1:0");
    RawSocket socket(*address);
    socket.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    fixture.runUntil([&] { return fixture.held.size() == 1; });
    socket.write("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    fixture.held[0]->respond({200, {}, "1"});
    fixture.runUntil([&] { return fixture.held.size() == 2; });
    CHECK(fixture.held[1]->request().path == "/2");
    fixture.held.clear();
}

TEST_CASE("Requests with conflicting lengths are rejected with the name of the header")
{
    Fixture fixture;
    HttpServer server(fixture.loop, {},
                      [&](const std::shared_ptr<HttpExchange> &) { ++fixture.seen; });
    const auto address = server.listen("127.0.0.1:0");
    const std::string lengths =
        GENERATE(std::string("Content-Length: 1\r\nContent-Length: 2\r\n"),
                 std::string("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"));
    const std::string method = GENERATE(as<std::string>(), "POST", "GET");
    RawSocket socket(*address);
    CAPTURE(method, lengths);
    socket.write(method + " / HTTP/1.1\r\nHost: a\r\n" + lengths + "\r\n0\r\n\r\n");
    std::string answer;
    fixture.runUntil([&] {
        const auto bytes = socket.poll();
        answer += bytes.value_or("");
        return !bytes.has_value();
    });
    CHECK(answer.find("Content-Length") != std::string::npos);
    CHECK(answer.substr(0, 12) == "HTTP/1.1 400");
    CHECK(fixture.seen == 0);
}

TEST_CASE("A connection with an incomplete request is closed at the idle timeout")
{
    Fixture fixture;
    HttpLimits limits;
    limits.idleTimeout = std::chrono::milliseconds(100);
    HttpServer server(fixture.loop, limits,
                      [&](const std::shared_ptr<HttpExchange> &) { ++fixture.seen; });
    const auto address = server.listen("127.0.0.1:0");
    RawSocket socket(*address);
    socket.write("GET / HTTP/1.1\r\nX: ");
    fixture.runUntil([&] { return !socket.poll().has_value(); });
    CHECK(fixture.seen == 0);
}

TEST_CASE("Callers over the connection limit get status 503 until a connection is closed")
{
    Fixture fixture;
    HttpLimits limits;
    limits.maxConnections = 1;
    HttpServer server(fixture.loop, limits, [](const std::shared_ptr<HttpExchange> &exchange) {
        exchange->respond({200, {}, "served"});
    });
    const auto address = server.listen("127.0.0.1:0");
    const auto statusNow = [&] { return callOnce(fixture, *address, {"GET", "/"})->status; };
    {
        RawSocket first(*address);
        first.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        std::string answer;
        fixture.runUntil([&] {
            answer += first.poll().value_or("");
            return answer.find("served") != std::string::npos;
        });
        CHECK(statusNow() == 503);
    }
    unsigned status = 503;
    for (int i = 0; i < 1000 && status == 503; ++i)
        status = statusNow();
    CHECK(status == 200);
}
