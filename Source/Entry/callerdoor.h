#pragma once

#include "Entry/routertask.h"
#include "Runtime/eventloop.h"
#include "Runtime/httpserver.h"
#include "Runtime/metrics.h"

#include <string>

namespace Oleander {

/** What a door for callers takes. */
struct CallerDoorSettings
{
    HttpLimits limits;
    /** Deadline of a request that names none. */
    Duration defaultTimeout = std::chrono::seconds(10);
    Duration maxTimeout = std::chrono::seconds(60);
    /** Fails while the entry may not take work; its health then says so. May be empty. */
    std::function<Result<void>()> gate;
};

/**
 * \class CallerDoor
 * \brief HTTP door of one entry for callers: "/<service>/<path>" in any method, and "/healthz".
 */
class CallerDoor
{
public:
    CallerDoor(EventLoop &loop, RouterTask &router, CallerDoorSettings settings);

    /** Listens on "ADDRESS:PORT"; returns the address in use. */
    Result<std::string> listen(const std::string &address) { return server_.listen(address); }
    /** Lets "/healthz" answer 503, so that the balancer leaves; requests are still served. */
    void startDraining() { draining_ = true; }
    void closeListener() { server_.closeListener(); }
    std::size_t inFlight() const { return server_.inFlight(); }

private:
    void handle(const std::shared_ptr<HttpExchange> &exchange);
    HttpResponse health() const;
    /** Counts and logs how a request ended. */
    void note(const std::string &service, TimePoint begun, const CallerResponse &answer);

    const Clock &clock_;
    RouterTask &router_;
    CallerDoorSettings settings_;
    HttpServer server_;
    bool draining_ = false;
};

} // namespace Oleander
