// Stand-in minion: an evhttp server that announces itself to its agent. Headers of a request
// control the answer, including faulty answers that a real minion must not give.
//
//   Standin-Delay-Ms: N      answers after N milliseconds
//   Standin-Mode: MODE       kind of answer: chunked, large, echo, cut, cut-chunk, wrong-length,
//                            no-length, reset, silent
//   Standin-Request: ID      counts runs of ID; GET /standin/runs/ID returns the count
//
// GET /standin/runs returns the count of all runs. With --runs, a line with ID is written before
// each run, which outlives the process.

#include "Runtime/eventloop.h"
#include "Runtime/httpclient.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <netinet/in.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "ADDRESS:PORT of the HTTP door");
ABSL_FLAG(std::string, agent, "",
          "ADDRESS:PORT of the agent's minion door; empty announces nothing");
ABSL_FLAG(std::string, name, "minion-1", "name of this minion");
ABSL_FLAG(std::string, service, "notices", "service that it answers for");
ABSL_FLAG(int, slots, 8, "requests that it works on at once");
ABSL_FLAG(int, connections, 64, "requests that its agent may hold for it");
ABSL_FLAG(int, ttl_ms, 2000, "time to live of an announcement");
ABSL_FLAG(int, delay_ms, 0, "time to answer a request");
ABSL_FLAG(std::string, runs, "", "file that gets a line for each run");

using namespace Oleander;

namespace {

constexpr std::size_t LargeBody = std::size_t(1024) * 1024;
constexpr int AnnouncementsPerTimeToLive = 4;
constexpr Duration AnnounceTimeout = std::chrono::seconds(1);
constexpr Duration CloseDelay = std::chrono::milliseconds(20);

std::string headerOf(evhttp_request *request, const char *name)
{
    const char *value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value == nullptr ? std::string() : std::string(value);
}

/** Replaces the dashes in flag names by underscores, because Abseil does not accept dashes. */
std::vector<std::string> withUnderscoredFlags(int argc, char **argv)
{
    std::vector<std::string> words(argv, argv + argc);
    for (std::size_t i = 1; i < words.size(); ++i) {
        auto &word = words[i];
        const auto nameEnd = std::min(word.find('='), word.size());
        for (std::size_t at = 2; at < nameEnd; ++at)
            word[at] = word[at] == '-' ? '_' : word[at];
    }
    return words;
}

/** The stand-in minion: its HTTP server, announcements and pending requests. */
class Minion
{
public:
    Minion(EventLoop &loop, std::string address)
        : loop_(loop)
        , address_(std::move(address))
        , http_(evhttp_new(loop.base()))
        , announceTimer_(loop, [this] { announce(); })
    {
        evhttp_set_allowed_methods(http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD
                                              | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE
                                              | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);
        if (const std::string file = absl::GetFlag(FLAGS_runs); !file.empty())
            runsFile_.reset(std::fopen(file.c_str(), "ae"));
        evhttp_set_gencb(
            http_,
            [](evhttp_request *request, void *self) {
                static_cast<Minion *>(self)->handle(request);
            },
            this);
    }
    ~Minion() { evhttp_free(http_); }
    Minion(const Minion &) = delete;
    Minion &operator=(const Minion &) = delete;

    bool listen()
    {
        const auto colon = address_.rfind(':');
        const std::string host = address_.substr(0, colon);
        const auto port = static_cast<std::uint16_t>(std::stoul(address_.substr(colon + 1)));
        auto *socket = evhttp_bind_socket_with_handle(http_, host.c_str(), port);
        if (socket == nullptr)
            return false;
        sockaddr_in bound{};
        socklen_t size = sizeof bound;
        getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr *>(&bound),
                    &size);
        address_ = fmt::format("{}:{}", host, ntohs(bound.sin_port));
        fmt::print(stderr, "ready {}\n", address_);
        return true;
    }

    void startAnnouncing()
    {
        const std::string agent = absl::GetFlag(FLAGS_agent);
        if (agent.empty())
            return;
        agent_ = std::make_unique<HttpClient>(loop_, agent, 2);
        announce();
        announceTimer_.startEvery(std::chrono::milliseconds(absl::GetFlag(FLAGS_ttl_ms))
                                  / AnnouncementsPerTimeToLive);
    }

