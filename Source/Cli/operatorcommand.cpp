#include "Cli/operatorcommand.h"

#include "Cli/answertable.h"
#include "Cli/commandoptions.h"
#include "Cli/operatorclient.h"
#include "Protocol/failuredomain.h"
#include "Records/parse.h"
#include "Settings/exitcode.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace Oleander {

namespace {

using StringList = std::vector<std::string>;

/** One run of a subcommand. */
struct Invocation
{
    const StringList &positionals;
    CommandOptions options;
    std::istream &input;
    std::ostream &output;
    std::ostream &errors;
};

/** Request of a subcommand and the formatter of its answer. */
struct RequestPlan
{
    HttpRequest request;
    AnswerTable table = nullptr;
};

struct CommandPlan
{
    std::string_view name;
    Result<RequestPlan> (*plan)(const Invocation &call);
};

tl::unexpected<Error> usageError(std::string detail)
{
    return fail(Failure::InvalidInput, Step::CommandLine, {}, std::move(detail));
}

Result<Records::RecordKey> parseKeyArgument(const std::string &argument)
{
    const auto slash = argument.find('/');
    if (slash == std::string::npos) {
        return usageError(fmt::format("The record is '{}'; allowed is KIND/NAME, where KIND is {}.",
                                      argument, Records::allowedKinds()));
    }
    auto key = Records::parseKey(argument.substr(0, slash), argument.substr(slash + 1));
    if (!key)
        return usageError(key.error().detail);
    return key;
}

std::string pathOf(const Records::RecordKey &key)
{
    return fmt::format("/v1/records/{}/{}", Records::kindName(key.kind), key.name);
}

Result<std::string> readAll(const std::string &path, std::istream &input)
{
    std::ostringstream text;
    if (path == "-") {
        text << input.rdbuf();
        return text.str();
    }
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return usageError(fmt::format("File '{}' cannot be opened for reading.", path));
    text << file.rdbuf();
    if (file.bad())
        return usageError(fmt::format("File '{}' cannot be read to its end.", path));
    return text.str();
}

void addHeader(HttpRequest &request, std::string name, std::string value)
{
    request.headers.push_back({std::move(name), std::move(value)});
}

/** Creates a request with the query and headers that all changes have in common. */
HttpRequest changeRequest(const Invocation &call, std::string method, std::string path)
{
    HttpRequest request;
    request.method = std::move(method);
    request.path = std::move(path);
    const auto wait =
        std::chrono::duration_cast<std::chrono::milliseconds>(call.options.wait).count();
    request.query = fmt::format("wait-ms={}", wait);
    addHeader(request, "Oleander-Operator", call.options.author);
    addHeader(request, "Idempotency-Key", call.options.key);
    if (call.options.revision)
        addHeader(request, "If-Match", fmt::format("\"{}\"", *call.options.revision));
    return request;
}

Result<RequestPlan> planPut(const Invocation &call)
{
    const auto key = parseKeyArgument(call.positionals[1]);
    if (!key)
        return tl::make_unexpected(key.error());
    auto body = readAll(call.positionals[2], call.input);
    if (!body)
        return tl::make_unexpected(body.error());
    // Validated before sending, so that an error needs no round trip and names the file.
    if (const auto parsed = Records::parseBody(key->kind, *body); !parsed) {
        auto error = parsed.error();
        error.detail = fmt::format("File '{}': {}", call.positionals[2], error.detail);
        return tl::make_unexpected(std::move(error));
    }
    auto request = changeRequest(call, "PUT", pathOf(*key));
    request.body = std::move(*body);
    addHeader(request, "Content-Type", "application/json");
    return RequestPlan{std::move(request), changeTable};
}

Result<RequestPlan> planSubmit(const Invocation &call)
{
    if (call.positionals.size() != 3)
        return usageError("The usage is: oleander submit KIND/NAME FILE.");
    if (call.options.revision)
        return usageError(
            "Flag --revision is only allowed for amend; submit creates a new record.");
    return planPut(call);
}

Result<RequestPlan> planAmend(const Invocation &call)
{
    if (call.positionals.size() != 3)
        return usageError("The usage is: oleander amend KIND/NAME FILE --revision=N.");
    if (!call.options.revision) {
        return usageError(
            "Flag --revision is missing; it has to name the revision that is amended, "
            "as shown by 'oleander show'.");
    }
    return planPut(call);
}

Result<StringList> recordNames(const Invocation &call)
{
    StringList names(call.positionals.begin() + 1, call.positionals.end());
    if (call.options.from.empty())
        return names;
    const auto text = readAll(call.options.from, call.input);
    if (!text)
        return tl::make_unexpected(text.error());
    std::istringstream lines(*text);
    for (std::string line; std::getline(lines, line);) {
        if (!line.empty())
            names.push_back(line);
    }
    return names;
}

Result<RequestPlan> planWithdraw(const Invocation &call)
{
    const auto names = recordNames(call);
    if (!names)
        return tl::make_unexpected(names.error());
    if (names->empty())
        return usageError("No record was named; the usage is: oleander withdraw KIND/NAME...");
    auto list = nlohmann::json::array();
    for (const auto &name : *names) {
        if (const auto key = parseKeyArgument(name); !key)
            return tl::make_unexpected(key.error());
        list.push_back(name);
    }
    if (names->size() == 1) {
        return RequestPlan{changeRequest(call, "DELETE", pathOf(*parseKeyArgument(names->front()))),
                           changeTable};
    }
    if (call.options.revision)
        return usageError("Flag --revision is only allowed for a single record.");
    auto request = changeRequest(call, "POST", "/v1/withdrawals");
    request.body = jsonText({{"records", list}});
    addHeader(request, "Content-Type", "application/json");
    return RequestPlan{std::move(request), bulkWithdrawalTable};
}

HttpRequest readRequest(std::string path, std::string query = {})
{
    HttpRequest request;
    request.method = "GET";
    request.path = std::move(path);
    request.query = std::move(query);
    return request;
}

Result<RequestPlan> planShow(const Invocation &call)
{
    if (call.positionals.size() != 2)
        return usageError("The usage is: oleander show KIND/NAME.");
    const auto key = parseKeyArgument(call.positionals[1]);
    if (!key)
        return tl::make_unexpected(key.error());
    return RequestPlan{readRequest(pathOf(*key)), recordTable};
}

Result<RequestPlan> planList(const Invocation &call)
{
    if (call.positionals.size() > 2)
        return usageError("The usage is: oleander list [KIND].");
    auto query = fmt::format("withdrawn={}&limit={}", call.options.withWithdrawn ? "yes" : "no",
                             call.options.limit);
    if (call.positionals.size() == 2) {
        if (!Records::kindFromName(call.positionals[1])) {
            return usageError(fmt::format("The kind is '{}'; allowed is {}.", call.positionals[1],
                                          Records::allowedKinds()));
        }
        query += "&kind=" + call.positionals[1];
    }
    return RequestPlan{readRequest("/v1/records", std::move(query)), listTable};
}

Result<RequestPlan> planEvents(const Invocation &call)
{
    if (call.positionals.size() != 1)
        return usageError("The usage is: oleander events [--after=N].");
    return RequestPlan{
        readRequest("/v1/events",
                    fmt::format("after={}&limit={}", call.options.after, call.options.limit)),
        eventTable};
}

Result<RequestPlan> planStatus(const Invocation &call)
{
    if (call.positionals.size() != 1)
        return usageError("The usage is: oleander status.");
    return RequestPlan{readRequest("/v1/status"), statusTable};
}

Result<RequestPlan> planDump(const Invocation &call)
{
    if (call.positionals.size() > 2)
        return usageError("The usage is: oleander dump [ADDRESS:PORT].");
    const bool isJson = call.options.format == OutputFormat::Json;
    return RequestPlan{readRequest("/v1/dump", isJson ? "output=json" : ""),
                       [](const std::string &body) { return body; }};
}

/** Escapes every byte of \a text that is not an unreserved character of RFC 3986. */
std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view Unreserved = "-._~";
    std::string encoded;
    for (const char letter : text) {
        const auto byte = static_cast<unsigned char>(letter);
        const bool isAlphanumeric = byte < 0x80 && std::isalnum(byte) != 0;
        if (isAlphanumeric || Unreserved.find(letter) != std::string_view::npos)
            encoded += letter;
        else
            encoded += fmt::format("%{:02X}", byte);
    }
    return encoded;
}

