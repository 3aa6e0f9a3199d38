#include "Entry/operatoranswer.h"

#include "Base/nametable.h"
#include "Entry/recordoutcome.h"
#include "Protocol/jsonreader.h"
#include "Records/parse.h"
#include "Records/recordevents.h"
#include "Records/timetext.h"

#include <fmt/format.h>

namespace Oleander {

namespace {

using Json = nlohmann::json;
using Records::ChangeResult;

HttpResponse jsonResponse(unsigned status, const Json &body,
                          const std::string &type = "application/json")
{
    // Texts reported by other processes, such as the reason of a task, may be invalid UTF-8.
    return {status, {{"Content-Type", type}}, jsonText(body) + "\n"};
}

unsigned statusOf(ChangeResult result)
{
    switch (result) {
    case ChangeResult::Created:
        return 201;
    case ChangeResult::Amended:
    case ChangeResult::Unchanged:
    case ChangeResult::Withdrawn:
    case ChangeResult::AlreadyWithdrawn:
        return 200;
    case ChangeResult::Conflict:
        return 409;
    case ChangeResult::Missing:
        return 404;
    case ChangeResult::KeyReused:
    case ChangeResult::Refused:
        return 422;
    }
    return 500;
}

Json recordJson(const Records::Record &record)
{
    return {{"kind", Records::kindName(record.kind)},
            {"name", record.name},
            {"schema", record.schema},
            {"revision", record.revision},
            {"author", record.author},
            {"changed-at", Records::timeText(record.changedAt)},
            {"withdrawn", record.withdrawn},
            {"index", record.index},
            {"body", Json::parse(Records::serializeBody(record.schema, record.spec))}};
}

Json taskJson(const Placement::Task &task)
{
    Json json{{"id", task.id},
              {"state", nameIn(Placement::TaskStateNames, task.state)},
              {"reason", task.reason},
              {"attempt", task.attempt},
              {"checkpoint", task.checkpoint},
              {"failures", task.failures},
              {"evictions", task.evictions}};
    if (task.live)
        json["worker"] = task.live->worker;
    return json;
}

Json outcomeJson(const OperatorView &view, const Records::Record &record)
{
    const auto outcome = outcomeOfRecord(view.state, record, view.rollout);
    Json json{{"state", outcome.state}, {"detail", outcome.detail}, {"tasks", Json::array()}};
    for (const auto *task : outcome.tasks)
        json["tasks"].push_back(taskJson(*task));
    return json;
}

Json rolloutJson(const ConfigurationRollout &rollout, std::uint64_t version)
{
    return {{"version", version},
            {"in-force-everywhere", rollout.version >= version && rollout.isInForceEverywhere()},
            {"in-force-at", rollout.inForce},
            {"waiting-for", rollout.waitingFor},
            {"cut-off", rollout.leaseExpired},
            {"detail", rolloutSentence(rollout, version)}};
}

Json changeJson(const Records::Change &change)
{
    return {{"kind", Records::kindName(change.key.kind)},
            {"name", change.key.name},
            {"result", Records::changeResultName(change.result)},
            {"revision", change.revision},
            {"detail", change.detail}};
}

bool changesConfiguration(const Records::Change &change)
{
    return change.key.kind == Records::RecordKind::Configuration
           && Records::isAccepted(change.result);
}

/** Title of the problem for a refused change. */
std::string_view problemTitle(ChangeResult result)
{
    return result == ChangeResult::Conflict ? "Another change was committed first."
                                            : "The command was refused.";
}

Json problemJson(unsigned status, std::string_view title, const Error &error,
                 std::string_view outcome)
{
    return {{"type", "about:blank"},
            {"title", title},
            {"status", status},
            {"outcome", outcome},
            {"error", error.code.message()},
            {"step", stepName(error.step)},
            {"peer", error.peer},
            {"detail", error.detail}};
}

Failure failureOf(ChangeResult result)
{
    switch (result) {
    case ChangeResult::Conflict:
        return Failure::Conflict;
    case ChangeResult::Missing:
        return Failure::NotFound;
    default:
        return Failure::Refused;
    }
}

unsigned statusOf(const std::error_code &code)
{
    switch (static_cast<Failure>(code.value())) {
    case Failure::InvalidInput:
        return 400;
    case Failure::NotFound:
        return 404;
    case Failure::Refused:
        return 405;
    case Failure::Conflict:
        return 409;
    case Failure::TooLarge:
        return 413;
    case Failure::StorageFull:
        return 507;
    case Failure::Unknown:
    case Failure::DeadlineExceeded:
        return 504;
    case Failure::Unavailable:
    case Failure::NotLeader:
    case Failure::Overloaded:
        return 503;
    default:
        return 500;
    }
}

Json eventJson(const Records::Event &event)
{
    return {{"number", event.number},
            {"index", event.index},
            {"time", Records::timeText(event.time)},
            {"subject", Records::subjectName(event.draft.subject)},
            {"name", event.draft.name},
            {"what", event.draft.what},
            {"why", event.draft.why},
            {"follows", event.draft.follows}};
}

Json taskCounts(const Placement::TaskBook &book)
{
    Json counts = Json::object();
    for (const auto &row : Placement::TaskStateNames)
        counts[std::string(row.name)] = 0;
    for (const auto &[id, task] : book.tasks()) {
        auto &count = counts[std::string(nameIn(Placement::TaskStateNames, task.state))];
        count = count.get<std::uint64_t>() + 1;
    }
    return counts;
}

Json workersJson(const Placement::TaskBook &book)
{
    Json workers = Json::array();
    for (const auto &[name, worker] : book.workers()) {
        const char *state = worker.lost             ? "lost"
                            : worker.drained        ? "drained"
                            : !worker.drain.empty() ? "draining"
                                                    : nullptr;
        workers.push_back({{"name", name},
                           {"state", state ? std::string_view(state)
                                           : nameIn(Placement::WorkerHealthNames, worker.health)},
                           {"failure-domain", worker.location.failureDomain},
                           {"rack", worker.location.rack},
                           {"reason", worker.reason}});
    }
    return workers;
}

Json replicaJson(const ReplicaStatus &replica)
{
    return {{"role", replica.role},
            {"leader", replica.leader},
            {"term", replica.term},
            {"commit-index", replica.commitIndex},
            {"applied-index", replica.appliedIndex},
            {"last-index", replica.lastIndex},
            {"snapshot-index", replica.snapshotIndex},
            {"voters", replica.voters},
            {"learners", replica.learners},
            {"storage-error", replica.storageError}};
}

} // namespace

HttpResponse answerChange(const OperatorView &view, const Records::ChangeOutcome &outcome)
{
    const auto &change = outcome.changes.front();
    const auto status = statusOf(change.result);
    Json body = changeJson(change);
    if (!Records::isAccepted(change.result)) {
        const auto error = makeError(failureOf(change.result), Step::Apply, {}, change.detail);
        body.update(problemJson(status, problemTitle(change.result), error, "not-run"));
    }
    body["index"] = outcome.index;
    body["replayed"] = outcome.replayed;
    if (change.record)
        body["record"] = recordJson(*change.record);
    if (changesConfiguration(change))
        body["configuration"] = rolloutJson(view.rollout, outcome.index);
    auto response = jsonResponse(status, body,
                                 Records::isAccepted(change.result) ? "application/json"
                                                                    : "application/problem+json");
    if (change.revision > 0)
        response.headers.push_back({"ETag", fmt::format("\"{}\"", change.revision)});
    return response;
}

HttpResponse answerBulkWithdrawal(const OperatorView &view, const Records::ChangeOutcome &outcome)
{
    Json body{{"index", outcome.index}, {"replayed", outcome.replayed}};
    std::size_t accepted = 0;
    bool hasConfiguration = false;
    auto &results = body["results"] = Json::array();
    for (const auto &change : outcome.changes) {
        results.push_back(changeJson(change));
        accepted += Records::isAccepted(change.result) ? 1 : 0;
        hasConfiguration = hasConfiguration || changesConfiguration(change);
    }
    body["accepted"] = accepted;
    body["refused"] = outcome.changes.size() - accepted;
    if (hasConfiguration)
        body["configuration"] = rolloutJson(view.rollout, outcome.index);
    return jsonResponse(200, body);
}

HttpResponse answerShow(const OperatorView &view, const ShowRequest &request)
{
    const auto *record = view.state.records().find(request.key);
    if (!record) {
        return answerProblem(
            makeError(Failure::NotFound, Step::Receive, {},
                      fmt::format("There is no record {}.", Records::keyText(request.key))),
            CommandOutcome::NotRun);
    }
    Json body = recordJson(*record);
    body["outcome"] = outcomeJson(view, *record);
    auto response = jsonResponse(200, body);
    response.headers.push_back({"ETag", fmt::format("\"{}\"", record->revision)});
    return response;
}

HttpResponse answerList(const OperatorView &view, const ListRequest &request)
{
    const auto &records = view.state.records().records();
    auto it = request.after ? records.upper_bound(*request.after) : records.begin();
    Json items = Json::array();
    for (; it != records.end() && items.size() < request.limit; ++it) {
        const auto &record = it->second;
        const bool isWanted = (!request.kind || record.kind == *request.kind)
                              && (request.includeWithdrawn || !record.withdrawn);
        if (!isWanted)
            continue;
        const auto outcome = outcomeOfRecord(view.state, record, view.rollout);
        items.push_back({{"kind", Records::kindName(record.kind)},
                         {"name", record.name},
                         {"revision", record.revision},
                         {"author", record.author},
                         {"changed-at", Records::timeText(record.changedAt)},
                         {"withdrawn", record.withdrawn},
                         {"state", outcome.state},
                         {"detail", outcome.detail}});
    }
    return jsonResponse(200, {{"records", items}, {"more", it != records.end()}});
}

HttpResponse answerEvents(const OperatorView &view, const EventsRequest &request)
{
    const auto page = view.state.events().after(request.after, request.limit);
    Json items = Json::array();
    for (const auto &event : page.events)
        items.push_back(eventJson(event));
    return jsonResponse(200, {{"events", items}, {"oldest", page.oldest}, {"newest", page.newest}});
}

HttpResponse answerStatus(const OperatorView &view)
{
    const auto history = view.state.events().after(UINT64_MAX, 0);
    return jsonResponse(200,
                        {{"entry", view.entry},
                         {"replica", replicaJson(view.replica)},
                         {"configuration", rolloutJson(view.rollout, view.rollout.version)},
                         {"records", view.state.records().records().size()},
                         {"tasks", taskCounts(view.state.tasks())},
                         {"workers", workersJson(view.state.tasks())},
                         {"events", {{"oldest", history.oldest}, {"newest", history.newest}}}});
}

HttpResponse answerProblem(const Error &error, CommandOutcome commandOutcome)
{
    const bool isUnknown = commandOutcome == CommandOutcome::Unknown;
    const auto status = statusOf(error.code);
    auto response =
        jsonResponse(status,
                     problemJson(status,
                                 isUnknown ? "It is not known whether the command took effect."
                                           : "The command was not carried out.",
                                 error, isUnknown ? "unknown" : "not-run"),
                     "application/problem+json");
    if (status == 503)
        response.headers.push_back({"Retry-After", "1"});
    return response;
}

} // namespace Oleander
