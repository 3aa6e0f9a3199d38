#include "Runtime/httpclient.h"

#include "Runtime/address.h"
#include "Runtime/httpmethod.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <deque>
#include <list>
#include <map>
#include <utility>

namespace Oleander {

namespace {

constexpr std::size_t MaxResponseHeaderBytes = 64U << 10U;
constexpr std::size_t MaxResponseBodyBytes = 4U << 20U;
constexpr unsigned StatusNoContent = 204;
constexpr unsigned StatusNotModified = 304;

HttpCallError callError(Failure failure, Step step, const std::string &peer, bool mayHaveBeenSent,
                        const std::string &detail)
{
    return {makeError(failure, step, peer, detail), mayHaveBeenSent};
}

HttpResponse readResponse(evhttp_request *native)
{
    HttpResponse response;
    response.status = static_cast<unsigned>(evhttp_request_get_response_code(native));
    const evkeyvalq *headers = evhttp_request_get_input_headers(native);
    for (const evkeyval *field = headers->tqh_first; field != nullptr; field = field->next.tqe_next)
        response.headers.push_back({field->key, field->value});
    evbuffer *body = evhttp_request_get_input_buffer(native);
    response.body.resize(evbuffer_get_length(body));
    evbuffer_copyout(body, response.body.data(), response.body.size());
    return response;
}

// Without a declared length or chunks, a response that was cut short by the end of its connection
// cannot be told from a complete one.
bool hasDeclaredEnd(evhttp_request *native, const std::string &method, unsigned status)
{
    if (method == "HEAD" || status == StatusNoContent || status == StatusNotModified)
        return true;
    const evkeyvalq *headers = evhttp_request_get_input_headers(native);
    return evhttp_find_header(headers, "Content-Length") != nullptr
           || evhttp_find_header(headers, "Transfer-Encoding") != nullptr;
}

} // namespace

struct HttpClient::Private
{
    struct Connection
    {
        evhttp_connection *native = nullptr;
        CallId call = 0;
        /** Precedence of the call. */
        Precedence precedence = Precedence::Normal;
        bool bytesSent = false;
        /** True once the ConnectionCheck, if there is one, has accepted the open connection. */
        bool isAccepted = false;
    };

    struct Call
    {
        HttpClient::Private *client = nullptr;
        CallId id = 0;
        HttpRequest request;
        Callback callback;
        Precedence precedence = Precedence::Normal;
        Duration timeout{};
        std::unique_ptr<Timer> timer;
        TimePoint deadline{};
        Connection *connection = nullptr;
    };