Result<RequestPlan> planEvacuation(const Invocation &call, const char *method)
{
    if (call.positionals.size() != 2) {
        return usageError(
            fmt::format("The usage is: oleander {} FAILURE-DOMAIN.", call.positionals.front()));
    }
    if (!isFailureDomainName(call.positionals[1])) {
        return usageError(fmt::format("The failure domain is '{}'; allowed is a name of 1 to 128 "
                                      "bytes without spaces, commas and slashes.",
                                      call.positionals[1]));
    }
    HttpRequest request;
    request.method = method;
    request.path = "/v1/evacuations/" + percentEncoded(call.positionals[1]);
    return RequestPlan{std::move(request), evacuationTable};
}

Result<RequestPlan> planEvacuate(const Invocation &call)
{
    return planEvacuation(call, "POST");
}

Result<RequestPlan> planEndEvacuation(const Invocation &call)
{
    return planEvacuation(call, "DELETE");
}

Result<RequestPlan> planEvacuations(const Invocation &call)
{
    if (call.positionals.size() != 1)
        return usageError("The usage is: oleander evacuations.");
    return RequestPlan{readRequest("/v1/evacuations"), evacuationListTable};
}

constexpr CommandPlan CommandPlans[] = {
    {"submit", planSubmit},
    {"amend", planAmend},
    {"withdraw", planWithdraw},
    {"show", planShow},
    {"list", planList},
    {"events", planEvents},
    {"status", planStatus},
    {"dump", planDump},
    {"evacuate", planEvacuate},
    {"end-evacuation", planEndEvacuation},
    {"evacuations", planEvacuations},
};