    /** Withdraws the announcement, completes pending requests and stops the event loop. */
    void startShutdown()
    {
        announceTimer_.cancel();
        isShuttingDown_ = true;
        if (!agent_) {
            stopWhenIdle();
            return;
        }
        HttpRequest request;
        request.method = "DELETE";
        request.path = minionPath();
        agent_->call(std::move(request), AnnounceTimeout,
                     [this](const HttpCallResult &) { stopWhenIdle(); });
    }

private:
    struct CloseFile
    {
        void operator()(std::FILE *file) const { std::fclose(file); }
    };

    struct PendingRequest
    {
        Minion *minion = nullptr;
        evhttp_request *request = nullptr;
        std::string id;
        int run = 0;
        std::unique_ptr<Timer> timer;
    };

    static std::string minionPath() { return "/v1/minions/" + absl::GetFlag(FLAGS_name); }

    void announce()
    {
        HttpRequest request;
        request.method = "PUT";
        request.path = minionPath();
        request.body = fmt::format(R"({{"service":"{}","address":"{}","slots":{},"connections":{},)"
                                   R"("ttl_ms":{},"busy":{}}})",
                                   absl::GetFlag(FLAGS_service), address_,
                                   absl::GetFlag(FLAGS_slots), absl::GetFlag(FLAGS_connections),
                                   absl::GetFlag(FLAGS_ttl_ms), pendingRequests_.size());
        agent_->call(std::move(request), AnnounceTimeout, [](const HttpCallResult &result) {
            if (result && result->status >= 300)
                fmt::print(stderr, "announcement refused: {}\n", result->body);
        });
    }

    void handle(evhttp_request *request)
    {
        const std::string path = evhttp_request_get_uri(request);
        if (path.starts_with("/standin/runs")) {
            const std::string id = path.size() > 14 ? path.substr(14) : std::string();
            reply(request, fmt::format("{}", id.empty() ? totalRuns_ : runs_[id]));
            return;
        }
        auto pending = std::make_unique<PendingRequest>();
        pending->minion = this;
        pending->request = request;
        pending->id = headerOf(request, "Standin-Request");
        pending->run = ++runs_[pending->id];
        ++totalRuns_;
        if (runsFile_) {
            fmt::print(runsFile_.get(), "{}\n", pending->id);
            std::fflush(runsFile_.get());
        }
        auto *connection = evhttp_request_get_connection(request);
        evhttp_connection_set_closecb(
            connection,
            [](evhttp_connection *closed, void *self) {
                static_cast<Minion *>(self)->onCallerClosed(closed);
            },
            this);
        const std::string delay = headerOf(request, "Standin-Delay-Ms");
        const int delayMs = delay.empty() ? absl::GetFlag(FLAGS_delay_ms) : std::stoi(delay);
        PendingRequest *key = pending.get();
        pendingRequests_[key] = std::move(pending);
        if (delayMs == 0) {
            answer(key);
            return;
        }
        key->timer = std::make_unique<Timer>(loop_, [this, key] { answer(key); });
        key->timer->startOnce(std::chrono::milliseconds(delayMs));
    }

    /** A closed connection does not cancel its request: the slot stays busy until it is done. */
    void onCallerClosed(evhttp_connection *connection)
    {
        for (auto &[key, pending] : pendingRequests_) {
            if (key->request != nullptr
                && evhttp_request_get_connection(key->request) == connection)
                key->request = nullptr;
        }
    }

    void answer(PendingRequest *key)
    {
        auto node = pendingRequests_.extract(key);
        // The timer may be the caller of this function, so the request is destroyed only later.
        std::shared_ptr<PendingRequest> pending = std::move(node.mapped());
        loop_.post([pending] {});
        if (pending->request != nullptr)
            answerInMode(*pending, headerOf(pending->request, "Standin-Mode"));
        if (isShuttingDown_)
            stopWhenIdle();
    }

