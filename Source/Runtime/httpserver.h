#pragma once

#include "Base/error.h"
#include "Protocol/messages.h"
#include "Runtime/eventloop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Oleander {

/** A complete HTTP request. */
struct HttpRequest
{
    std::string method;
    /** Path without the query. */
    std::string path;
    std::string query;
    std::vector<HeaderField> headers;
    std::string body;
    std::string peer;

    /** Returns the first header called \a name, ignoring case, or an empty string. */
    std::string header(std::string_view name) const;
};

/** A complete HTTP response. */
struct HttpResponse
{
    unsigned status = 200;
    std::vector<HeaderField> headers;
    std::string body;
};

/** Limits of an HttpServer. */
struct HttpLimits
{
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxBodyBytes = 2U << 20U;
    /** Time after which a connection is closed that is idle, or that pauses within a request or
     * while it takes its response. */
    Duration idleTimeout = std::chrono::seconds(10);
    /** Time in which a request must be complete, and in which its response must be read. */
    Duration requestTimeout = std::chrono::seconds(30);
    std::size_t maxConnections = 1024;
    /** Maximum number of header fields of a request, including the trailer. */
    std::size_t maxHeaderFields = 256;
};

/** Largest body of a request whose method and path take none. It is read, so that the handler can
 * say what is wrong with the request. */
constexpr std::size_t MaxUnexpectedBody = 16U << 10U;

/** Returns whether a request with this method and path may have a body. */
using BodyFilter = std::function<bool(std::string_view method, std::string_view path)>;

/** Filter of a server that takes no bodies. */
inline bool acceptsNoBody(std::string_view, std::string_view)
{
    return false;
}

class HttpBudget;

/** What an HttpServer shares with the other servers of its process, and what it reads. */
struct HttpServerOptions
{
    /** Budget of the process; the server has one of its own if this is null. */
    std::shared_ptr<HttpBudget> budget;
    /** Empty if every request may have a body. */
    BodyFilter acceptsBody;
};

/**
 * \class HttpExchange
 * \brief One request that awaits its response; responds at most once.
 *
 * An exchange that is destroyed without a response responds with status 500.
 */
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;
    virtual const HttpRequest &request() const = 0;
    virtual void respond(HttpResponse response) = 0;
    /** True if the caller has disconnected, or closed its sending side, before the response. Unlike
     * onClosed() it also sees a close that arrived together with the request, as after a
     * suspension of this process. */
    virtual bool isClosed() const = 0;
    /** Calls \a handler if the caller disconnects before the response. */
    virtual void onClosed(std::function<void()> handler) = 0;
};

/**
 * \class HttpServer
 * \brief HTTP server based on evhttp.
 */
class HttpServer
{
public:
    using Handler = std::function<void(const std::shared_ptr<HttpExchange> &)>;

    HttpServer(EventLoop &loop, HttpLimits limits, Handler handler, HttpServerOptions options = {});
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Listens on "ADDRESS:PORT"; port 0 picks a free port. Returns the actual address. */
    Result<std::string> listen(const std::string &address);
    /** Closes the listening socket; requests in flight are still answered. */
    void closeListener();
    /** Number of requests without a response yet. */
    std::size_t inFlight() const;

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace Oleander
