#include "Runtime/processdoor.h"

#include "Runtime/metrics.h"
#include "Runtime/statedump.h"

namespace Oleander {

namespace {

constexpr unsigned NotFound = 404;

HttpResponse textAnswer(std::string contentType, std::string body)
{
    return {200, {{"Content-Type", std::move(contentType)}}, std::move(body)};
}

} // namespace

bool answerProcessRequest(HttpExchange &exchange)
{
    const auto &request = exchange.request();
    if (request.method != "GET")
        return false;
    if (request.path == "/metrics") {
        exchange.respond(textAnswer("text/plain; version=0.0.4", processMetrics().exposition()));
        return true;
    }
    if (request.path != "/v1/dump")
        return false;
    if (request.query == "output=json")
        exchange.respond(textAnswer("application/json", stateDumpJson()));
    else
        exchange.respond(textAnswer("text/plain; charset=utf-8", stateDumpText()));
    return true;
}

ProcessDoor::ProcessDoor(EventLoop &loop)
    : server_(loop, HttpLimits{}, [](const std::shared_ptr<HttpExchange> &exchange) {
        if (!answerProcessRequest(*exchange))
            exchange->respond({NotFound, {}, {}});
    })
{}

Result<void> ProcessDoor::listen(const std::string &address)
{
    if (address.empty())
        return {};
    if (auto listening = server_.listen(address); !listening)
        return tl::make_unexpected(listening.error());
    return {};
}

} // namespace Oleander
