#pragma once

#include "Base/error.h"
#include "Runtime/eventloop.h"
#include "Runtime/httpserver.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Oleander {

/** A failed call, and whether any byte of the request may have reached the peer. */
struct HttpCallError
{
    Error error;
    bool mayHaveBeenSent = true;
};

/** A complete response, or the reason why there is none. */
using HttpCallResult = tl::expected<HttpResponse, HttpCallError>;

/** A request that is sent first on each new connection and decides whether calls may use it. */
struct ConnectionCheck
{
    std::function<HttpRequest()> request;
    std::function<bool(const HttpResponse &)> accepts;
    /** Time for the check, part of the timeout of the first call. */
    Duration timeout{};
};

/** Order in which waiting calls get a connection. */
enum class Precedence {
    Normal,
    /** Goes before normal calls; its timeout counts from the sending of the request. */
    Urgent,
};

/** Maximum numbers of connections of a client. */
struct ConnectionLimits
{
    /** Connections that normal calls may occupy at once. */
    std::size_t normal = 1;
    /** Further connections, which only urgent calls may occupy. */
    std::size_t reserved = 0;
};

/**
 * \class HttpClient
 * \brief HTTP client for one server with a connection pool over evhttp; never retries a request.
 *
 * A response is complete only if it has a declared length or its final chunk was received. With a
 * ConnectionCheck, a call is sent only on a connection that was accepted and has stayed open since,
 * or, if the server closes each connection after its response, right after the check.
 */
class HttpClient
{
public:
    using Callback = std::function<void(HttpCallResult)>;
    using CallId = std::uint64_t;

    HttpClient(EventLoop &loop, std::string address, std::size_t maxConnections,
               std::optional<ConnectionCheck> check = std::nullopt);
    HttpClient(EventLoop &loop, std::string address, ConnectionLimits limits,
               std::optional<ConnectionCheck> check = std::nullopt);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Sends \a request; \a callback is called exactly once unless the call is cancelled. */
    CallId call(HttpRequest request, Duration timeout, Callback callback,
                Precedence precedence = Precedence::Normal);
    /** Aborts the call and closes its connection; its callback is not called. */
    void cancel(CallId id);
    /** Cancels the call and returns true if it still waits for a connection. */
    bool cancelWaiting(CallId id);

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace Oleander
