#include "Runtime/diagnosticsserver.h"

#include "Runtime/metrics.h"
#include "Runtime/statedump.h"

namespace Oleander {

namespace {

constexpr unsigned NotFound = 404;

HttpResponse textResponse(std::string contentType, std::string body)
{
    return {200, {{"Content-Type", std::move(contentType)}}, std::move(body)};
}

} // namespace

bool answerDiagnosticsRequest(HttpExchange &exchange)
{
    const auto &request = exchange.request();
    if (request.method != "GET")
        return false;
    if (request.path == "/metrics") {
        exchange.respond(textResponse("text/plain; version=0.0.4", processMetrics().exposition()));
        return true;
    }
    if (request.path != "/v1/dump")
        return false;
    if (request.query == "output=json")
        exchange.respond(textResponse("application/json", stateDumpJson()));
    else
        exchange.respond(textResponse("text/plain; charset=utf-8", stateDumpText()));
    return true;
}

DiagnosticsServer::DiagnosticsServer(EventLoop &loop, std::shared_ptr<HttpBudget> budget)
    : server_(loop, HttpLimits{},
              [](const std::shared_ptr<HttpExchange> &exchange) {
                  if (!answerDiagnosticsRequest(*exchange))
                      exchange->respond({NotFound, {}, {}});
              },
              {std::move(budget), acceptsNoBody})
{}

Result<void> DiagnosticsServer::listen(const std::string &address)
{
    if (address.empty())
        return {};
    if (auto listening = server_.listen(address); !listening)
        return tl::make_unexpected(listening.error());
    return {};
}

} // namespace Oleander
