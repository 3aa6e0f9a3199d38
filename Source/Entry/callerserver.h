#pragma once

#include "Entry/routertask.h"
#include "Runtime/eventloop.h"
#include "Runtime/httpserver.h"
#include "Runtime/metrics.h"

#include <string>

namespace Oleander {

/** Limits, deadlines and admission check of the server for callers. */
struct CallerServerSettings
{
    HttpLimits limits;
    /** Timeout of a request without a timeout header. */
    Duration defaultTimeout = std::chrono::seconds(10);
    /** Longest timeout that a request may ask for. */
    Duration maxTimeout = std::chrono::seconds(60);
    /** Fails while the entry may not admit work; "/healthz" then answers 503. May be empty. */
    std::function<Result<void>()> gate;
    /** Budget of the process; the server has one of its own if this is null. */
    std::shared_ptr<HttpBudget> budget;
};

/**
 * \class CallerServer
 * \brief HTTP server of an entry for callers: forwards "/<service>/<path>" with any method to the
 * router and answers "/healthz".
 */
class CallerServer
{
public:
    CallerServer(EventLoop &loop, RouterTask &router, CallerServerSettings settings);

    /** Listens on "ADDRESS:PORT"; returns the address in use. */
    Result<std::string> listen(const std::string &address) { return server_.listen(address); }
    /** Makes "/healthz" answer 503, so that load balancers remove this entry. Requests are still
     * served. */
    void startDraining() { isDraining_ = true; }
    void closeListener() { server_.closeListener(); }
    std::size_t inFlight() const { return server_.inFlight(); }

private:
    void handle(const std::shared_ptr<HttpExchange> &exchange);
    HttpResponse health() const;
    /** Records the latency and outcome of a request as metrics; logs it if it failed. */
    void recordRequest(const std::string &service, TimePoint startedAt,
                       const CallerResponse &answer);

    const Clock &clock_;
    RouterTask &router_;
    CallerServerSettings settings_;
    HttpServer server_;
    bool isDraining_ = false;
};

} // namespace Oleander
