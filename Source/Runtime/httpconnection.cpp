#include "Runtime/httpconnection.h"

#include "Protocol/jsonreader.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

namespace Oleander {

namespace {

// A complete request is held as the bytes read, as the request's body and in decoded form.
constexpr std::size_t BodyCopies = 3;
// Memory of one JSON value once parsed and decoded.
constexpr std::size_t BytesPerValue = 96;
// Memory of a header field beside its text: evhttp allocates three blocks for each.
constexpr std::size_t BytesPerField = 128;
// A refused client may send for this long before its connection is closed. Closing at once would
// reset the connection before the client has read the answer.
constexpr Duration LingerTime = std::chrono::seconds(1);
// The memory of lingering connections does not count against the budget.
constexpr std::size_t MaxLingering = 64;

struct Refusal
{
    unsigned status;
    const char *title;
    const char *detail;
};

Refusal refusalOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::Timeout:
        return {408, "Request Timeout", "The request was not complete in time."};
    case RefusalReason::HeaderFields:
        return {431, "Request Header Fields Too Large", "The request has too many header fields."};
    case RefusalReason::UnexpectedBody:
        return {413, "Content Too Large", "This method and path take no body of this size."};
    case RefusalReason::Connections:
        return {503, "Service Unavailable", "This server has too many connections."};
    case RefusalReason::Budget:
        break;
    }
    return {503, "Service Unavailable", "This process holds too many bytes of requests."};
}

std::string refusalText(const Refusal &refusal)
{
    const HttpResponse response = refusalResponse(refusal.status, refusal.detail);
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n", refusal.status, refusal.title);
    for (const auto &field : response.headers)
        text += fmt::format("{}: {}\r\n", field.name, field.value);
    return text + fmt::format("Content-Length: {}\r\n\r\n{}", response.body.size(), response.body);
}

/** Starts the timeout of a direction again and drops its expiry if that is not handled yet. */
void restartTimeout(bufferevent *stream, short direction)
{
    if ((bufferevent_get_enabled(stream) & direction) == 0)
        return;
    bufferevent_disable(stream, direction);
    bufferevent_enable(stream, direction);
}

} // namespace

HttpResponse refusalResponse(unsigned status, const std::string &detail)
{
    return {status,
            {{"Content-Type", "application/problem+json"}, {"Connection", "close"}},
            fmt::format(R"({{"title":"{}","status":{},"outcome":"not-run","step":"accept"}})",
                        detail, status)};
}

HttpConnection::HttpConnection(HttpConnectionContext &context, bufferevent *stream)
    : context_(context), stream_(stream)
{
    bufferevent_incref(stream_);
    evbuffer_add_cb(bufferevent_get_input(stream_), onInput, this);
    evbuffer_add_cb(bufferevent_get_output(stream_), onOutput, this);
    isRefused_ = !context_.budget->decisions().open(*this, context_.door, context_.clock.now());
}

HttpConnection::~HttpConnection()
{
    evbuffer_remove_cb(bufferevent_get_input(stream_), onInput, this);
    evbuffer_remove_cb(bufferevent_get_output(stream_), onOutput, this);
    context_.budget->decisions().close(*this);
    context_.lingering -= isLingering_ ? 1 : 0;
    bufferevent_decref(stream_);
}

bool HttpConnection::isDropped() const
{
    bufferevent_data_cb read = nullptr;
    bufferevent_data_cb write = nullptr;
    bufferevent_event_cb event = nullptr;
    void *argument = nullptr;
    bufferevent_getcb(stream_, &read, &write, &event, &argument);
    return event == nullptr;
}