    EventLoop &loop;
    std::string address;
    ConnectionLimits limits;
    std::optional<ConnectionCheck> check;
    SocketAddress parsed;
    CallId lastId = 0;
    std::map<CallId, std::unique_ptr<Call>> calls;
    std::deque<CallId> waitingUrgent;
    std::deque<CallId> waitingNormal;
    std::list<Connection> connections;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    Connection *acquireConnection();
    void discard(Connection *connection);
    void occupy(Connection &connection, Call &call);
    void start(Call &call, Connection *connection);
    /** Sends \a request for \a call: its own request, or the check of its connection. */
    void send(Call &call, const HttpRequest &request);
    /** Sends the request of \a call if the check accepts \a response. */
    void completeCheck(Call *call, const HttpResponse &response);
    /** Returns the connection of \a call, over which nothing has been sent for it. */
    void release(Call &call);
    /** Sends \a call over its accepted connection, with the time that it has left; a call that has
     * none left is left to its timer. */
    void sendAccepted(Call &call);
    bool mayStartNormal() const;
    void startWaiting();
    void complete(Call *call, evhttp_request *native);
    void expire(CallId id);
    void finish(CallId id, HttpCallResult result);
};

namespace {

void countDrained(evbuffer *, const evbuffer_cb_info *info, void *flag)
{
    if (info->n_deleted > 0)
        *static_cast<bool *>(flag) = true;
}

// evhttp opens a closed connection again for the next request.
bool isOpen(evhttp_connection *native)
{
    return bufferevent_getfd(evhttp_connection_get_bufferevent(native)) >= 0;
}

// An idle connection with unread bytes holds data that belongs to no request, and one at its end
// was closed by the peer; neither may be used for another request.
bool isReusable(evhttp_connection *native)
{
    bufferevent *stream = evhttp_connection_get_bufferevent(native);
    if (evbuffer_get_length(bufferevent_get_input(stream)) > 0)
        return false;
    const int descriptor = bufferevent_getfd(stream);
    if (descriptor < 0)
        return true;
    char byte = 0;
    return recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

} // namespace

HttpClient::Private::Connection *HttpClient::Private::acquireConnection()
{
    for (auto it = connections.begin(); it != connections.end();) {
        auto &connection = *it++;
        if (connection.call != 0)
            continue;
        if (isReusable(connection.native)) {
            connection.isAccepted = connection.isAccepted && isOpen(connection.native);
            return &connection;
        }
        discard(&connection);
    }
    if (connections.size() >= limits.normal + limits.reserved)
        return nullptr;
    auto &connection = connections.emplace_back();
    connection.native =
        evhttp_connection_base_new(loop.base(), nullptr, parsed.host.c_str(), parsed.port);
    evhttp_connection_set_max_headers_size(connection.native, MaxResponseHeaderBytes);
    evhttp_connection_set_max_body_size(connection.native, MaxResponseBodyBytes);
    evhttp_connection_set_retries(connection.native, 0);
    evbuffer *output = bufferevent_get_output(evhttp_connection_get_bufferevent(connection.native));
    evbuffer_add_cb(output, countDrained, &connection.bytesSent);
    return &connection;
}

void HttpClient::Private::discard(Connection *connection)
{
    const auto found = std::find_if(connections.begin(), connections.end(),
                                    [&](const auto &item) { return &item == connection; });
    if (found == connections.end())
        return;
    // evhttp may still use this connection up the call stack, so it is freed in a later loop
    // iteration. The list node is kept with it, since the callback on the output buffer points
    // into the node.
    auto parked = std::make_shared<std::list<Connection>>();
    parked->splice(parked->begin(), connections, found);
    loop.post([parked] { evhttp_connection_free(parked->front().native); });
}

void HttpClient::Private::start(Call &call, Connection *connection)
{
    occupy(*connection, call);
    if (!check)
        connection->isAccepted = true;
    if (connection->isAccepted)
        return sendAccepted(call);
    const Duration rest = call.deadline - loop.clock().now();
    const bool isUrgent = call.precedence == Precedence::Urgent;
    call.timer->startOnce(isUrgent ? check->timeout : std::min(check->timeout, rest));
    send(call, check->request());
}

void HttpClient::Private::sendAccepted(Call &call)
{
    const TimePoint now = loop.clock().now();
    if (call.precedence == Precedence::Urgent)
        call.deadline = now + call.timeout;
    call.timer->startOnce(call.deadline - now);
    // After a stall of the process, sockets are handled before expired timers.
    if (now >= call.deadline)
        return release(call);
    send(call, call.request);
}

void HttpClient::Private::send(Call &call, const HttpRequest &request)
{
    Connection *connection = call.connection;
    connection->bytesSent = false;
    evhttp_request *native = evhttp_request_new(
        [](evhttp_request *answer, void *argument) {
            auto *finished = static_cast<Call *>(argument);
            finished->client->complete(finished, answer);
        },
        &call);
    evkeyvalq *headers = evhttp_request_get_output_headers(native);
    if (request.header("Host").empty())
        evhttp_add_header(headers, "Host", address.c_str());
    for (const auto &field : request.headers)
        evhttp_add_header(headers, field.name.c_str(), field.value.c_str());
    // evhttp adds Content-Length only for POST and PUT.
    const std::string length = std::to_string(request.body.size());
    if (!request.body.empty() && request.header("Content-Length").empty())
        evhttp_add_header(headers, "Content-Length", length.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(native), request.body.data(),
                 request.body.size());
    std::string uri = request.path;
    if (!request.query.empty())
        uri += '?' + request.query;
    const CallId id = call.id;
    const auto method = httpMethod(request.method);
    if (evhttp_make_request(connection->native, native, method.value_or(EVHTTP_REQ_GET),
                            uri.c_str())
        == 0)
        return;
    loop.post([this, id, token = std::weak_ptr<bool>(alive)] {
        if (token.expired() || !calls.contains(id))
            return;
        discard(calls[id]->connection);
        finish(id, tl::make_unexpected(callError(Failure::Unavailable, Step::Connect, address,
                                                 false, "The request could not be started.")));
    });
}

void HttpClient::Private::occupy(Connection &connection, Call &call)
{
    call.connection = &connection;
    connection.call = call.id;
    connection.precedence = call.precedence;
}

void HttpClient::Private::release(Call &call)
{
    std::exchange(call.connection, nullptr)->call = 0;
}

bool HttpClient::Private::mayStartNormal() const
{
    const auto occupied = std::ranges::count_if(connections, [](const Connection &item) {
        return item.call != 0 && item.precedence == Precedence::Normal;
    });
    return static_cast<std::size_t>(occupied) < limits.normal;
}

void HttpClient::Private::startWaiting()
{
    for (auto *waiting : {&waitingUrgent, &waitingNormal}) {
        while (!waiting->empty()) {
            const auto found = calls.find(waiting->front());
            if (found == calls.end()) {
                waiting->pop_front();
                continue;
            }
            if (waiting == &waitingNormal && !mayStartNormal())
                return;
            Connection *connection = acquireConnection();
            if (connection == nullptr)
                return;
            waiting->pop_front();
            start(*found->second, connection);
        }
    }
}

void HttpClient::Private::complete(Call *call, evhttp_request *native)
{
    Connection *connection = call->connection;
    // Bytes of the check are none of the request.
    const bool sent = connection->isAccepted && connection->bytesSent;
    const bool isCheckSent = !connection->isAccepted && connection->bytesSent;
    const CallId id = call->id;
    if (native == nullptr || evhttp_request_get_response_code(native) == 0) {
        discard(connection);
        if (isCheckSent)
            return finish(id, tl::make_unexpected(callError(
                                  Failure::Io, Step::Connect, address, false,
                                  "The connection was closed before it passed its check.")));
        const char *detail = sent
                                 ? "The connection was closed before the complete response arrived."
                                 : "The connection to the peer could not be established.";
        return finish(id, tl::make_unexpected(callError(Failure::Unavailable,
                                                        sent ? Step::Answer : Step::Connect,
                                                        address, sent, detail)));
    }
    HttpResponse response = readResponse(native);
    if (!connection->isAccepted)
        return completeCheck(call, response);
    if (!hasDeclaredEnd(native, call->request.method, response.status)) {
        discard(connection);
        return finish(
            id, tl::make_unexpected(callError(
                    Failure::Protocol, Step::Answer, address, true,
                    "The response has neither a length nor chunks, so it may be truncated.")));
    }
    connection->call = 0;
    if (!isReusable(connection->native))
        discard(connection);
    finish(id, std::move(response));
}

void HttpClient::Private::completeCheck(Call *call, const HttpResponse &response)
{
    Connection *connection = call->connection;
    const bool isAccepted = check->accepts(response);
    if (!isAccepted || !isReusable(connection->native)) {
        discard(connection);
        // A server that closes each connection after its response is reached over a new one.
        connection = isAccepted ? acquireConnection() : nullptr;
    }
    if (connection == nullptr) {
        return finish(call->id, tl::make_unexpected(
                                    callError(Failure::WrongIncarnation, Step::Connect, address,
                                              false, "The connection did not pass its check.")));
    }
    connection->isAccepted = true;
    occupy(*connection, *call);
    sendAccepted(*call);
}

void HttpClient::Private::expire(CallId id)
{
    const auto found = calls.find(id);
    if (found == calls.end())
        return;
    Connection *connection = found->second->connection;
    const bool sent = connection != nullptr && connection->isAccepted && connection->bytesSent;
    if (connection != nullptr) {
        evhttp_connection_free(connection->native);
        connections.remove_if([&](const auto &item) { return &item == connection; });
    }
    finish(id, tl::make_unexpected(
                   callError(Failure::DeadlineExceeded, sent ? Step::Run : Step::Connect, address,
                             sent, "The deadline passed before the complete response arrived.")));
}

void HttpClient::Private::finish(CallId id, HttpCallResult result)
{
    auto node = calls.extract(id);
    if (node.empty())
        return;
    // This function may be called by the call's timer, so the call is destroyed in a later loop
    // iteration.
    std::shared_ptr<Call> call = std::move(node.mapped());
    call->timer->cancel();
    loop.post([call] {});
    const std::weak_ptr<bool> token = alive;
    call->callback(std::move(result));
    if (!token.expired())
        startWaiting();
}

HttpClient::HttpClient(EventLoop &loop, std::string address, std::size_t maxConnections,
                       std::optional<ConnectionCheck> check)
    : HttpClient(loop, std::move(address), ConnectionLimits{maxConnections, 0}, std::move(check))
{}

HttpClient::HttpClient(EventLoop &loop, std::string address, ConnectionLimits limits,
                       std::optional<ConnectionCheck> check)
    : private_(new Private{loop, std::move(address), limits, std::move(check)})
{
    if (auto parsed = parseSocketAddress(private_->address))
        private_->parsed = *parsed;
}

HttpClient::~HttpClient()
{
    private_->alive.reset();
    private_->calls.clear();
    for (auto &connection : private_->connections)
        evhttp_connection_free(connection.native);
}

HttpClient::CallId HttpClient::call(HttpRequest request, Duration timeout, Callback callback,
                                    Precedence precedence)
{
    auto *self = private_.get();
    const CallId id = ++self->lastId;
    auto call = std::make_unique<Private::Call>();
    call->client = self;
    call->id = id;
    call->request = std::move(request);
    call->callback = std::move(callback);
    call->timer = std::make_unique<Timer>(self->loop, [self, id] { self->expire(id); });
    call->precedence = precedence;
    call->timeout = timeout;
    call->deadline = self->loop.clock().now() + timeout;
    const bool isUrgent = precedence == Precedence::Urgent;
    if (!isUrgent)
        call->timer->startOnce(timeout);
    self->calls[id] = std::move(call);
    (isUrgent ? self->waitingUrgent : self->waitingNormal).push_back(id);
    self->startWaiting();
    return id;
}

void HttpClient::cancel(CallId id)
{
    const auto found = private_->calls.find(id);
    if (found == private_->calls.end())
        return;
    Private::Connection *connection = found->second->connection;
    if (connection != nullptr) {
        evhttp_connection_free(connection->native);
        private_->connections.remove_if([&](const auto &item) { return &item == connection; });
    }
    private_->calls.erase(found);
    private_->startWaiting();
}

bool HttpClient::cancelWaiting(CallId id)
{
    const auto found = private_->calls.find(id);
    if (found == private_->calls.end() || found->second->connection != nullptr)
        return false;
    private_->calls.erase(found);
    return true;
}

} // namespace Oleander
