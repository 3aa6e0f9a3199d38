#pragma once

#include "Agent/requesttask.h"
#include "Runtime/eventloop.h"
#include "Runtime/httpserver.h"

#include <string>

namespace Oleander {

/** Limits of the server for minions. */
struct MinionServerSettings
{
    HttpLimits limits;
    /** Longest time to live that a minion may announce. */
    Duration maxTimeToLive = std::chrono::seconds(30);
};

/**
 * \class MinionServer
 * \brief HTTP server of an agent at which the minions of its host register.
 *
 * `PUT /v1/minions/<name>` announces a minion or renews its announcement, `DELETE` withdraws it,
 * and `GET /v1/minions` lists the minions.
 */
class MinionServer
{
public:
    MinionServer(EventLoop &loop, RequestTask &requests, MinionServerSettings settings,
                 std::shared_ptr<HttpBudget> budget = nullptr);

    /** Listens on "ADDRESS:PORT"; returns the address in use. */
    Result<std::string> listen(const std::string &address) { return server_.listen(address); }
    void closeListener() { server_.closeListener(); }

private:
    HttpResponse handle(const HttpRequest &request);
    HttpResponse announce(const std::string &name, const std::string &body);
    HttpResponse withdraw(const std::string &name);
    HttpResponse list() const;

    RequestTask &requests_;
    MinionServerSettings settings_;
    HttpServer server_;
};

} // namespace Oleander