void printError(std::ostream &errors, const Error &error)
{
    errors << "oleander: " << error.text() << "\n";
}

ExitCode exitCodeOfStatus(unsigned status)
{
    switch (status) {
    case 404:
        return ExitCode::NotFound;
    case 409:
        return ExitCode::Conflict;
    case 500:
        return ExitCode::OutcomeUnknown;
    case 503:
    case 507:
        return ExitCode::Unavailable;
    case 504:
        return ExitCode::OutcomeUnknown;
    default:
        return ExitCode::Refused;
    }
}

/** Converts a problem document (RFC 9457) to an error. */
Error problemError(const EntryAnswer &answer)
{
    Error error =
        makeError(Failure::Refused, Step::Answer, answer.entry,
                  fmt::format("The entry answered with HTTP status {}.", answer.response.status));
    const auto body = parseJson(answer.response.body, AnswerLimits);
    if (!body || !body->is_object())
        return error;
    const auto detail = body->find("detail");
    if (detail != body->end() && detail->is_string())
        error.detail = detail->get<std::string>();
    const auto step = body->find("step");
    if (step != body->end() && step->is_string())
        error.step = stepFromName(step->get<std::string>()).value_or(Step::Answer);
    return error;
}

/** A bulk withdrawal succeeds only if each record is withdrawn now or was withdrawn before. */
ExitCode exitCodeOfAnswer(const EntryAnswer &answer)
{
    if (answer.response.status >= 300)
        return exitCodeOfStatus(answer.response.status);
    const auto body = parseJson(answer.response.body, AnswerLimits);
    const bool isPartlyRefused =
        body && body->is_object() && body->contains("refused") && (*body)["refused"] != 0;
    return isPartlyRefused ? ExitCode::Refused : ExitCode::Success;
}

ExitCode printAnswer(const Invocation &call, const RequestPlan &plan, const EntryAnswer &answer)
{
    const bool isJson = call.options.format == OutputFormat::Json;
    const bool isSuccess = answer.response.status < 300;
    if (isJson)
        call.output << answer.response.body;
    else if (isSuccess) {
        auto text = formatAnswer(plan.table, answer.response.body);
        if (!text) {
            text.error().peer = answer.entry;
            printError(call.errors, text.error());
            return exitCodeOf(text.error().code);
        }
        call.output << *text;
    }
    if (!isSuccess)
        printError(call.errors, problemError(answer));
    return exitCodeOfAnswer(answer);
}

