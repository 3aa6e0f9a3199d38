#include "Entry/operatorrequest.h"

#include "Base/printable.h"
#include "Protocol/jsonreader.h"
#include "Records/parse.h"
#include "Records/systemvalues.h"

#include <fmt/format.h>

#include <charconv>
#include <map>

namespace Oleander {

namespace {

constexpr std::string_view RecordsPath = "/v1/records";
constexpr std::size_t DefaultPageSize = 1000;
constexpr std::size_t MaxPageSize = 10'000;
constexpr std::uint64_t MaxWaitMs = 60'000;
constexpr std::size_t MaxKeyBytes = 256;

using QueryMap = std::map<std::string, std::string, std::less<>>;

tl::unexpected<Error> refuse(std::string detail)
{
    return fail(Failure::InvalidInput, Step::Receive, {}, std::move(detail));
}

Result<std::uint64_t> parseNumber(std::string_view subject, std::string_view text,
                                  std::uint64_t minimum, std::uint64_t maximum)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < minimum
        || value > maximum) {
        return refuse(fmt::format("{} is '{}'; allowed is a whole number from {} to {}.", subject,
                                  printable(text), minimum, maximum));
    }
    return value;
}

Result<QueryMap> parseQuery(std::string_view query, std::initializer_list<std::string_view> known)
{
    QueryMap result;
    while (!query.empty()) {
        const auto part = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(part.size() + 1, query.size()));
        const auto equals = part.find('=');
        const auto name = part.substr(0, equals);
        if (std::find(known.begin(), known.end(), name) == known.end()) {
            std::string allowed;
            for (const auto word : known)
                allowed += fmt::format("{}{}", allowed.empty() ? "" : ", ", word);
            return refuse(fmt::format("The query holds '{}'; allowed are {}.", printable(name),
                                      allowed.empty() ? "none" : allowed));
        }
        result[std::string(name)] =
            equals == std::string_view::npos ? std::string() : std::string(part.substr(equals + 1));
    }
    return result;
}

Result<std::uint64_t> numberIn(const QueryMap &query, std::string_view name, std::uint64_t minimum,
                               std::uint64_t maximum, std::uint64_t fallback)
{
    const auto found = query.find(name);
    if (found == query.end())
        return fallback;
    return parseNumber(fmt::format("Query '{}'", name), found->second, minimum, maximum);
}

Result<Records::Origin> parseOrigin(const HttpRequest &request, WallTime time)
{
    Records::Origin origin{request.header("Oleander-Operator"), request.header("Idempotency-Key"),
                           time};
    if (origin.author.empty())
        return refuse("Header 'Oleander-Operator' is missing; it has to name the operator.");
    if (const auto checked = Records::checkAuthor(origin.author); !checked)
        return tl::make_unexpected(checked.error());
    if (origin.idempotencyKey.size() > MaxKeyBytes) {
        return refuse(fmt::format("Header 'Idempotency-Key' has {} bytes; allowed are at most {}.",
                                  origin.idempotencyKey.size(), MaxKeyBytes));
    }
    return origin;
}

/** Parses If-Match: a revision, optionally in the quotes of an entity tag. */
Result<std::optional<std::uint64_t>> parseIfMatch(const HttpRequest &request)
{
    std::string text = request.header("If-Match");
    if (text.empty())
        return std::optional<std::uint64_t>();
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
        text = text.substr(1, text.size() - 2);
    const auto revision = parseNumber("Header 'If-Match'", text, 1, UINT64_MAX);
    if (!revision)
        return tl::make_unexpected(revision.error());
    return std::optional<std::uint64_t>(*revision);
}

Result<Duration> parseWait(const HttpRequest &request)
{
    const auto query = parseQuery(request.query, {"wait-ms"});
    if (!query)
        return tl::make_unexpected(query.error());
    const auto wait = numberIn(*query, "wait-ms", 0, MaxWaitMs, 0);
    if (!wait)
        return tl::make_unexpected(wait.error());
    return std::chrono::milliseconds(*wait);
}

