#include "Runtime/httpserver.h"

#include "Base/nametable.h"
#include "Runtime/address.h"
#include "Runtime/httpconnection.h"
#include "Runtime/httpmethod.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <fmt/format.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>

#include <list>
#include <unordered_map>
#include <unordered_set>

namespace Oleander {

namespace {

// Interval at which closed connections are removed and idle timeouts are enforced.
constexpr Duration SweepPeriod = std::chrono::milliseconds(20);
// A longer interval between two sweeps is time in which the process did not run.
constexpr Duration SuspensionThreshold = std::chrono::seconds(1);
// Connections that may wait for their removal before the server stops accepting until the next
// sweep. Their descriptors come from the reserved ones. Each server counts its own, so that load at
// one does not stop the others.
constexpr std::size_t MaxClosingConnections = 48;

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

HttpRequest readRequest(evhttp_request *native)
{
    HttpRequest request;
    request.method = httpMethodName(evhttp_request_get_command(native));
    const std::string_view uri = evhttp_request_get_uri(native);
    const auto question = uri.find('?');
    request.path = uri.substr(0, question);
    if (question != std::string_view::npos)
        request.query = uri.substr(question + 1);
    const evkeyvalq *headers = evhttp_request_get_input_headers(native);
    for (const evkeyval *field = headers->tqh_first; field != nullptr; field = field->next.tqe_next)
        request.headers.push_back({field->key, field->value});
    evbuffer *body = evhttp_request_get_input_buffer(native);
    request.body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, request.body.data(), request.body.size());
    char *host = nullptr;
    std::uint16_t port = 0;
    evhttp_connection_get_peer(evhttp_request_get_connection(native), &host, &port);
    request.peer = fmt::format("{}:{}", host == nullptr ? "?" : host, port);
    return request;
}

// evhttp reads a body only for these methods; it would parse any other body as the next request.
bool mayHaveBody(const std::string &method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

// Prevents request smuggling: if the end of a body were ambiguous, part of it could be interpreted
// as another request.
const char *framingConflict(const HttpRequest &request)
{
    std::size_t lengths = 0;
    std::size_t encodings = 0;
    for (const auto &field : request.headers) {
        lengths += equalsIgnoringCase(field.name, "Content-Length") ? 1 : 0;
        encodings += equalsIgnoringCase(field.name, "Transfer-Encoding") ? 1 : 0;
    }
    if (lengths > 1)
        return "The header Content-Length is given more than once.";
    if (lengths > 0 && encodings > 0)
        return "The headers Content-Length and Transfer-Encoding exclude each other.";
    const bool declaresBody =
        encodings > 0 || (lengths > 0 && request.header("Content-Length") != "0");
    if (declaresBody && !mayHaveBody(request.method))
        return "The header Content-Length or Transfer-Encoding is given, but this method takes no "
               "body.";
    return nullptr;
}

} // namespace

std::string HttpRequest::header(std::string_view name) const
{
    for (const auto &field : headers) {
        if (equalsIgnoringCase(field.name, name))
            return field.value;
    }
    return {};
}

struct HttpServer::Private
{
    class Exchange;

    EventLoop &loop;
    HttpConnectionContext context;
    Handler handler;
    evhttp *http = nullptr;
    evhttp_bound_socket *listener = nullptr;
    bool closing = false;
    std::unordered_set<Exchange *> exchanges;
    std::unordered_map<bufferevent *, std::unique_ptr<HttpConnection>> connections;
    bool isPaused = false;
    std::unique_ptr<Timer> sweepTimer;
    TimePoint lastSweep;

    bufferevent *addConnection();
    HttpConnection *connectionOf(evhttp_request *native) const;
    void setPaused(bool paused);
    void sweep();
    void accept(evhttp_request *native);
};

class HttpServer::Private::Exchange final : public HttpExchange
{
public:
    Exchange(Private *server, evhttp_request *native)
        : server_(server), native_(native), request_(readRequest(native))
    {
        server_->exchanges.insert(this);
        watchForClose();
    }