/** Returns a printer of progress lines, or nothing if standard error is not a terminal. */
std::function<void(Duration, const std::string &)> progressTo(std::ostream &errors)
{
    if (isatty(STDERR_FILENO) == 0)
        return {};
    return [&errors](Duration elapsed, const std::string &what) {
        const auto elapsedSeconds =
            std::chrono::duration_cast<std::chrono::seconds>(elapsed).count();
        errors << fmt::format("oleander: {} s: {}\n", elapsedSeconds, what) << std::flush;
    };
}

ExitCode execute(const Invocation &call, const RequestPlan &plan)
{
    const bool isChange = plan.request.method != "GET";
    const bool hasKey = !plan.request.header("Idempotency-Key").empty();
    OperatorClient client({call.options.servers, call.options.timeout,
                           hasKey ? call.options.wait : Duration(0), progressTo(call.errors)});
    const auto answer = client.call(plan.request);
    if (!answer) {
        printError(call.errors, answer.error());
        if (hasKey && answer.error().code == Failure::Unknown) {
            call.errors << fmt::format("oleander: Repeat the same command with --key={} and "
                                       "--author={}; it takes effect at most once.\n",
                                       call.options.key, call.options.author);
        } else if (isChange && answer.error().code == Failure::Unknown) {
            call.errors << "oleander: Repeat the same command; a change that took effect is "
                           "acknowledged again.\n";
        }
        return exitCodeOf(answer.error().code);
    }
    return printAnswer(call, plan, *answer);
}

} // namespace

std::span<const OperatorCommand> operatorCommands()
{
    static const std::vector<OperatorCommand> Commands = {
        {"submit",
         "KIND/NAME FILE",
         "Submits a new record; FILE - is standard input.",
         {"server", "output", "author", "key", "timeout", "wait"}},
        {"amend",
         "KIND/NAME FILE --revision=N",
         "Amends the record of the named revision.",
         {"server", "output", "author", "key", "timeout", "wait", "revision"}},
        {"withdraw",
         "KIND/NAME...",
         "Withdraws records; many are withdrawn in one command.",
         {"server", "output", "author", "key", "timeout", "wait", "revision", "from"}},
        {"show",
         "KIND/NAME",
         "Shows a record and what became of it.",
         {"server", "output", "timeout"}},
        {"list",
         "[KIND]",
         "Lists the records and their states.",
         {"server", "output", "timeout", "withdrawn", "limit"}},
        {"events",
         "",
         "Lists what happened, oldest first.",
         {"server", "output", "timeout", "after", "limit"}},
        {"status",
         "",
         "Shows the entry, its replica, the configuration, tasks and workers.",
         {"server", "output", "timeout"}},
        {"dump",
         "[ADDRESS:PORT]",
         "Shows the state of the process with this operators' door.",
         {"server", "output", "timeout"}},
        {"evacuate",
         "FAILURE-DOMAIN",
         "Starts nothing more on the minions of a failure domain.",
         {"server", "output", "timeout"}},
        {"end-evacuation",
         "FAILURE-DOMAIN",
         "Withdraws the evacuation of a failure domain.",
         {"server", "output", "timeout"}},
        {"evacuations",
         "",
         "Lists the evacuations that were requested, and the known failure domains.",
         {"server", "output", "timeout"}},
    };
    return Commands;
}

int runOperatorCommand(const std::vector<std::string> &positionals, std::istream &input,
                       std::ostream &output, std::ostream &errors)
{
    const auto entry =
        std::find_if(std::begin(CommandPlans), std::end(CommandPlans),
                     [&](const auto &row) { return row.name == positionals.front(); });
    if (positionals.front() == "dump" && positionals.size() == 2)
        setServer(positionals[1]);
    auto options = readCommandOptions();
    if (!options) {
        printError(errors, options.error());
        return static_cast<int>(ExitCode::Usage);
    }
    const Invocation call{positionals, std::move(*options), input, output, errors};
    const auto plan = entry->plan(call);
    if (!plan) {
        printError(errors, plan.error());
        const bool isUsageError = plan.error().step == Step::CommandLine;
        return static_cast<int>(isUsageError ? ExitCode::Usage : ExitCode::Refused);
    }
    return static_cast<int>(execute(call, *plan));
}

} // namespace Oleander
