#pragma once

#include "Entry/routertask.h"
#include "Runtime/eventloop.h"
#include "Runtime/httpserver.h"
#include "Runtime/metrics.h"

#include <string>

namespace Oleander {

/** What a door for callers takes. */
struct CallerServerSettings
{
    HttpLimits limits;
    /** Deadline of a request that names none. */
    Duration defaultTimeout = std::chrono::seconds(10);
    Duration maxTimeout = std::chrono::seconds(60);
    /** Fails while the entry may not take work; its health then says so. May be empty. */
    std::function<Result<void>()> gate;
};

/**
 * \class CallerServer
 * \brief HTTP door of one entry for callers: "/<service>/<path>" in any method, and "/healthz".
 */
class CallerServer
{
public:
    CallerServer(EventLoop &loop, RouterTask &router, CallerServerSettings settings);

    /** Listens on "ADDRESS:PORT"; returns the address in use. */
    Result<std::string> listen(const std::string &address) { return server_.listen(address); }
    /** Lets "/healthz" answer 503, so that the balancer leaves; requests are still served. */
    void startDraining() { isDraining_ = true; }
    void closeListener() { server_.closeListener(); }
    std::size_t inFlight() const { return server_.inFlight(); }

private:
    void handle(const std::shared_ptr<HttpExchange> &exchange);
    HttpResponse health() const;
    /** Counts and logs how a request ended. */
    void recordRequest(const std::string &service, TimePoint startedAt,
                       const CallerResponse &answer);

    const Clock &clock_;
    RouterTask &router_;
    CallerServerSettings settings_;
    HttpServer server_;
    bool isDraining_ = false;
};

} // namespace Oleander