    ~Exchange() override
    {
        respond({500, {{"Content-Type", "text/plain"}}, "The request was dropped.\n"});
    }

    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    const HttpRequest &request() const override { return request_; }

    bool isClosed() const override
    {
        if (native_ == nullptr)
            return true;
        bufferevent *stream =
            evhttp_connection_get_bufferevent(evhttp_request_get_connection(native_));
        pollfd polled{bufferevent_getfd(stream), POLLRDHUP, 0};
        return poll(&polled, 1, 0) > 0;
    }

    void onClosed(std::function<void()> closed) override { closed_ = std::move(closed); }

    void respond(HttpResponse response) override
    {
        if (native_ == nullptr)
            return;
        evhttp_request *native = std::exchange(native_, nullptr);
        stopWatching();
        closed_ = nullptr;
        server_->exchanges.erase(this);
        HttpConnection *connection = server_->connectionOf(native);
        evkeyvalq *headers = evhttp_request_get_output_headers(native);
        for (const auto &field : response.headers)
            evhttp_add_header(headers, field.name.c_str(), field.value.c_str());
        if (server_->closing && evhttp_find_header(headers, "Connection") == nullptr)
            evhttp_add_header(headers, "Connection", "close");
        evbuffer *body = evbuffer_new();
        if (request_.method != "HEAD")
            evbuffer_add(body, response.body.data(), response.body.size());
        evhttp_send_reply(native, static_cast<int>(response.status), nullptr, body);
        evbuffer_free(body);
        if (connection != nullptr)
            connection->beginSending();
    }

    /** Detaches from the request when the server is destroyed before the response. */
    void abandon()
    {
        native_ = nullptr;
        stopWatching();
        closed_ = nullptr;
    }

private:
    void watchForClose()
    {
        bufferevent *stream =
            evhttp_connection_get_bufferevent(evhttp_request_get_connection(native_));
        // evhttp aborts the process if bytes of the next request arrive before the response to
        // this one, so reading is disabled until the response has been sent. EV_CLOSED detects
        // that the caller disconnects without reading.
        bufferevent_disable(stream, EV_READ);
        closeEvent_ = event_new(
            server_->loop.base(), bufferevent_getfd(stream), EV_CLOSED,
            [](evutil_socket_t, short, void *self) {
                static_cast<Exchange *>(self)->notifyClosed();
            },
            this);
        event_add(closeEvent_, nullptr);
    }

    void stopWatching()
    {
        if (closeEvent_ != nullptr)
            event_free(std::exchange(closeEvent_, nullptr));
    }

    void notifyClosed()
    {
        auto closed = std::exchange(closed_, nullptr);
        if (closed)
            closed();
    }

