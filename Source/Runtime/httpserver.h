#pragma once

#include "Base/error.h"
#include "Protocol/messages.h"
#include "Runtime/eventloop.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Oleander {

/** A whole request as it came in. */
struct HttpRequest
{
    std::string method;
    /** Path without the query. */
    std::string path;
    std::string query;
    std::vector<HeaderField> headers;
    std::string body;
    std::string peer;

    /** Value of the first header called \a name in any case, or an empty string. */
    std::string header(std::string_view name) const;
};

/** A whole answer. */
struct HttpResponse
{
    unsigned status = 200;
    std::vector<HeaderField> headers;
    std::string body;
};

/** What a door takes at most. */
struct HttpLimits
{
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxBodyBytes = 2U << 20U;
    /** Time that a sender may pause within a request or an idle connection may stay open. */
    Duration idleTimeout = std::chrono::seconds(10);
    std::size_t maxConnections = 1024;
};

/**
 * \class HttpExchange
 * \brief One request that waits for its answer; answered at most once.
 *
 * Dropping an exchange unanswered answers 500.
 */
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;
    virtual const HttpRequest &request() const = 0;
    virtual void respond(HttpResponse response) = 0;
    /** Calls \a handler when the caller leaves before the answer. */
    virtual void onClosed(std::function<void()> handler) = 0;
};

/**
 * \class HttpServer
 * \brief One HTTP door over evhttp.
 */
class HttpServer
{
public:
    using Handler = std::function<void(const std::shared_ptr<HttpExchange> &)>;

    HttpServer(EventLoop &loop, HttpLimits limits, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Listens on "ADDRESS:PORT"; port 0 lets the system pick one. Returns the address in use. */
    Result<std::string> listen(const std::string &address);
    /** Closes the listening socket; requests in flight go on. */
    void closeListener();
    /** Requests that wait for their answer. */
    std::size_t inFlight() const;

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace Oleander
