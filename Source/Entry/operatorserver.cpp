#include "Entry/operatorserver.h"

#include "Records/recordevents.h"
#include "Runtime/diagnosticsserver.h"
#include "Runtime/log.h"

#include <algorithm>

namespace Oleander {

namespace {

/** Interval between checks whether a configuration is in force everywhere. */
constexpr Duration RolloutCheckInterval = std::chrono::milliseconds(50);

CommandOutcome commandOutcomeOf(const Error &error)
{
    return error.code == Failure::Unknown ? CommandOutcome::Unknown : CommandOutcome::NotRun;
}

/** True when \a outcome includes an accepted change of a configuration. */
bool concernsConfiguration(const Records::ChangeOutcome &outcome)
{
    return std::any_of(outcome.changes.begin(), outcome.changes.end(), [](const auto &change) {
        return change.key.kind == Records::RecordKind::Configuration
               && Records::isAccepted(change.result);
    });
}

void logOutcome(const Records::ChangeOutcome &outcome)
{
    for (const auto &change : outcome.changes) {
        const auto event =
            Records::isAccepted(change.result) ? LogEvent::RecordAccepted : LogEvent::RecordRefused;
        logEvent(event, Step::Commit, {},
                 {{"record", Records::keyText(change.key)},
                  {"result", Records::changeResultName(change.result)},
                  {"revision", change.revision},
                  {"index", outcome.index}});
    }
}

HttpResponse answerRead(const OperatorView &view, const ShowRequest &request)
{
    return answerShow(view, request);
}

HttpResponse answerRead(const OperatorView &view, const ListRequest &request)
{
    return answerList(view, request);
}

HttpResponse answerRead(const OperatorView &view, const EventsRequest &request)
{
    return answerEvents(view, request);
}

HttpResponse answerRead(const OperatorView &view, const StatusRequest &)
{
    return answerStatus(view);
}

} // namespace

OperatorServer::OperatorServer(EventLoop &loop, const State::ControlState &state, HttpLimits limits,
                               OperatorServerDependencies dependencies)
    : loop_(loop)
    , state_(state)
    , dependencies_(std::move(dependencies))
    , server_(
          loop, limits, [this](auto exchange) { handle(exchange); },
          {dependencies_.budget,
           [](auto method, auto path) { return method != "DELETE" && path.starts_with("/v1/"); }})
    , timer_(loop, [this] { answerReadyChanges(); })
    , alive_(std::make_shared<OperatorServer *>(this))
{}

OperatorServer::~OperatorServer() = default;

Result<std::string> OperatorServer::listen(const std::string &address)
{
    return server_.listen(address);
}

void OperatorServer::closeListener()
{
    server_.closeListener();
}

std::size_t OperatorServer::inFlight() const
{
    return server_.inFlight();
}

void OperatorServer::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    if (answerDiagnosticsRequest(*exchange))
        return;
    const auto request = parseOperatorRequest(exchange->request(), loop_.clock().wallNow());
    if (!request) {
        exchange->respond(answerProblem(request.error(), CommandOutcome::NotRun));
        return;
    }
    std::visit([&](const auto &typedRequest) { run(exchange, typedRequest); }, *request);
}

void OperatorServer::run(const std::shared_ptr<HttpExchange> &exchange,
                         const SubmitRequest &request)
{
    commit(exchange, request.command, request.wait, answerChange);
}

void OperatorServer::run(const std::shared_ptr<HttpExchange> &exchange,
                         const WithdrawRequest &request)
{
    commit(exchange, request.command, request.wait,
           request.isBulk ? answerBulkWithdrawal : answerChange);
}

template<typename Request>
void OperatorServer::run(const std::shared_ptr<HttpExchange> &exchange, const Request &request)
{
    dependencies_.readBarrier([weak = std::weak_ptr(alive_), exchange, request](const auto &read) {
        const auto self = weak.lock();
        if (!self)
            return;
        if (!read) {
            exchange->respond(answerProblem(read.error(), CommandOutcome::NotRun));
            return;
        }
        exchange->respond(answerRead((*self)->view(), request));
    });
}

void OperatorServer::commit(const std::shared_ptr<HttpExchange> &exchange,
                            const State::Command &command, Duration wait, Answer answer)
{
    const auto deadline = loop_.clock().now() + wait;
    const auto finish = [weak = std::weak_ptr(alive_), exchange, answer = std::move(answer),
                         deadline](const Result<std::string> &committed) {
        const auto self = weak.lock();
        if (!self)
            return;
        if (!committed) {
            exchange->respond(
                answerProblem(committed.error(), commandOutcomeOf(committed.error())));
            return;
        }
        auto outcome = State::outcomeOf<Records::ChangeOutcome>(*committed);
        if (!outcome) {
            exchange->respond(answerProblem(outcome.error(), CommandOutcome::Unknown));
            return;
        }
        logOutcome(*outcome);
        (*self)->answerCommitted({exchange, std::move(*outcome), answer, deadline});
    };
    dependencies_.propose(State::encodeCommand(command), finish);
}

void OperatorServer::answerCommitted(DeferredAnswer waiting)
{
    const bool mayWait =
        concernsConfiguration(waiting.outcome) && loop_.clock().now() < waiting.deadline;
    if (!mayWait) {
        waiting.exchange->respond(waiting.answer(view(), waiting.outcome));
        return;
    }
    deferredAnswers_.push_back(std::move(waiting));
    if (deferredAnswers_.size() == 1)
        timer_.startEvery(RolloutCheckInterval);
}

void OperatorServer::answerReadyChanges()
{
    const auto current = view();
    const auto now = loop_.clock().now();
    for (auto it = deferredAnswers_.begin(); it != deferredAnswers_.end();) {
        const bool isInForce =
            current.rollout.version >= it->outcome.index && current.rollout.isInForceEverywhere();
        if (!isInForce && now < it->deadline) {
            ++it;
            continue;
        }
        it->exchange->respond(it->answer(current, it->outcome));
        it = deferredAnswers_.erase(it);
    }
    if (deferredAnswers_.empty())
        timer_.cancel();
}

OperatorView OperatorServer::view() const
{
    return {dependencies_.entry, state_, dependencies_.rollout(), dependencies_.replicaStatus()};
}

} // namespace Oleander
