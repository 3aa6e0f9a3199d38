#pragma once

#include "Runtime/eventloop.h"
#include "Runtime/httpbudget.h"
#include "Runtime/httpserver.h"
#include "Runtime/requesthead.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace Oleander {

/** What the connections of one HttpServer share. */
struct HttpConnectionContext
{
    const Clock &clock;
    HttpLimits limits;
    std::shared_ptr<HttpBudget> budget;
    std::size_t door = 0;
    BodyFilter acceptsBody;
    /** Connections that were refused and wait for the client to read that. */
    std::size_t lingering = 0;
};

/** Returns a response with status \a status that says that the request has not run. */
HttpResponse refusalResponse(unsigned status, const std::string &detail);

/**
 * \class HttpConnection
 * \brief One accepted connection: counts its bytes before evhttp reads them and carries out the
 * decisions of the request budget.
 *
 * It holds a reference to the bufferevent, so that isDropped() can detect that evhttp has dropped
 * the connection.
 */
class HttpConnection final : public BudgetedConnection
{
public:
    HttpConnection(HttpConnectionContext &context, bufferevent *stream);
    ~HttpConnection() override;

    void evict(RefusalReason reason, RequestPhase phase) override;

    /** Closes the connection if a time limit has expired. */
    void checkTimes(TimePoint now);
    /** Restarts all times, after the process was suspended. */
    void restartTimes(TimePoint now);
    /** Closes a connection that was refused when it was accepted. */
    void closeRefused();

    /** Starts handling a complete request; returns the response if it is refused. */
    std::optional<HttpResponse> beginHandling(const HttpRequest &request);
    /** Called once evhttp has the response; the response is being sent. */
    void beginSending();

    bool isDropped() const;
    /** True if the connection was over the limit when it was accepted. */
    bool isRefused() const { return isRefused_; }

private:
    static void onInput(evbuffer *input, const evbuffer_cb_info *info, void *self);
    static void onOutput(evbuffer *output, const evbuffer_cb_info *info, void *self);
    void readAdded(evbuffer *input, std::size_t added);
    void checkHead();
    void discardInput();
    void discardOutput();
    void closeNow();
    void refuse(RefusalReason reason);
    void reset();

    HttpConnectionContext &context_;
    bufferevent *stream_;
    RequestHead head_;
    /** Number of fields that the budget counts. */
    std::size_t countedFields_ = 0;
    TimePoint refusedAt_;
    bool isRefused_ = false;
    bool isLingering_ = false;
};

} // namespace Oleander
