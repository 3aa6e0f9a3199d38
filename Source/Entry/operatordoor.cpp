#include "Entry/operatordoor.h"

#include "Records/recordevents.h"
#include "Runtime/diagnosticsserver.h"
#include "Runtime/log.h"

#include <algorithm>

namespace Oleander {

namespace {

/** Time between two looks at whether a configuration is in force. */
constexpr Duration SpreadCheckInterval = std::chrono::milliseconds(50);

CommandFate fateOf(const Error &error)
{
    return error.code == Failure::Unknown ? CommandFate::Unknown : CommandFate::NotRun;
}

/** True when the answer to \a outcome tells of a configuration. */
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

OperatorDoor::OperatorDoor(EventLoop &loop, const State::ControlState &state, HttpLimits limits,
                           OperatorDoorParts parts)
    : loop_(loop)
    , state_(state)
    , parts_(std::move(parts))
    , server_(loop, limits, [this](auto exchange) { handle(exchange); })
    , timer_(loop, [this] { answerReady(); })
    , alive_(std::make_shared<OperatorDoor *>(this))
{}

OperatorDoor::~OperatorDoor() = default;

Result<std::string> OperatorDoor::listen(const std::string &address)
{
    return server_.listen(address);
}

void OperatorDoor::closeListener()
{
    server_.closeListener();
}

std::size_t OperatorDoor::inFlight() const
{
    return server_.inFlight();
}

void OperatorDoor::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    if (answerDiagnosticsRequest(*exchange))
        return;
    const auto request = parseOperatorRequest(exchange->request(), loop_.clock().wallNow());
    if (!request) {
        exchange->respond(answerProblem(request.error(), CommandFate::NotRun));
        return;
    }
    std::visit([&](const auto &held) { run(exchange, held); }, *request);
}

void OperatorDoor::run(const std::shared_ptr<HttpExchange> &exchange, const SubmitRequest &request)
{
    commit(exchange, request.command, request.wait, answerChange);
}

void OperatorDoor::run(const std::shared_ptr<HttpExchange> &exchange,
                       const WithdrawRequest &request)
{
    commit(exchange, request.command, request.wait, request.isWave ? answerWave : answerChange);
}

template<typename Request>
void OperatorDoor::run(const std::shared_ptr<HttpExchange> &exchange, const Request &request)
{
    parts_.readBarrier([weak = std::weak_ptr(alive_), exchange, request](const auto &read) {
        const auto door = weak.lock();
        if (!door)
            return;
        if (!read) {
            exchange->respond(answerProblem(read.error(), CommandFate::NotRun));
            return;
        }
        exchange->respond(answerRead((*door)->view(), request));
    });
}

void OperatorDoor::commit(const std::shared_ptr<HttpExchange> &exchange,
                          const State::Command &command, Duration wait, Answer answer)
{
    const auto deadline = loop_.clock().now() + wait;
    const auto finish = [weak = std::weak_ptr(alive_), exchange, answer = std::move(answer),
                         deadline](const Result<std::string> &committed) {
        const auto door = weak.lock();
        if (!door)
            return;
        if (!committed) {
            exchange->respond(answerProblem(committed.error(), fateOf(committed.error())));
            return;
        }
        auto outcome = State::outcomeOf<Records::ChangeOutcome>(*committed);
        if (!outcome) {
            exchange->respond(answerProblem(outcome.error(), CommandFate::Unknown));
            return;
        }
        logOutcome(*outcome);
        (*door)->answerCommitted({exchange, std::move(*outcome), answer, deadline});
    };
    parts_.propose(State::encodeCommand(command), finish);
}

void OperatorDoor::answerCommitted(WaitingAnswer waiting)
{
    const bool mayWait =
        concernsConfiguration(waiting.outcome) && loop_.clock().now() < waiting.deadline;
    if (!mayWait) {
        waiting.exchange->respond(waiting.answer(view(), waiting.outcome));
        return;
    }
    waiting_.push_back(std::move(waiting));
    if (waiting_.size() == 1)
        timer_.startEvery(SpreadCheckInterval);
}

void OperatorDoor::answerReady()
{
    const auto current = view();
    const auto now = loop_.clock().now();
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        const bool isInForce =
            current.spread.version >= it->outcome.index && current.spread.inForceEverywhere();
        if (!isInForce && now < it->deadline) {
            ++it;
            continue;
        }
        it->exchange->respond(it->answer(current, it->outcome));
        it = waiting_.erase(it);
    }
    if (waiting_.empty())
        timer_.cancel();
}

OperatorView OperatorDoor::view() const
{
    return {parts_.entry, state_, parts_.spread(), parts_.replicaStatus()};
}

} // namespace Oleander
