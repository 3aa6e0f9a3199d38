#include "Agent/workerinterface.h"

#include "Base/nametable.h"
#include "Protocol/jsonreader.h"

#include <fmt/format.h>

namespace Oleander {

namespace {

using nlohmann::json;

constexpr NameTable<AttemptState, 7> AttemptStateNames = {{
    {AttemptState::Starting, "starting"},
    {AttemptState::Running, "running"},
    {AttemptState::Checkpointing, "checkpointing"},
    {AttemptState::Stopping, "stopping"},
    {AttemptState::Stopped, "stopped"},
    {AttemptState::Succeeded, "succeeded"},
    {AttemptState::Failed, "failed"},
}};

HttpRequest request(std::string method, std::string path, const json &body)
{
    HttpRequest result;
    result.method = std::move(method);
    result.path = std::move(path);
    result.headers.push_back({"Content-Type", "application/json"});
    result.body = jsonText(body);
    return result;
}

json resourcesJson(const Resources &size)
{
    return {{"millicores", size.milliCores},
            {"memory_mib", size.memoryMiB},
            {"accelerators", size.accelerators}};
}

/** Reads a member of an object into \a value, which is unchanged if the member is absent. Returns
 * false if the member has another type or is an integer above \a max or the range of \a value. */
template<typename T>
bool read(const json &object, const char *name, T &value,
          std::uint64_t max = std::numeric_limits<std::uint64_t>::max())
{
    const auto member = object.find(name);
    if (member == object.end())
        return true;
    if constexpr (std::is_unsigned_v<T>) {
        return readInteger(*member, value, max);
    } else {
        const bool hasType =
            std::is_same_v<T, std::string> ? member->is_string() : member->is_number();
        if (hasType)
            value = member->template get<T>();
        return hasType;
    }
}

bool readAttempt(const json &object, Placement::ListedAttempt &attempt)
{
    std::string state;
    if (!object.is_object() || !read(object, "task", attempt.task)
        || !read(object, "attempt", attempt.attempt) || !read(object, "session", attempt.session)
        || !read(object, "state", state) || !read(object, "reason", attempt.reason)
        || !read(object, "checkpoint", attempt.checkpoint))
        return false;
    const auto known = valueIn(AttemptStateNames, state);
    if (!known || attempt.task.empty() || attempt.attempt == 0)
        return false;
    attempt.state = *known;
    return true;
}

bool readUsage(const json &object, UsageReport &usage)
{
    std::uint64_t ageMicroseconds = 0;
    std::uint64_t latencyMicroseconds = 0;
    if (!object.is_object() || !read(object, "task", usage.task)
        || !read(object, "attempt", usage.attempt)
        || !read(object, "age_us", ageMicroseconds, MaxJsonInteger)
        || !read(object, "millicores", usage.used.milliCores)
        || !read(object, "memory_mib", usage.used.memoryMiB)
        || !read(object, "accelerators", usage.used.accelerators)
        || !read(object, "latency_p99_us", latencyMicroseconds, MaxJsonInteger)
        || !read(object, "progress", usage.progress))
        return false;
    usage.age = Duration(static_cast<Duration::rep>(ageMicroseconds));
    usage.latencyP99 = Duration(static_cast<Duration::rep>(latencyMicroseconds));
    return true;
}

template<typename T>
Result<std::vector<T>> parseList(std::string_view body, const char *path,
                                 bool (*readItem)(const json &, T &))
{
    const auto document = parseJson(body);
    std::vector<T> list;
    bool isValid = document && document->is_array();
    if (isValid) {
        for (const json &item : *document)
            isValid = isValid && readItem(item, list.emplace_back());
    }
    if (!isValid) {
        return fail(Failure::Protocol, Step::Report, "worker",
                    fmt::format("The worker's answer to GET {} is not a list of the expected "
                                "objects.",
                                path));
    }
    return list;
}

} // namespace

HttpRequest workerRequest(const Placement::WorkerCall &call)
{
    const std::string path = "/tasks/" + call.task;
    switch (call.action) {
    case TaskAction::Start:
        return request("PUT", path,
                       {{"attempt", call.attempt},
                        {"session", call.session},
                        {"lease_end_us", call.leaseEnd.time_since_epoch().count()},
                        {"size", resourcesJson(call.declared)},
                        {"payload", call.payload},
                        {"checkpoint", call.checkpoint},
                        {"percent", call.throttlePercent}});
    case TaskAction::Checkpoint:
        return request("POST", path + "/checkpoint", {{"attempt", call.attempt}});
    case TaskAction::Throttle:
        return request("POST", path + "/throttle",
                       {{"attempt", call.attempt}, {"percent", call.throttlePercent}});
    case TaskAction::Stop:
        break;
    }
    HttpRequest stop;
    stop.method = "DELETE";
    stop.path = path;
    stop.query = fmt::format("attempt={}", call.attempt);
    return stop;
}

HttpRequest leaseRequest(TimePoint leaseEnd, std::uint64_t session)
{
    return request("PUT", "/lease",
                   {{"lease_end_us", leaseEnd.time_since_epoch().count()}, {"session", session}});
}

Result<std::vector<Placement::ListedAttempt>> parseListing(std::string_view body)
{
    return parseList<Placement::ListedAttempt>(body, "/tasks", readAttempt);
}

Result<std::vector<UsageReport>> parseUsage(std::string_view body)
{
    return parseList<UsageReport>(body, "/usage", readUsage);
}

std::string refusalReason(const HttpResponse &response)
{
    const auto document = parseJson(response.body);
    std::string reason;
    if (document && document->is_object() && read(*document, "reason", reason) && !reason.empty())
        return reason;
    return fmt::format("The worker answered with status {}.", response.status);
}

} // namespace Oleander
