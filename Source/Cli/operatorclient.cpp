#include "Cli/operatorclient.h"

#include "Runtime/eventloop.h"
#include "Runtime/httpclient.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <memory>
#include <optional>

namespace Oleander {

namespace {

/** Longest time for one entry to answer before the next is tried. */
constexpr Duration TryTimeout = std::chrono::seconds(6);
/** Pause after every entry failed once. */
constexpr Duration RoundPause = std::chrono::milliseconds(200);
constexpr Duration ProgressInterval = std::chrono::seconds(1);

/** What an entry's answer says of the fate of the request. */
enum class Fate { Answered, NotRun, Unknown };

Fate fateOf(const HttpResponse &response)
{
    if (response.status != 503 && response.status != 504)
        return Fate::Answered;
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (!body.is_object())
        return Fate::Unknown;
    const auto outcome = body.find("outcome");
    const bool isNotRun = outcome != body.end() && *outcome == "not-run";
    return isNotRun ? Fate::NotRun : Fate::Unknown;
}

std::string detailOf(const HttpResponse &response)
{
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (body.is_object() && body.contains("detail") && body["detail"].is_string())
        return body["detail"].get<std::string>();
    return fmt::format("The entry answered with HTTP status {}.", response.status);
}

/** One request, sent to entry after entry until one answers. */
class Conversation
{
public:
    Conversation(const OperatorClientOptions &options, const HttpRequest &request)
        : options_(options)
        , request_(request)
        , pause_(loop_, [this] { tryNext(); })
        , ticker_(loop_, [this] { tick(); })
        , start_(loop_.clock().now())
    {}

    Result<EntryAnswer> run()
    {
        loop_.onSignal(SIGINT, [this] { finish(interrupted()); });
        ticker_.startEvery(ProgressInterval);
        loop_.post([this] { tryNext(); });
        loop_.run();
        return std::move(*result_);
    }

private:
    Duration elapsed() const { return loop_.clock().now() - start_; }
    Duration limit() const { return options_.timeout + options_.answerWait; }

    void tryNext()
    {
        if (elapsed() >= limit()) {
            finish(tl::make_unexpected(lastError()));
            return;
        }
        server_ = options_.servers[next_ % options_.servers.size()];
        ++next_;
        client_ = std::make_unique<HttpClient>(loop_, server_, 1);
        // A change without a key must not be sent twice, so its one try gets all the time.
        const auto timeout = std::min(limit() - elapsed(), TryTimeout + options_.answerWait);
        client_->call(request_, timeout,
                      [this](const HttpCallResult &result) { answered(result); });
    }

    void answered(const HttpCallResult &result)
    {
        if (!result) {
            mayHaveRun_ = mayHaveRun_ || result.error().mayHaveBeenSent;
            noteError(result.error().error);
        } else {
            const auto fate = fateOf(*result);
            if (fate == Fate::Answered) {
                finish(EntryAnswer{server_, *result});
                return;
            }
            mayHaveRun_ = mayHaveRun_ || fate == Fate::Unknown;
            noteError(makeError(Failure::Unavailable, Step::Answer, server_, detailOf(*result)));
        }
        const bool isRoundOver = next_ % options_.servers.size() == 0;
        pause_.startOnce(isRoundOver ? RoundPause : Duration(0));
    }

    void noteError(const Error &error)
    {
        error_ = error;
        error_->peer = server_;
    }

    Error lastError() const
    {
        Error error = error_.value_or(
            makeError(Failure::Unavailable, Step::Connect, server_, "No entry answered in time."));
        error.code = mayHaveRun_ && isChange() ? Failure::Unknown : Failure::Unavailable;
        if (error.code == Failure::Unknown)
            error.detail = "It is not known whether the command took effect. " + error.detail;
        return error;
    }

    tl::unexpected<Error> interrupted() const
    {
        auto error = makeError(isChange() ? Failure::Unknown : Failure::Cancelled, Step::Answer,
                               server_, "The command was interrupted before its answer came.");
        return tl::make_unexpected(std::move(error));
    }

    bool isChange() const { return request_.method != "GET"; }

    void tick()
    {
        if (options_.progress)
            options_.progress(elapsed(), error_ ? error_->text() : "Waiting for " + server_ + ".");
    }

    void finish(Result<EntryAnswer> result)
    {
        if (result_)
            return;
        result_ = std::move(result);
        loop_.stop();
    }

    const OperatorClientOptions &options_;
    const HttpRequest &request_;
    EventLoop loop_;
    Timer pause_;
    Timer ticker_;
    TimePoint start_;
    std::unique_ptr<HttpClient> client_;
    std::string server_;
    std::size_t next_ = 0;
    bool mayHaveRun_ = false;
    std::optional<Error> error_;
    std::optional<Result<EntryAnswer>> result_;
};

} // namespace

OperatorClient::OperatorClient(OperatorClientOptions options) : options_(std::move(options)) {}

Result<EntryAnswer> OperatorClient::call(const HttpRequest &request)
{
    return Conversation(options_, request).run();
}

} // namespace Oleander
