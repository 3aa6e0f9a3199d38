#include "Fleet/evacuationhandler.h"

#include "Entry/problemjson.h"
#include "Fleet/jobanswer.h"
#include "Protocol/failuredomain.h"
#include "Protocol/jsonreader.h"
#include "Records/timetext.h"
#include "Runtime/log.h"
#include "Runtime/metrics.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

namespace Oleander::Fleet {

namespace {

constexpr std::string_view OwnPath = "/v1/evacuations";
/** Shorter than the time that the command line waits for one control host. */
constexpr Duration OwnTimeout = std::chrono::seconds(3);

unsigned statusOf(JobAnswerKind kind)
{
    switch (kind) {
    case JobAnswerKind::Accepted:
    case JobAnswerKind::Evacuations:
        return 200;
    case JobAnswerKind::Invalid:
        return 400;
    case JobAnswerKind::NotOffered:
        return HttpStatus::NotFound;
    case JobAnswerKind::UnknownFailureDomain:
        return HttpStatus::UnprocessableContent;
    case JobAnswerKind::Unknown:
        return HttpStatus::GatewayTimeout;
    default:
        return HttpStatus::ServiceUnavailable;
    }
}

void countResult(const char *result)
{
    processMetrics()
        .counter(EvacuationChangesMetric, EvacuationChangesHelp, {{"result", result}})
        .add();
}

void logRefusal(const EvacuationCall &call, const JobAnswer &answer)
{
    logEvent(LogEvent::EvacuationRefused, Step::Accept, {},
             {{"failure_domain", call.failureDomain},
              {"requested", call.requested ? 1 : 0},
              {"why", answer.detail}});
    countResult("refused");
}

nlohmann::json listBody(const JobAnswer &answer, const std::vector<std::string> &failureDomains)
{
    nlohmann::json evacuations = nlohmann::json::array();
    for (const EvacuationStatus &status : answer.evacuations) {
        const WallTime changedAt{std::chrono::milliseconds(status.changedAtMs)};
        evacuations.push_back({{"failure-domain", status.failureDomain},
                               {"requested", status.requested},
                               {"revision", status.revision},
                               {"changed-at", Records::timeText(changedAt)}});
    }
    return {{"evacuations", evacuations}, {"failure-domains", failureDomains}};
}

} // namespace

EvacuationHandler::EvacuationHandler(EventLoop &loop, LeaderClient &leader,
                                     std::vector<std::string> failureDomains)
    : loop_(loop), leader_(leader), failureDomains_(std::move(failureDomains))
{}

bool EvacuationHandler::answerOwnPath(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    const std::string_view path = request.path;
    if (!path.starts_with(OwnPath))
        return false;
    if (path == OwnPath && request.method == "GET") {
        list(exchange);
        return true;
    }
    const std::string_view rest = path.substr(OwnPath.size());
    if (!rest.empty() && !rest.starts_with('/'))
        return false;
    EvacuationCall call;
    call.requested = request.method == "POST";
    const auto encode = [this](const JobAnswer &answer) { return encodeOwnAnswer(answer); };
    auto name = failureDomainFromPath(rest.empty() ? rest : rest.substr(1));
    JobAnswer invalid = answerOf(JobAnswerKind::Invalid, name ? "" : name.error().detail);
    if (!call.requested && request.method != "DELETE")
        invalid.detail = "The method is not POST or DELETE.";
    if (!invalid.detail.empty()) {
        logRefusal(call, invalid);
        exchange->respond(encode(invalid));
        return true;
    }
    call.failureDomain = std::move(*name);
    change(exchange, std::move(call), OwnTimeout, encode);
    return true;
}

void EvacuationHandler::reportMalformed(const Error &error)
{
    logEvent(LogEvent::EvacuationRefused, error);
    countResult("refused");
}

std::optional<JobAnswer> EvacuationHandler::rejection(const std::string &failureDomain) const
{
    if (failureDomains_.empty()) {
        return answerOf(JobAnswerKind::NotOffered,
                        "Evacuations are not offered: the settings of this control host name no "
                        "failure domains.");
    }
    if (std::ranges::find(failureDomains_, failureDomain) == failureDomains_.end()) {
        return answerOf(JobAnswerKind::UnknownFailureDomain,
                        fmt::format("The failure domain '{}' is unknown; known are {}.",
                                    failureDomain, fmt::join(failureDomains_, ", ")));
    }
    return std::nullopt;
}

void EvacuationHandler::change(const std::shared_ptr<HttpExchange> &exchange, EvacuationCall call,
                               Duration timeout, Encoder encode)
{
    if (const auto rejected = rejection(call.failureDomain)) {
        logRefusal(call, *rejected);
        return exchange->respond(encode(*rejected));
    }
    attempt(std::make_shared<PendingChange>(PendingChange{
        exchange, std::move(call), loop_.clock().now() + timeout, std::move(encode)}));
}

void EvacuationHandler::attempt(const std::shared_ptr<PendingChange> &pending)
{
    // After a suspension this process reads requests that their callers have given up and sent to
    // another control host, which may have acknowledged a later change.
    if (pending->exchange->isClosed()) {
        logEvent(LogEvent::EvacuationAbandoned, Step::Accept, pending->exchange->request().peer,
                 {{"failure_domain", pending->call.failureDomain},
                  {"requested", pending->call.requested ? 1 : 0}});
        countResult("abandoned");
        return pending->exchange->respond(
            pending->encode(answerOf(JobAnswerKind::Unknown, "The caller has disconnected.")));
    }
    const TimePoint now = loop_.clock().now();
    if (now >= pending->deadline) {
        return pending->exchange->respond(pending->encode(
            answerOf(JobAnswerKind::Unknown,
                     "Other changes of this failure domain came first until the time was over.")));
    }
    leader_.call(pending->call, pending->deadline - now, [this, pending](const JobAnswer &answer) {
        if (answer.kind == JobAnswerKind::OutdatedEvacuation) {
            pending->call.expected = answer.evacuation;
            return attempt(pending);
        }
        // No leader acts on a call without a version.
        const bool isUnchanged =
            answer.kind == JobAnswerKind::Unknown && pending->call.expected == EvacuationVersion{};
        pending->exchange->respond(pending->encode(
            isUnchanged ? answerOf(JobAnswerKind::Overloaded,
                                   "The leader did not answer in time; nothing was changed.")
                        : answer));
    });
}

void EvacuationHandler::list(const std::shared_ptr<HttpExchange> &exchange)
{
    if (failureDomains_.empty())
        return exchange->respond(encodeOwnAnswer(*rejection({})));
    leader_.call(ReadEvacuationsCall{}, OwnTimeout, [this, exchange](const JobAnswer &answer) {
        exchange->respond(encodeOwnAnswer(answer));
    });
}

HttpResponse EvacuationHandler::encodeOwnAnswer(const JobAnswer &answer) const
{
    const unsigned status = statusOf(answer.kind);
    if (status != 200) {
        const bool isUnknown = answer.kind == JobAnswerKind::Unknown;
        return problemResponse({status,
                                isUnknown ? Outcome::Unknown : Outcome::NotRun,
                                Step::Accept,
                                {},
                                answer.detail,
                                std::nullopt});
    }
    const nlohmann::json body = answer.kind == JobAnswerKind::Evacuations
                                    ? listBody(answer, failureDomains_)
                                    : nlohmann::json{{"revision", answer.evacuation.revision}};
    return {200, {{"Content-Type", "application/json"}}, jsonText(body)};
}

} // namespace Oleander::Fleet