void HttpConnection::evict(RefusalReason reason, RequestPhase phase)
{
    discardInput();
    const int socket = bufferevent_getfd(stream_);
    const bool isIncomplete = phase == RequestPhase::Receiving || phase == RequestPhase::Idle;
    const bool isInFavourOfAnother = reason == RefusalReason::Connections && !isRefused_;
    // Output that is not sent is the answer to an Expect header; the client would take the refusal
    // for a part of it.
    if (!isIncomplete || isInFavourOfAnother
        || evbuffer_get_length(bufferevent_get_output(stream_)) > 0) {
        closeNow();
        if (phase == RequestPhase::Sending)
            discardOutput();
        return;
    }
    const std::string text = refusalText(refusalOf(reason));
    // Bypasses evhttp, which has no request to answer yet. A socket without room for the text is
    // closed without it.
    static_cast<void>(send(socket, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
    // evhttp keeps the head, and the chunks of a body, for as long as the connection lingers.
    if (isLingering_ || head_.isChunked() || context_.lingering >= MaxLingering) {
        closeNow();
        return;
    }
    shutdown(socket, SHUT_WR);
    isLingering_ = true;
    ++context_.lingering;
    refusedAt_ = context_.clock.now();
}

/** Makes evhttp drop the connection as if the client had closed it. What the client has sent but
 * evhttp has not read would delay its end otherwise. */
void HttpConnection::closeNow()
{
    shutdown(bufferevent_getfd(stream_), SHUT_RDWR);
    bufferevent_trigger_event(stream_, BEV_EVENT_READING | BEV_EVENT_EOF, BEV_TRIG_DEFER_CALLBACKS);
}

void HttpConnection::checkTimes(TimePoint now)
{
    const HttpLimits &limits = context_.limits;
    const bool isStalled = now - lastProgress() > limits.idleTimeout;
    const bool isOverdue = now - phaseStart() > limits.requestTimeout;
    switch (phase()) {
    case RequestPhase::Idle:
        if (isStalled || (isRefused_ && now - phaseStart() > LingerTime))
            closeNow();
        break;
    case RequestPhase::Receiving:
    case RequestPhase::Sending:
        if (isStalled || isOverdue)
            refuse(RefusalReason::Timeout);
        break;
    case RequestPhase::Closing:
        if (now - refusedAt_ > LingerTime)
            closeNow();
        break;
    case RequestPhase::Handling:
        break;
    }
}

void HttpConnection::restartTimes(TimePoint now)
{
    RequestBudget::restartTimes(*this, now);
    restartTimeout(stream_, EV_READ);
    restartTimeout(stream_, EV_WRITE);
}

void HttpConnection::closeRefused()
{
    if (isRefused_)
        closeNow();
}

std::optional<HttpResponse> HttpConnection::beginHandling(const HttpRequest &request)
{
    const std::size_t values = countJsonValues(request.body, MaxDocumentValues);
    std::size_t bytes = std::max(BodyCopies * request.body.size(), BytesPerValue * values)
                        + request.path.size() + request.query.size();
    for (const auto &field : request.headers)
        bytes += field.name.size() + field.value.size() + BytesPerField;
    if (!context_.budget->decisions().admit(*this, bytes, context_.clock.now()))
        return refusalResponse(503, refusalOf(RefusalReason::Budget).detail);
    if (isRefused_) {
        context_.budget->decisions().countRefusal(RefusalReason::Connections);
        return refusalResponse(503, refusalOf(RefusalReason::Connections).detail);
    }
    return std::nullopt;
}

void HttpConnection::beginSending()
{
    const std::size_t bytes = evbuffer_get_length(bufferevent_get_output(stream_));
    evbuffer *input = bufferevent_get_input(stream_);
    context_.budget->decisions().startSending(*this, bytes, evbuffer_get_length(input),
                                              context_.clock.now());
}

void HttpConnection::onInput(evbuffer *input, const evbuffer_cb_info *info, void *self)
{
    auto *connection = static_cast<HttpConnection *>(self);
    if (info->n_added > 0)
        connection->readAdded(input, info->n_added);
}

void HttpConnection::readAdded(evbuffer *input, std::size_t added)
{
    if (phase() == RequestPhase::Closing || isDropped())
        return discardInput();
    if (isRefused_)
        return refuse(RefusalReason::Connections);
    evbuffer_ptr position{};
    evbuffer_ptr_set(input, &position, evbuffer_get_length(input) - added, EVBUFFER_PTR_SET);
    std::array<char, 4096> bytes{};
    for (std::size_t left = added; left > 0;) {
        const auto copied =
            evbuffer_copyout_from(input, &position, bytes.data(), std::min(left, bytes.size()));
        if (copied <= 0)
            break;
        head_.feed({bytes.data(), static_cast<std::size_t>(copied)});
        left -= static_cast<std::size_t>(copied);
        evbuffer_ptr_set(input, &position, static_cast<std::size_t>(copied), EVBUFFER_PTR_ADD);
    }
    const std::size_t fields = head_.fields() - countedFields_;
    countedFields_ = head_.fields();
    if (context_.budget->decisions().receive(*this, added, fields * BytesPerField,
                                             context_.clock.now()))
        checkHead();
}

/** Refuses a request as soon as its head shows that it is over a limit. */
void HttpConnection::checkHead()
{
    if (head_.fields() > context_.limits.maxHeaderFields)
        return refuse(RefusalReason::HeaderFields);
    // A path that is too long to be kept is left to the handler.
    if (head_.isComplete() && head_.bodyBytes() > MaxUnexpectedBody && context_.acceptsBody
        && !head_.path().empty() && !context_.acceptsBody(head_.method(), head_.path()))
        refuse(RefusalReason::UnexpectedBody);
}

void HttpConnection::onOutput(evbuffer *output, const evbuffer_cb_info *info, void *self)
{
    auto *connection = static_cast<HttpConnection *>(self);
    if (info->n_deleted == 0 || connection->phase() != RequestPhase::Sending)
        return;
    RequestBudget &decisions = connection->context_.budget->decisions();
    const TimePoint now = connection->context_.clock.now();
    decisions.sent(*connection, info->n_deleted, now);
    if (evbuffer_get_length(output) == 0)
        connection->reset();
}

/** Prepares for the next request, of which a part may have been read already. */
void HttpConnection::reset()
{
    evbuffer *input = bufferevent_get_input(stream_);
    const std::size_t buffered = evbuffer_get_length(input);
    context_.budget->decisions().finishSending(*this, 0, context_.clock.now());
    head_.reset();
    countedFields_ = 0;
    if (buffered > 0)
        readAdded(input, buffered);
}

void HttpConnection::refuse(RefusalReason reason)
{
    context_.budget->decisions().refuse(*this, reason);
}

/** Releases an answer that will not be sent. Until evhttp drops the connection, the answers of all
 * connections that are closed in one pass of the event loop would be held otherwise. */
void HttpConnection::discardOutput()
{
    evbuffer *output = bufferevent_get_output(stream_);
    // Outside of its own writing, the bufferevent forbids to remove bytes from the front.
    evbuffer_unfreeze(output, 1);
    evbuffer_drain(output, evbuffer_get_length(output));
    evbuffer_freeze(output, 1);
}

void HttpConnection::discardInput()
{
    evbuffer *input = bufferevent_get_input(stream_);
    if (evbuffer_get_length(input) > 0)
        evbuffer_drain(input, evbuffer_get_length(input));
}

} // namespace Oleander
