#pragma once

#include "Base/error.h"
#include "Runtime/eventloop.h"
#include "Runtime/httpserver.h"

#include <functional>
#include <memory>
#include <string>

namespace Oleander {

/** A failed call and whether any byte of the request may have reached the peer. */
struct HttpCallError
{
    Error error;
    bool mayHaveBeenSent = true;
};

/** A whole answer, or why there is none. */
using HttpCallResult = tl::expected<HttpResponse, HttpCallError>;

/**
 * \class HttpClient
 * \brief Calls one HTTP peer over a pool of evhttp connections; never resends a request.
 *
 * An answer counts as whole only when its length was declared or its final chunk was seen.
 */
class HttpClient
{
public:
    using Callback = std::function<void(HttpCallResult)>;
    using CallId = std::uint64_t;

    HttpClient(EventLoop &loop, std::string address, std::size_t maxConnections);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Sends \a request; \a callback is called exactly once, unless cancel() comes first. */
    CallId call(HttpRequest request, Duration timeout, Callback callback);
    /** Gives the call up and closes its connection; its callback is not called. */
    void cancel(CallId id);

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace Oleander
