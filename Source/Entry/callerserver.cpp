#include "Entry/callerserver.h"

#include "Entry/callerparse.h"
#include "Entry/problemjson.h"
#include "Runtime/log.h"

namespace Oleander {

namespace {

constexpr unsigned StatusUnavailable = 503;
constexpr std::string_view HealthPath = "/healthz";

HttpResponse responseTo(CallerResponse answer)
{
    if (auto *problem = std::get_if<RequestProblem>(&answer))
        return problemResponse(*problem);
    auto &response = std::get<MinionResponse>(answer);
    return {response.status, std::move(response.headers), std::move(response.body)};
}

} // namespace

CallerServer::CallerServer(EventLoop &loop, RouterTask &router, CallerServerSettings settings)
    : clock_(loop.clock())
    , router_(router)
    , settings_(std::move(settings))
    , server_(loop, settings_.limits,
              [this](const std::shared_ptr<HttpExchange> &exchange) { handle(exchange); },
              {settings_.budget, [](auto, auto path) { return path != HealthPath; }})
{}

void CallerServer::handle(const std::shared_ptr<HttpExchange> &exchange)
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
    const TimePoint startedAt = clock_.now();
    const std::string service = request->service;
    const auto done = [this, exchange, service, startedAt](CallerResponse answer) {
        recordRequest(service, startedAt, answer);
        exchange->respond(responseTo(std::move(answer)));
    };
    const RequestId id = router_.submit(std::move(*request), done);
    exchange->onClosed([this, id] { router_.callerDisconnected(id); });
}

void CallerServer::recordRequest(const std::string &service, TimePoint startedAt,
                                 const CallerResponse &answer)
{
    LatencyHistogram &seconds = processMetrics().histogram(
        "oleander_request_seconds", "Time from a whole request to its answer.", {});
    seconds.record(clock_.now() - startedAt);
    const auto *problem = std::get_if<RequestProblem>(&answer);
    const std::string outcome(problem ? outcomeName(problem->outcome) : "answered");
    processMetrics()
        .counter("oleander_requests_total", "Requests of callers by outcome.",
                 {{"outcome", outcome}})
        .add();
    if (!problem)
        return;
    const bool shed = problem->outcome == Outcome::NotRun;
    logEvent(shed ? LogEvent::RequestShed : LogEvent::RequestFailed, problem->step, problem->peer,
             {{"service", service}, {"outcome", outcome}, {"cause", problem->detail}});
}

HttpResponse CallerServer::health() const
{
    if (isDraining_)
        return {StatusUnavailable, {{"Content-Type", "text/plain"}}, "draining\n"};
    if (settings_.gate) {
        if (const auto admitted = settings_.gate(); !admitted)
            return {StatusUnavailable,
                    {{"Content-Type", "text/plain"}},
                    admitted.error().detail + '\n'};
    }
    return {200, {{"Content-Type", "text/plain"}}, "ok\n"};
}

} // namespace Oleander