Result<Records::RecordKey> parseRecordPath(std::string_view rest)
{
    const auto slash = rest.find('/');
    if (slash == std::string_view::npos) {
        return fail(Failure::NotFound, Step::Receive, {},
                    fmt::format("The path names '{}'; allowed is <kind>/<name>.", printable(rest)));
    }
    return Records::parseKey(rest.substr(0, slash), rest.substr(slash + 1));
}

/** Headers and query of a change of one record. */
struct ChangeParameters
{
    Records::Origin origin;
    std::optional<std::uint64_t> ifMatch;
    Duration wait{};
};

Result<ChangeParameters> parseChangeParameters(const HttpRequest &request, WallTime time)
{
    auto origin = parseOrigin(request, time);
    if (!origin)
        return tl::make_unexpected(origin.error());
    const auto ifMatch = parseIfMatch(request);
    if (!ifMatch)
        return tl::make_unexpected(ifMatch.error());
    const auto wait = parseWait(request);
    if (!wait)
        return tl::make_unexpected(wait.error());
    return ChangeParameters{std::move(*origin), *ifMatch, *wait};
}

Result<OperatorRequest> parseSubmit(const HttpRequest &request, const Records::RecordKey &key,
                                    WallTime time)
{
    auto parameters = parseChangeParameters(request, time);
    if (!parameters)
        return tl::make_unexpected(parameters.error());
    auto body = Records::parseBody(key.kind, request.body);
    if (!body)
        return tl::make_unexpected(body.error());
    if (const auto checked = Records::checkSystemValues(key, body->spec); !checked)
        return tl::make_unexpected(checked.error());
    return SubmitRequest{{std::move(parameters->origin), key, body->schema, std::move(body->spec),
                          parameters->ifMatch},
                         parameters->wait};
}

Result<OperatorRequest> parseWithdraw(const HttpRequest &request, const Records::RecordKey &key,
                                      WallTime time)
{
    auto parameters = parseChangeParameters(request, time);
    if (!parameters)
        return tl::make_unexpected(parameters.error());
    return WithdrawRequest{
        {std::move(parameters->origin), {key}, parameters->ifMatch}, false, parameters->wait};
}

Result<std::vector<Records::RecordKey>> parseBulkBody(const std::string &body)
{
    constexpr std::string_view Allowed =
        "an object with one field 'records', an array of texts '<kind>/<name>'";
    const auto parsed = parseJson(body);
    if (!parsed)
        return refuse(parsed.error().detail);
    const auto &json = *parsed;
    if (!json.is_object() || json.size() != 1 || !json.contains("records")
        || !json["records"].is_array())
        return refuse(fmt::format("The body has an unexpected structure; allowed is {}.", Allowed));
    const auto &records = json["records"];
    if (records.empty() || records.size() > MaxBulkRecords) {
        return refuse(fmt::format("Field 'records' holds {} names; allowed are 1 to {}.",
                                  records.size(), MaxBulkRecords));
    }
    std::vector<Records::RecordKey> keys;
    keys.reserve(records.size());
    for (const auto &item : records) {
        if (!item.is_string())
            return refuse(
                fmt::format("Field 'records' holds {}; allowed is {}.", item.type_name(), Allowed));
        auto key = parseRecordPath(item.get_ref<const std::string &>());
        if (!key)
            return refuse(fmt::format("Field 'records': {}", key.error().detail));
        keys.push_back(std::move(*key));
    }
    return keys;
}

Result<OperatorRequest> parseBulkWithdrawal(const HttpRequest &request, WallTime time)
{
    auto origin = parseOrigin(request, time);
    if (!origin)
        return tl::make_unexpected(origin.error());
    const auto wait = parseWait(request);
    if (!wait)
        return tl::make_unexpected(wait.error());
    if (!request.header("If-Match").empty())
        return refuse(
            "Header 'If-Match' applies to a single record; a bulk withdrawal does not accept it.");
    auto keys = parseBulkBody(request.body);
    if (!keys)
        return tl::make_unexpected(keys.error());
    return WithdrawRequest{{std::move(*origin), std::move(*keys), {}}, true, *wait};
}

