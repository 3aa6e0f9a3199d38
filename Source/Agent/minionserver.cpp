#include "Agent/minionserver.h"

#include "Agent/announcementparse.h"
#include "Protocol/jsonreader.h"
#include "Routing/callerrequest.h"

namespace Oleander {

namespace {

constexpr std::string_view CollectionPath = "/v1/minions";
constexpr std::string_view ItemPrefix = "/v1/minions/";
constexpr std::size_t MaxNameLength = 128;

unsigned statusOf(const Error &error)
{
    if (error.code == Failure::NotFound)
        return 404;
    return error.code == Failure::Overloaded ? 503 : 400;
}

HttpResponse problem(unsigned status, const Error &error)
{
    nlohmann::json body;
    body["type"] = "about:blank";
    body["title"] = error.code.message();
    body["status"] = status;
    body["step"] = stepName(error.step);
    body["peer"] = error.peer;
    body["detail"] = error.detail;
    return {status, {{"Content-Type", "application/problem+json"}}, jsonText(body)};
}

} // namespace

MinionServer::MinionServer(EventLoop &loop, RequestTask &requests, MinionServerSettings settings,
                           std::shared_ptr<HttpBudget> budget)
    : requests_(requests)
    , settings_(settings)
    , server_(loop, settings_.limits,
              [this](const std::shared_ptr<HttpExchange> &exchange) {
                  exchange->respond(handle(exchange->request()));
              },
              {std::move(budget), [](auto method, auto path) {
                   return method == "PUT" && path.starts_with(ItemPrefix);
               }})
{}

HttpResponse MinionServer::handle(const HttpRequest &request)
{
    if (request.path == CollectionPath && request.method == "GET")
        return list();
    const std::string name = request.path.starts_with(ItemPrefix)
                                 ? request.path.substr(ItemPrefix.size())
                                 : std::string();
    if (name.empty() || name.size() > MaxNameLength || name.find('/') != std::string::npos) {
        return problem(404, makeError(Failure::NotFound, Step::Join, {},
                                      "The path is neither /v1/minions nor /v1/minions/<name>."));
    }
    if (request.method == "PUT")
        return announce(name, request.body);
    if (request.method == "DELETE")
        return withdraw(name);
    return problem(405,
                   makeError(Failure::InvalidInput, Step::Join, name,
                             "The method is " + request.method + "; allowed are PUT and DELETE."));
}

HttpResponse MinionServer::announce(const std::string &name, const std::string &body)
{
    const auto announcement = parseAnnouncement(name, body, settings_.maxTimeToLive);
    if (!announcement)
        return problem(statusOf(announcement.error()), announcement.error());
    const auto result = requests_.announce(*announcement);
    if (!result)
        return problem(statusOf(result.error()), result.error());
    return {204, {}, {}};
}

HttpResponse MinionServer::withdraw(const std::string &name)
{
    const auto result = requests_.withdraw(name);
    if (!result)
        return problem(statusOf(result.error()), result.error());
    return {204, {}, {}};
}

HttpResponse MinionServer::list() const
{
    nlohmann::json body = nlohmann::json::array();
    for (const auto &status : requests_.minions()) {
        nlohmann::json row;
        row["name"] = status.name;
        row["service"] = status.service;
        row["state"] = minionStateName(status.state);
        row["slots"] = status.slots;
        row["connections"] = status.connections;
        row["running"] = status.running;
        row["queued"] = status.queued;
        body.push_back(std::move(row));
    }
    return {200, {{"Content-Type", "application/json"}}, jsonText(body)};
}

} // namespace Oleander
