#include "Agent/requesttask.h"

#include "Routing/callerrequest.h"
#include "Routing/endtoendheaders.h"
#include "Runtime/log.h"

namespace Oleander {

namespace {

/** Connections per minion; admission limits concurrent requests to what the minion allows. */
constexpr std::size_t MaxConnectionsToMinion = 256;
/** Interval between checks of the deadlines of queued requests and of announcements. */
constexpr Duration TickInterval = std::chrono::milliseconds(20);
constexpr std::string_view TimeoutHeader = "Oleander-Timeout-Ms";

LogEvent eventOf(MinionState state)
{
    switch (state) {
    case MinionState::Serving:
        return LogEvent::MinionAnnounced;
    case MinionState::Draining:
        return LogEvent::MinionDraining;
    case MinionState::Lapsed:
        break;
    }
    return LogEvent::MinionLapsed;
}

HttpRequest requestOf(RequestDispatch &&message, Duration timeout)
{
    HttpRequest request;
    request.method = std::move(message.method);
    request.path = std::move(message.path);
    request.headers = std::move(message.headers);
    request.body = std::move(message.body);
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(timeout);
    request.headers.push_back({std::string(TimeoutHeader), std::to_string(left.count())});
    return request;
}

} // namespace

RequestTask::RequestTask(EventLoop &loop, Messenger &messenger, RequestAdmissionSettings settings)
    : loop_(loop)
    , messenger_(messenger)
    , admission_(loop.clock(), std::move(settings), *this)
    , timer_(loop, [this] { admission_.tick(); })
{
    admission_.onMinionsChanged([this] {
        logMinionChanges();
        minionsChanged.emit();
    });
    messenger_.on<RequestDispatch>([this](const Sender &from, RequestDispatch &&message) {
        admission_.dispatch(from.name, std::move(message));
    });
    messenger_.on<RequestCancel>(
        [this](const Sender &, RequestCancel &&message) { admission_.cancel(message); });
    timer_.startEvery(TickInterval);
}

RequestTask::~RequestTask() = default;

void RequestTask::logMinionChanges()
{
    std::map<std::string, MinionState> states;
    for (const auto &status : admission_.minions()) {
        states[status.name] = status.state;
        const auto known = loggedStates_.find(status.name);
        if (known != loggedStates_.end() && known->second == status.state)
            continue;
        logEvent(eventOf(status.state), Step::Join, status.name, {{"service", status.service}});
    }
    loggedStates_ = std::move(states);
}

std::vector<DumpRow> RequestTask::minionRows() const
{
    std::vector<DumpRow> rows;
    for (const auto &status : admission_.minions()) {
        rows.push_back({status.name,
                        {{"service", status.service},
                         {"state", minionStateName(status.state)},
                         {"slots", status.slots},
                         {"connections", status.connections},
                         {"running", status.running},
                         {"queued", status.queued}}});
    }
    return rows;
}

Result<void> RequestTask::announce(const MinionAnnouncement &announcement)
{
    return admission_.announce(announcement);
}

HttpClient &RequestTask::clientFor(const std::string &address)
{
    auto &client = clients_[address];
    if (!client)
        client = std::make_unique<HttpClient>(loop_, address, MaxConnectionsToMinion);
    return *client;
}

void RequestTask::run(const std::string &address, RequestDispatch message, Duration timeout)
{
    const std::string name = message.request;
    const auto id = clientFor(address).call(
        requestOf(std::move(message), timeout), timeout,
        [this, name](HttpCallResult result) { handleCallResult(name, std::move(result)); });
    calls_[name] = {address, id};
}

void RequestTask::abort(const std::string &address, const std::string &request)
{
    const auto found = calls_.find(request);
    if (found == calls_.end())
        return;
    clientFor(address).cancel(found->second.id);
    calls_.erase(found);
}

void RequestTask::answer(const std::string &entry, RequestAnswer answer)
{
    // If the entry cannot be reached, its request ends at its deadline.
    (void)messenger_.send(entry, std::move(answer));
}

void RequestTask::handleCallResult(const std::string &request, HttpCallResult result)
{
    calls_.erase(request);
    if (!result) {
        const auto &error = result.error();
        const Outcome outcome = error.mayHaveBeenSent ? Outcome::Unknown : Outcome::NotRun;
        const Step step = error.mayHaveBeenSent ? error.error.step : Step::Send;
        admission_.failed(request, outcome, step, error.error.detail);
        return;
    }
    RequestAnswer answer;
    answer.status = result->status;
    answer.headers = endToEndHeaders(result->headers);
    answer.body = std::move(result->body);
    admission_.finished(request, std::move(answer));
}

} // namespace Oleander
