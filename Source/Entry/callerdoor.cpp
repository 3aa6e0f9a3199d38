#include "Entry/callerdoor.h"

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
    auto &whole = std::get<MinionResponse>(answer);
    return {whole.status, std::move(whole.headers), std::move(whole.body)};
}

} // namespace

CallerDoor::CallerDoor(EventLoop &loop, RouterTask &router, CallerDoorSettings settings)
    : clock_(loop.clock())
    , router_(router)
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
    const TimePoint begun = clock_.now();
    const std::string service = request->service;
    const auto done = [this, exchange, service, begun](CallerResponse answer) {
        note(service, begun, answer);
        exchange->respond(responseTo(std::move(answer)));
    };
    const RequestId id = router_.submit(std::move(*request), done);
    exchange->onClosed([this, id] { router_.callerLeft(id); });
}

void CallerDoor::note(const std::string &service, TimePoint begun, const CallerResponse &answer)
{
    LatencyHistogram &seconds = processMetrics().histogram(
        "oleander_request_seconds", "Time from a whole request to its answer.", {});
    seconds.record(clock_.now() - begun);
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
