#include "Entry/callerparse.h"

#include "Routing/endtoendheaders.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace Oleander {

namespace {

constexpr unsigned StatusBadRequest = 400;
constexpr std::size_t MaxServiceLength = 128;
constexpr std::size_t MaxKeyLength = 255;

constexpr std::string_view TimeoutHeader = "Oleander-Timeout-Ms";
constexpr std::string_view IdempotentHeader = "Oleander-Idempotent";
constexpr std::string_view KeyHeader = "Idempotency-Key";
constexpr std::array<std::string_view, 3> OptionHeaders = {TimeoutHeader, IdempotentHeader,
                                                           KeyHeader};

/** Methods that RFC 9110 defines as idempotent. */
constexpr std::array<std::string_view, 6> IdempotentMethods = {"GET",    "HEAD",    "PUT",
                                                               "DELETE", "OPTIONS", "TRACE"};

tl::unexpected<RequestProblem> refuse(std::string detail)
{
    return tl::make_unexpected(RequestProblem{
        StatusBadRequest, Outcome::NotRun, Step::Accept, {}, std::move(detail), std::nullopt});
}

std::size_t occurrences(const HttpRequest &request, std::string_view name)
{
    return static_cast<std::size_t>(
        std::count_if(request.headers.begin(), request.headers.end(),
                      [&](const HeaderField &f) { return equalsIgnoringCase(f.name, name); }));
}

bool isServiceCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
           || c == '_' || c == '.';
}

bool isVisible(char c)
{
    return c > ' ' && c < '\x7f';
}

tl::expected<Duration, RequestProblem> parseTimeout(const HttpRequest &request,
                                                    const CallerTimeouts &timeouts)
{
    if (occurrences(request, TimeoutHeader) == 0)
        return timeouts.defaultTimeout;
    const std::string text = request.header(TimeoutHeader);
    const auto maxTimeout =
        std::chrono::duration_cast<std::chrono::milliseconds>(timeouts.maxTimeout);
    std::int64_t milliseconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (error != std::errc() || end != text.data() + text.size() || milliseconds < 1
        || milliseconds > maxTimeout.count()) {
        return refuse(fmt::format("The header {} is \"{}\"; allowed is a whole number from 1 to "
                                  "{}.",
                                  TimeoutHeader, text, maxTimeout.count()));
    }
    return Duration(std::chrono::milliseconds(milliseconds));
}

tl::expected<bool, RequestProblem> parseIdempotent(const HttpRequest &request)
{
    if (occurrences(request, IdempotentHeader) == 0)
        return std::find(IdempotentMethods.begin(), IdempotentMethods.end(), request.method)
               != IdempotentMethods.end();
    const std::string text = request.header(IdempotentHeader);
    if (text == "yes" || text == "no")
        return text == "yes";
    return refuse(
        fmt::format("The header {} is \"{}\"; allowed is yes or no.", IdempotentHeader, text));
}

tl::expected<std::string, RequestProblem> parseKey(const HttpRequest &request)
{
    if (occurrences(request, KeyHeader) == 0)
        return std::string();
    std::string key = request.header(KeyHeader);
    if (!key.empty() && key.size() <= MaxKeyLength
        && std::all_of(key.begin(), key.end(), isVisible))
        return key;
    return refuse(fmt::format("The header {} has {} characters; allowed are 1 to {} visible ASCII "
                              "characters.",
                              KeyHeader, key.size(), MaxKeyLength));
}

tl::expected<std::string, RequestProblem> parseService(const HttpRequest &request)
{
    const std::string &path = request.path;
    const auto slash = path.find('/', 1);
    if (path.empty() || path.front() != '/' || slash == std::string::npos)
        return refuse(fmt::format("The path is \"{}\"; allowed is /<service>/<path>.", path));
    std::string service = path.substr(1, slash - 1);
    if (service.empty() || service.size() > MaxServiceLength
        || !std::all_of(service.begin(), service.end(), isServiceCharacter)) {
        return refuse(fmt::format("The path names the service \"{}\"; allowed are 1 to {} letters, "
                                  "digits, '-', '_' and '.'.",
                                  service, MaxServiceLength));
    }
    return service;
}

} // namespace

tl::expected<CallerRequest, RequestProblem> parseCallerRequest(const HttpRequest &request,
                                                               const CallerTimeouts &timeouts)
{
    for (const auto name : OptionHeaders) {
        if (occurrences(request, name) > 1)
            return refuse(fmt::format("The header {} is given more than once.", name));
    }
    const auto service = parseService(request);
    if (!service)
        return tl::make_unexpected(service.error());
    const auto timeout = parseTimeout(request, timeouts);
    if (!timeout)
        return tl::make_unexpected(timeout.error());
    const auto idempotent = parseIdempotent(request);
    if (!idempotent)
        return tl::make_unexpected(idempotent.error());
    const auto key = parseKey(request);
    if (!key)
        return tl::make_unexpected(key.error());

    CallerRequest result;
    result.service = *service;
    result.method = request.method;
    result.path = request.path.substr(service->size() + 1);
    if (!request.query.empty())
        result.path += '?' + request.query;
    result.headers = endToEndHeaders(request.headers);
    std::erase_if(result.headers, [](const HeaderField &field) {
        return equalsIgnoringCase(field.name, TimeoutHeader);
    });
    result.body = request.body;
    result.timeout = *timeout;
    result.idempotent = *idempotent;
    result.idempotencyKey = *key;
    return result;
}

} // namespace Oleander