Result<OperatorRequest> parseList(const HttpRequest &request)
{
    const auto query = parseQuery(request.query, {"kind", "withdrawn", "after", "limit"});
    if (!query)
        return tl::make_unexpected(query.error());
    ListRequest list;
    if (const auto kind = query->find("kind"); kind != query->end()) {
        list.kind = Records::kindFromName(kind->second);
        if (!list.kind) {
            return refuse(fmt::format("Query 'kind' is '{}'; allowed is {}.",
                                      printable(kind->second), Records::allowedKinds()));
        }
    }
    if (const auto withdrawn = query->find("withdrawn"); withdrawn != query->end()) {
        list.includeWithdrawn = withdrawn->second == "yes";
        if (!list.includeWithdrawn && withdrawn->second != "no") {
            return refuse(fmt::format("Query 'withdrawn' is '{}'; allowed is yes or no.",
                                      printable(withdrawn->second)));
        }
    }
    if (const auto after = query->find("after"); after != query->end()) {
        const auto key = parseRecordPath(after->second);
        if (!key)
            return refuse(fmt::format("Query 'after': {}", key.error().detail));
        list.after = *key;
    }
    const auto limit = numberIn(*query, "limit", 1, MaxPageSize, DefaultPageSize);
    if (!limit)
        return tl::make_unexpected(limit.error());
    list.limit = *limit;
    return list;
}

Result<OperatorRequest> parseEvents(const HttpRequest &request)
{
    const auto query = parseQuery(request.query, {"after", "limit"});
    if (!query)
        return tl::make_unexpected(query.error());
    const auto after = numberIn(*query, "after", 0, UINT64_MAX, 0);
    if (!after)
        return tl::make_unexpected(after.error());
    const auto limit = numberIn(*query, "limit", 1, MaxPageSize, DefaultPageSize);
    if (!limit)
        return tl::make_unexpected(limit.error());
    return EventsRequest{*after, *limit};
}

tl::unexpected<Error> wrongMethod(const HttpRequest &request, std::string_view allowed)
{
    return fail(Failure::Refused, Step::Receive, {},
                fmt::format("The method of {} is {}; allowed is {}.", printable(request.path),
                            printable(request.method), allowed));
}

Result<OperatorRequest> parseOneRecord(const HttpRequest &request, WallTime time)
{
    const auto key = parseRecordPath(std::string_view(request.path).substr(RecordsPath.size() + 1));
    if (!key)
        return tl::make_unexpected(key.error());
    if (request.method == "PUT")
        return parseSubmit(request, *key, time);
    if (request.method == "DELETE")
        return parseWithdraw(request, *key, time);
    if (request.method == "GET")
        return ShowRequest{*key};
    return wrongMethod(request, "GET, PUT or DELETE");
}

} // namespace

Result<OperatorRequest> parseOperatorRequest(const HttpRequest &request, WallTime time)
{
    const std::string_view path = request.path;
    if (path.substr(0, RecordsPath.size() + 1) == "/v1/records/")
        return parseOneRecord(request, time);
    if (path == "/v1/withdrawals")
        return request.method == "POST" ? parseBulkWithdrawal(request, time)
                                        : wrongMethod(request, "POST");
    const bool isRead = request.method == "GET";
    if (path == RecordsPath)
        return isRead ? parseList(request) : wrongMethod(request, "GET");
    if (path == "/v1/events")
        return isRead ? parseEvents(request) : wrongMethod(request, "GET");
    if (path == "/v1/status")
        return isRead ? Result<OperatorRequest>(StatusRequest{}) : wrongMethod(request, "GET");
    return fail(
        Failure::NotFound, Step::Receive, {},
        fmt::format("There is no {}; docs/reference lists the operators' paths.", printable(path)));
}

} // namespace Oleander
