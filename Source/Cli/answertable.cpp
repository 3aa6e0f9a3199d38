#include "Cli/answertable.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace Oleander {

namespace {

using Json = nlohmann::json;

/** Returns the field as text, or an empty text if it is absent or null. */
std::string text(const Json &object, const char *field)
{
    const auto found = object.find(field);
    if (found == object.end() || found->is_null())
        return {};
    return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string joined(const Json &object, const char *field)
{
    std::string list;
    for (const auto &item : object.value(field, Json::array()))
        list += (list.empty() ? "" : ", ") + item.get<std::string>();
    return list;
}

/** Formats rows as columns padded to their widest cell; the last column is not padded. */
std::string columns(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string lines;
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += i + 1 == row.size() ? row[i] : fmt::format("{:<{}}  ", row[i], widths[i]);
        line.erase(line.find_last_not_of(' ') + 1);
        lines += line + "\n";
    }
    return lines;
}

std::string configurationLine(const Json &answer)
{
    const auto found = answer.find("configuration");
    return found == answer.end() ? std::string() : text(*found, "detail") + "\n";
}

void addTask(std::vector<std::vector<std::string>> &rows, const Json &task)
{
    rows.push_back({text(task, "id"), text(task, "state"), text(task, "attempt"),
                    text(task, "worker"), text(task, "checkpoint"), text(task, "reason")});
}

} // namespace

Result<std::string> formatAnswer(AnswerTable table, const std::string &body)
{
    if (auto checked = checkJsonLimits(body, AnswerLimits); !checked)
        return fail(Failure::Protocol, Step::Answer, {}, std::move(checked.error().detail));
    try {
        return table(body);
    } catch (const Json::exception &error) {
        return fail(Failure::Protocol, Step::Answer, {},
                    fmt::format("The answer is not of the expected form: {}.", error.what()));
    }
}

std::string changeTable(const std::string &body)
{
    const auto answer = Json::parse(body);
    return fmt::format("{}/{} {}, revision {}, log index {}{}\n{}\n{}", text(answer, "kind"),
                       text(answer, "name"), text(answer, "result"), text(answer, "revision"),
                       text(answer, "index"),
                       answer.value("replayed", false) ? " (first answer, given again)" : "",
                       text(answer, "detail"), configurationLine(answer));
}

std::string bulkWithdrawalTable(const std::string &body)
{
    const auto answer = Json::parse(body);
    std::vector<std::vector<std::string>> rows{{"RECORD", "RESULT", "REVISION", "DETAIL"}};
    for (const auto &item : answer.at("results")) {
        rows.push_back({text(item, "kind") + "/" + text(item, "name"), text(item, "result"),
                        text(item, "revision"), text(item, "detail")});
    }
    return columns(rows)
           + fmt::format("{} withdrawn or gone already, {} refused{}\n{}", text(answer, "accepted"),
                         text(answer, "refused"),
                         answer.value("replayed", false) ? " (first answer, given again)" : "",
                         configurationLine(answer));
}

std::string recordTable(const std::string &body)
{
    const auto record = Json::parse(body);
    const auto &outcome = record.at("outcome");
    std::vector<std::vector<std::string>> rows{
        {"record", text(record, "kind") + "/" + text(record, "name")},
        {"state", text(outcome, "state")},
        {"detail", text(outcome, "detail")},
        {"revision", text(record, "revision")},
        {"author", text(record, "author")},
        {"changed", text(record, "changed-at")},
        {"withdrawn", record.value("withdrawn", false) ? "yes" : "no"},
        {"schema", text(record, "schema")},
    };
    for (const auto &[field, value] : record.at("body").items()) {
        if (field != "schema")
            rows.push_back({field, value.is_string() ? value.get<std::string>() : value.dump()});
    }
    auto lines = columns(rows);
    if (!outcome.at("tasks").empty()) {
        std::vector<std::vector<std::string>> tasks{
            {"TASK", "STATE", "ATTEMPT", "WORKER", "CHECKPOINT", "REASON"}};
        for (const auto &task : outcome.at("tasks"))
            addTask(tasks, task);
        lines += "\n" + columns(tasks);
    }
    return lines;
}