    void answerInMode(const PendingRequest &pending, const std::string &mode)
    {
        evhttp_request *request = pending.request;
        const std::string text =
            fmt::format("minion={} id={} run={} path={}\n", absl::GetFlag(FLAGS_name), pending.id,
                        pending.run, evhttp_request_get_uri(request));
        if (mode == "silent")
            return;
        if (mode == "reset")
            sendRaw(request, "");
        else if (mode == "cut")
            sendRaw(request, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nonly a part");
        else if (mode == "cut-chunk")
            sendRaw(request, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nonly \r\n");
        else if (mode == "no-length")
            sendRaw(request, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nmaybe a part");
        else if (mode == "wrong-length")
            sendRaw(request, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfourHTTP/1.1 200 OK\r\n"
                             "Content-Length: 5\r\n\r\nother");
        else if (mode == "chunked")
            replyChunked(request, text);
        else if (mode == "large")
            reply(request, std::string(LargeBody, 'x'));
        else if (mode == "echo")
            reply(request, bodyOf(request));
        else
            reply(request, text);
    }

    static std::string bodyOf(evhttp_request *request)
    {
        evbuffer *input = evhttp_request_get_input_buffer(request);
        std::string body(evbuffer_get_length(input), '\0');
        evbuffer_copyout(input, body.data(), body.size());
        return body;
    }

    static void reply(evhttp_request *request, const std::string &body)
    {
        evbuffer *buffer = evbuffer_new();
        evbuffer_add(buffer, body.data(), body.size());
        evhttp_send_reply(request, 200, "OK", buffer);
        evbuffer_free(buffer);
    }

    static void replyChunked(evhttp_request *request, const std::string &text)
    {
        evhttp_send_reply_start(request, 200, "OK");
        evbuffer *buffer = evbuffer_new();
        for (const char c : text) {
            evbuffer_add(buffer, &c, 1);
            evhttp_send_reply_chunk(request, buffer);
        }
        evbuffer_free(buffer);
        evhttp_send_reply_end(request);
    }

    /** Writes \a bytes unchanged and closes the connection. */
    void sendRaw(evhttp_request *request, const std::string &bytes)
    {
        auto *connection = evhttp_request_get_connection(request);
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
        bufferevent_write(evhttp_connection_get_bufferevent(connection), bytes.data(),
                          bytes.size());
        auto timer = std::make_shared<std::unique_ptr<Timer>>();
        *timer = std::make_unique<Timer>(loop_, [this, connection, timer] {
            evhttp_connection_free(connection);
            loop_.post([timer] { timer->reset(); });
        });
        (*timer)->startOnce(CloseDelay);
    }

    void stopWhenIdle()
    {
        // The event loop runs for CloseDelay longer, so that the last answer is sent.
        if (!pendingRequests_.empty() || isStopping_)
            return;
        isStopping_ = true;
        stopTimer_ = std::make_unique<Timer>(loop_, [this] { loop_.stop(); });
        stopTimer_->startOnce(CloseDelay);
    }

    EventLoop &loop_;
    std::string address_;
    evhttp *http_;
    Timer announceTimer_;
    std::unique_ptr<Timer> stopTimer_;
    std::unique_ptr<HttpClient> agent_;
    std::map<PendingRequest *, std::unique_ptr<PendingRequest>> pendingRequests_;
    std::map<std::string, int> runs_;
    std::unique_ptr<std::FILE, CloseFile> runsFile_;
    int totalRuns_ = 0;
    bool isShuttingDown_ = false;
    bool isStopping_ = false;
};

} // namespace

int main(int argc, char **argv)
{
    std::vector<std::string> words = withUnderscoredFlags(argc, argv);
    std::vector<char *> pointers;
    pointers.reserve(words.size());
    for (auto &word : words)
        pointers.push_back(word.data());
    absl::ParseCommandLine(static_cast<int>(pointers.size()), pointers.data());
    EventLoop loop;
    Minion minion(loop, absl::GetFlag(FLAGS_listen));
    if (!minion.listen()) {
        fmt::print(stderr, "cannot listen on {}\n", absl::GetFlag(FLAGS_listen));
        return 1;
    }
    minion.startAnnouncing();
    loop.onSignal(SIGTERM, [&] { minion.startShutdown(); });
    loop.run();
    return 0;
}
