#include "Entry/callerdoor.h"

#include "Entry/callerparse.h"
#include "Entry/problemjson.h"

namespace Oleander {

namespace {

constexpr unsigned StatusUnavailable = 503;
constexpr std::string_view HealthPath = "/healthz";

HttpResponse responseTo(CallerAnswer answer)
{
    if (auto *problem = std::get_if<RequestProblem>(&answer))
        return problemResponse(*problem);
    auto &whole = std::get<MinionAnswer>(answer);
    return {whole.status, std::move(whole.headers), std::move(whole.body)};
}

} // namespace

CallerDoor::CallerDoor(EventLoop &loop, RouterTask &router, CallerDoorSettings settings)
    : router_(router)
    , settings_(std::move(settings))
    , server_(loop, settings_.limits,
              [this](const std::shared_ptr<HttpExchange> &exchange) { handle(exchange); })
{}

void CallerDoor::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    if (exchange->request().path == HealthPath) {
        exchange->respond(health());
        return;
    }
    auto request =
        parseCallerRequest(exchange->request(), {settings_.defaultTimeout, settings_.maxTimeout});
    if (!request) {
        exchange->respond(problemResponse(request.error()));
        return;
    }
    const RequestId id = router_.submit(std::move(*request), [exchange](CallerAnswer answer) {
        exchange->respond(responseTo(std::move(answer)));
    });
    exchange->onClosed([this, id] { router_.callerLeft(id); });
}

HttpResponse CallerDoor::health() const
{
    if (draining_)
        return {StatusUnavailable, {{"Content-Type", "text/plain"}}, "draining\n"};
    if (settings_.gate) {
        if (const auto open = settings_.gate(); !open)
            return {
                StatusUnavailable, {{"Content-Type", "text/plain"}}, open.error().detail + '\n'};
    }
    return {200, {{"Content-Type", "text/plain"}}, "ok\n"};
}

} // namespace Oleander