    Private *server_;
    evhttp_request *native_;
    HttpRequest request_;
    event *closeEvent_ = nullptr;
    std::function<void()> closed_;
};

bufferevent *HttpServer::Private::addConnection()
{
    bufferevent *stream = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    if (stream == nullptr)
        return nullptr;
    connections[stream] = std::make_unique<HttpConnection>(context, stream);
    if (context.budget->decisions().closingConnections(context.door) >= MaxClosingConnections)
        setPaused(true);
    return stream;
}

HttpConnection *HttpServer::Private::connectionOf(evhttp_request *native) const
{
    evhttp_connection *connection = evhttp_request_get_connection(native);
    if (connection == nullptr)
        return nullptr;
    const auto found = connections.find(evhttp_connection_get_bufferevent(connection));
    return found == connections.end() ? nullptr : found->second.get();
}

/** Stops accepting connections, or accepts them again. */
void HttpServer::Private::setPaused(bool paused)
{
    if (listener == nullptr || paused == isPaused)
        return;
    isPaused = paused;
    evconnlistener *native = evhttp_bound_socket_get_listener(listener);
    if (paused)
        evconnlistener_disable(native);
    else
        evconnlistener_enable(native);
}

void HttpServer::Private::sweep()
{
    const TimePoint now = loop.clock().now();
    // After a suspension timers fire before the bytes that arrived meanwhile are read, so that a
    // connection would count as idle although its request waits.
    const bool wasSuspended = now - lastSweep > SuspensionThreshold;
    lastSweep = now;
    for (auto it = connections.begin(); it != connections.end();) {
        HttpConnection &connection = *it->second;
        if (connection.isDropped()) {
            it = connections.erase(it);
            continue;
        }
        if (wasSuspended)
            connection.restartTimes(now);
        connection.checkTimes(now);
        if (isPaused)
            connection.closeRefused();
        ++it;
    }
    if (context.budget->decisions().closingConnections(context.door) < MaxClosingConnections)
        setPaused(false);
    context.budget->report(now);
}

void HttpServer::Private::accept(evhttp_request *native)
{
    HttpConnection *connection = connectionOf(native);
    auto exchange = std::make_shared<Exchange>(this, native);
    if (connection != nullptr) {
        if (auto refusal = connection->beginHandling(exchange->request()))
            return exchange->respond(std::move(*refusal));
    }
    if (const char *conflict = framingConflict(exchange->request()))
        return exchange->respond(refusalResponse(400, conflict));
    handler(exchange);
}

HttpServer::HttpServer(EventLoop &loop, HttpLimits limits, Handler handler,
                       HttpServerOptions options)
    : private_(
        new Private{loop,
                    {loop.clock(), limits, std::move(options.budget), 0, options.acceptsBody},
                    std::move(handler)})
{
    auto *self = private_.get();
    HttpConnectionContext &context = self->context;
    if (context.budget == nullptr)
        context.budget = std::make_shared<HttpBudget>();
    context.door = context.budget->decisions().addDoor(limits.maxConnections);
    self->http = evhttp_new(loop.base());
    evhttp_set_max_headers_size(self->http, static_cast<ev_ssize_t>(limits.maxHeaderBytes));
    evhttp_set_max_body_size(self->http, static_cast<ev_ssize_t>(limits.maxBodyBytes));
    evhttp_set_allowed_methods(self->http, allHttpMethods());
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(limits.idleTimeout);
    evhttp_set_timeout(self->http, static_cast<int>(std::max<long>(seconds.count(), 1)));
    evhttp_set_bevcb(
        self->http,
        [](event_base *, void *server) { return static_cast<Private *>(server)->addConnection(); },
        self);
    evhttp_set_gencb(
        self->http,
        [](evhttp_request *request, void *server) {
            static_cast<Private *>(server)->accept(request);
        },
        self);
    self->lastSweep = loop.clock().now();
    self->sweepTimer = std::make_unique<Timer>(loop, [self] { self->sweep(); });
    self->sweepTimer->startEvery(SweepPeriod);
}

HttpServer::~HttpServer()
{
    const auto exchanges = std::move(private_->exchanges);
    for (auto *exchange : exchanges)
        exchange->abandon();
    evhttp_free(private_->http);
}

Result<std::string> HttpServer::listen(const std::string &address)
{
    auto parsed = parseSocketAddress(address);
    if (!parsed)
        return tl::make_unexpected(parsed.error());
    private_->listener =
        evhttp_bind_socket_with_handle(private_->http, parsed->host.c_str(), parsed->port);
    if (private_->listener == nullptr) {
        return fail(Failure::Unavailable, Step::Connect, address,
                    fmt::format("The HTTP server cannot listen on {}: {}.", address,
                                evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR())));
    }
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    if (getsockname(evhttp_bound_socket_get_fd(private_->listener),
                    reinterpret_cast<sockaddr *>(&bound), &size)
        == 0)
        parsed->port = ntohs(bound.sin_port);
    return parsed->text();
}

void HttpServer::closeListener()
{
    private_->closing = true;
    if (private_->listener != nullptr)
        evhttp_del_accept_socket(private_->http, std::exchange(private_->listener, nullptr));
}

std::size_t HttpServer::inFlight() const
{
    return private_->exchanges.size();
}

} // namespace Oleander
