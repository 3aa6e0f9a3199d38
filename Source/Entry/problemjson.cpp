#include "Entry/problemjson.h"

#include "Protocol/jsonreader.h"

namespace Oleander {

namespace {

std::string_view title(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return "The request was not run.";
    case Outcome::Ran:
        return "The request ran, but its answer cannot be given.";
    case Outcome::Unknown:
        break;
    }
    return "It is not known whether the request ran.";
}

/** Seconds, rounded up, in the format of Retry-After. */
std::string inSeconds(Duration duration)
{
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(duration).count());
}

} // namespace

HttpResponse problemResponse(const RequestProblem &problem)
{
    nlohmann::json body;
    body["type"] = "about:blank";
    body["title"] = title(problem.outcome);
    body["status"] = problem.status;
    body["outcome"] = outcomeName(problem.outcome);
    body["step"] = stepName(problem.step);
    body["peer"] = problem.peer;
    body["detail"] = problem.detail;
    HttpResponse response;
    response.status = problem.status;
    response.headers.push_back({"Content-Type", "application/problem+json"});
    if (problem.retryAfter)
        response.headers.push_back({"Retry-After", inSeconds(*problem.retryAfter)});
    // The detail may quote invalid UTF-8 from the request.
    response.body = jsonText(body);
    return response;
}

} // namespace Oleander
