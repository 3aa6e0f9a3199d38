#include "Cli/operatorclient.h"

#include "Protocol/jsonreader.h"
#include "Runtime/eventloop.h"
#include "Runtime/httpclient.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <optional>

namespace Oleander {

namespace {

/** Maximum time for one entry to answer before the next one is tried. */
constexpr Duration AttemptTimeout = std::chrono::seconds(6);
/** Delay after all entries failed once. */
constexpr Duration RoundDelay = std::chrono::milliseconds(200);
constexpr Duration ProgressInterval = std::chrono::seconds(1);

/** Outcome of a request according to an entry's answer. */
enum class RequestOutcome { Answered, NotRun, Unknown };

RequestOutcome outcomeOf(const HttpResponse &response)
{
    if (response.status != 503 && response.status != 504)
        return RequestOutcome::Answered;
    const auto body = parseJson(response.body);
    if (!body || !body->is_object())
        return RequestOutcome::Unknown;
    const auto outcome = body->find("outcome");
    const bool isNotRun = outcome != body->end() && *outcome == "not-run";
    return isNotRun ? RequestOutcome::NotRun : RequestOutcome::Unknown;
}

std::string detailOf(const HttpResponse &response)
{
    const auto body = parseJson(response.body);
    if (body && body->is_object() && body->contains("detail") && (*body)["detail"].is_string())
        return (*body)["detail"].get<std::string>();
    return fmt::format("The entry answered with HTTP status {}.", response.status);
}

/** Sends one request to the entries in turn until one of them answers. */
class RetryingCall
{
public:
    RetryingCall(const OperatorClientOptions &options, const HttpRequest &request)
        : options_(options)
        , request_(request)
        , retryTimer_(loop_, [this] { tryNext(); })
        , progressTimer_(loop_, [this] { reportProgress(); })
        , start_(loop_.clock().now())
    {}

    Result<EntryAnswer> run()
    {
        loop_.onSignal(SIGINT, [this] { finish(interrupted()); });
        progressTimer_.startEvery(ProgressInterval);
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
        server_ = options_.servers[nextServer_ % options_.servers.size()];
        ++nextServer_;
        client_ = std::make_unique<HttpClient>(loop_, server_, 1);
        // A timed-out attempt is resent to the next entry; the Idempotency-Key of a change prevents
        // a second effect.
        const auto timeout = std::min(limit() - elapsed(), AttemptTimeout + options_.answerWait);
        client_->call(request_, timeout,
                      [this](const HttpCallResult &result) { handleResult(result); });
    }

    void handleResult(const HttpCallResult &result)
    {
        if (!result) {
            mayHaveRun_ = mayHaveRun_ || result.error().mayHaveBeenSent;
            setError(result.error().error);
        } else {
            const auto requestOutcome = outcomeOf(*result);
            if (requestOutcome == RequestOutcome::Answered) {
                finish(EntryAnswer{server_, *result});
                return;
            }
            mayHaveRun_ = mayHaveRun_ || requestOutcome == RequestOutcome::Unknown;
            setError(makeError(Failure::Unavailable, Step::Answer, server_, detailOf(*result)));
        }
        const bool isRoundComplete = nextServer_ % options_.servers.size() == 0;
        retryTimer_.startOnce(isRoundComplete ? RoundDelay : Duration(0));
    }

    void setError(const Error &error)
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
                               server_, "The command was interrupted before the answer arrived.");
        return tl::make_unexpected(std::move(error));
    }

    bool isChange() const { return request_.method != "GET"; }

    void reportProgress()
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
    Timer retryTimer_;
    Timer progressTimer_;
    TimePoint start_;
    std::unique_ptr<HttpClient> client_;
    std::string server_;
    std::size_t nextServer_ = 0;
    bool mayHaveRun_ = false;
    std::optional<Error> error_;
    std::optional<Result<EntryAnswer>> result_;
};

} // namespace

OperatorClient::OperatorClient(OperatorClientOptions options) : options_(std::move(options)) {}

Result<EntryAnswer> OperatorClient::call(const HttpRequest &request)
{
    return RetryingCall(options_, request).run();
}

} // namespace Oleander