std::string listTable(const std::string &body)
{
    const auto answer = Json::parse(body);
    std::vector<std::vector<std::string>> rows{
        {"RECORD", "STATE", "REVISION", "AUTHOR", "CHANGED", "DETAIL"}};
    for (const auto &item : answer.at("records")) {
        rows.push_back({text(item, "kind") + "/" + text(item, "name"), text(item, "state"),
                        text(item, "revision"), text(item, "author"), text(item, "changed-at"),
                        text(item, "detail")});
    }
    return columns(rows)
           + (answer.value("more", false) ? "There are more; --limit shows up to 10000.\n" : "");
}

std::string eventTable(const std::string &body)
{
    const auto answer = Json::parse(body);
    std::vector<std::vector<std::string>> rows{{"NUMBER", "TIME", "SUBJECT", "EVENT"}};
    for (const auto &event : answer.at("events")) {
        auto sentence = text(event, "what");
        for (const char *field : {"why", "follows"}) {
            if (!text(event, field).empty())
                sentence += " " + text(event, field);
        }
        rows.push_back({text(event, "number"), text(event, "time"),
                        text(event, "subject") + "/" + text(event, "name"), sentence});
    }
    return columns(rows)
           + fmt::format("Events {} to {} are kept.\n", text(answer, "oldest"),
                         text(answer, "newest"));
}

std::string statusTable(const std::string &body)
{
    const auto status = Json::parse(body);
    const auto &replica = status.at("replica");
    const auto &configuration = status.at("configuration");
    std::vector<std::vector<std::string>> rows{
        {"entry", text(status, "entry")},
        {"role", text(replica, "role")},
        {"leader", text(replica, "leader")},
        {"term", text(replica, "term")},
        {"commit index", text(replica, "commit-index")},
        {"applied index", text(replica, "applied-index")},
        {"voters", joined(replica, "voters")},
        {"learners", joined(replica, "learners")},
        {"storage",
         text(replica, "storage-error").empty() ? "in order" : text(replica, "storage-error")},
        {"configuration", text(configuration, "detail")},
        {"records", text(status, "records")},
    };
    for (const auto &[state, count] : status.at("tasks").items())
        rows.push_back({"tasks " + state, count.dump()});
    auto lines = columns(rows);
    if (!status.at("workers").empty()) {
        std::vector<std::vector<std::string>> workers{
            {"WORKER", "STATE", "FAILURE DOMAIN", "RACK", "REASON"}};
        for (const auto &worker : status.at("workers")) {
            workers.push_back({text(worker, "name"), text(worker, "state"),
                               text(worker, "failure-domain"), text(worker, "rack"),
                               text(worker, "reason")});
        }
        lines += "\n" + columns(workers);
    }
    return lines;
}

std::string evacuationTable(const std::string &body)
{
    const auto answer = Json::parse(body);
    return fmt::format("acknowledged, revision {}\n", text(answer, "revision"));
}

std::string evacuationListTable(const std::string &body)
{
    const auto answer = Json::parse(body);
    std::vector<std::vector<std::string>> rows{
        {"FAILURE DOMAIN", "EVACUATED", "REVISION", "CHANGED"}};
    std::vector<std::string> listed;
    for (const auto &item : answer.at("evacuations")) {
        listed.push_back(text(item, "failure-domain"));
        rows.push_back({listed.back(), item.value("requested", false) ? "yes" : "no",
                        text(item, "revision"), text(item, "changed-at")});
    }
    for (const auto &item : answer.at("failure-domains")) {
        const auto name = item.get<std::string>();
        if (std::ranges::find(listed, name) == listed.end())
            rows.push_back({name, "no", "0", "never"});
    }
    return columns(rows);
}

} // namespace Oleander
