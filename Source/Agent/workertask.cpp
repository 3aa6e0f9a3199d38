#include "Agent/workertask.h"

#include "Agent/workerinterface.h"

namespace Oleander {

namespace {

/** Starts never occupy the connections that are reserved for stops and leases. */
constexpr ConnectionLimits WorkerConnections{8, 2};
constexpr unsigned FirstClientErrorStatus = 400;
constexpr unsigned FirstServerErrorStatus = 500;

bool isSuccess(const HttpCallResult &result)
{
    return result && result->status < FirstClientErrorStatus;
}

} // namespace

WorkerTask::WorkerTask(EventLoop &loop, Messenger &messenger, WorkerTaskOptions options)
    : loop_(loop)
    , messenger_(messenger)
    , options_(std::move(options))
    , executor_(options_.executor)
    , tickTimer_(loop, [this] { tick(); })
    , listTimer_(loop, [this] { listTasks(); })
    , usageTimer_(loop, [this] { readUsage(); })
{
    if (options_.address.empty())
        return;
    client_ = std::make_unique<HttpClient>(loop_, options_.address, WorkerConnections);
    messenger_.on<HeartbeatReply>([this](const Sender &, HeartbeatReply &&reply) {
        if (executor_.handleReply(reply))
            mustSendLease_ = true;
        tick();
    });
    messenger_.on<TaskOrder>([this](const Sender &, TaskOrder &&order) {
        const bool isNewWork = order.action == TaskAction::Start;
        if (isNewWork && options_.gate && !options_.gate())
            return;
        // A refusal needs no reply: the leader resends the order until a report shows its effect.
        static_cast<void>(executor_.handleOrder(order, loop_.clock().now()));
        tick();
    });
    tickTimer_.startEvery(options_.tickInterval);
    listTimer_.startEvery(options_.listInterval);
    usageTimer_.startEvery(options_.usageInterval);
    listTasks();
}

void WorkerTask::recordHeartbeat(std::uint64_t stamp)
{
    executor_.noteHeartbeat(stamp, loop_.clock().now());
}

std::vector<AttemptReport> WorkerTask::attempts() const
{
    return executor_.reports();
}

std::vector<UsageReport> WorkerTask::usage() const
{
    std::vector<UsageReport> aged = usage_;
    for (UsageReport &report : aged)
        report.age += loop_.clock().now() - usageReadAt_;
    return aged;
}

void WorkerTask::tick()
{
    sendLease();
    for (const Placement::WorkerCall &call : executor_.dueCalls(loop_.clock().now()))
        this->call(call);
}

void WorkerTask::sendLease()
{
    if (!mustSendLease_ || isSendingLease_ || !executor_.leaseEnd())
        return;
    mustSendLease_ = false;
    isSendingLease_ = true;
    client_->call(
        leaseRequest(*executor_.leaseEnd(), executor_.session()), options_.callTimeout,
        [this](const HttpCallResult &result) {
            isSendingLease_ = false;
            if (!isSuccess(result))
                mustSendLease_ = true;
        },
        Precedence::Urgent);
}

void WorkerTask::call(const Placement::WorkerCall &call)
{
    const bool isStop = call.action == TaskAction::Stop;
    if (isStop)
        cancelWaitingStarts(call);
    const auto id = std::make_shared<HttpClient::CallId>();
    *id = client_->call(
        workerRequest(call), options_.callTimeout,
        [this, call, id](const HttpCallResult &result) {
            const auto starts = startCalls_.find({call.task, call.attempt});
            if (starts != startCalls_.end() && starts->second.erase(*id) > 0
                && starts->second.empty())
                startCalls_.erase(starts);
            handleCallResult(call, result);
        },
        isStop ? Precedence::Urgent : Precedence::Normal);
    if (call.action == TaskAction::Start)
        startCalls_[{call.task, call.attempt}].insert(*id);
}

void WorkerTask::cancelWaitingStarts(const Placement::WorkerCall &stop)
{
    const auto starts = startCalls_.find({stop.task, stop.attempt});
    if (starts == startCalls_.end())
        return;
    std::erase_if(starts->second,
                  [this](HttpClient::CallId id) { return client_->cancelWaiting(id); });
    if (starts->second.empty())
        startCalls_.erase(starts);
}

void WorkerTask::handleCallResult(const Placement::WorkerCall &call, const HttpCallResult &result)
{
    if (call.action == TaskAction::Stop && isSuccess(result)) {
        executor_.handleRemoval(call.task, call.attempt);
        report();
        return;
    }
    const bool isRefused = result && result->status >= FirstClientErrorStatus
                           && result->status < FirstServerErrorStatus;
    if (isRefused)
        executor_.handleCallFailure(call, refusalReason(*result));
    listTasks();
}

void WorkerTask::listTasks()
{
    if (isListing_)
        return;
    isListing_ = true;
    HttpRequest request;
    request.method = "GET";
    request.path = "/tasks";
    client_->call(std::move(request), options_.callTimeout,
                  [this, requestedAt = loop_.clock().now()](const HttpCallResult &result) {
                      isListing_ = false;
                      if (!isSuccess(result))
                          return;
                      const auto listing = parseListing(result->body);
                      if (!listing)
                          return;
                      hasTaskList_ = true;
                      executor_.handleListing(*listing, requestedAt);
                      report();
                  });
}

void WorkerTask::readUsage()
{
    if (isReadingUsage_)
        return;
    isReadingUsage_ = true;
    HttpRequest request;
    request.method = "GET";
    request.path = "/usage";
    client_->call(std::move(request), options_.callTimeout,
                  [this, requestedAt = loop_.clock().now()](const HttpCallResult &result) {
                      isReadingUsage_ = false;
                      auto usage =
                          isSuccess(result)
                              ? parseUsage(result->body)
                              : Result<std::vector<UsageReport>>(tl::make_unexpected(Error()));
                      if (!usage)
                          return;
                      usage_ = std::move(*usage);
                      usageReadAt_ = requestedAt;
                  });
}

void WorkerTask::report()
{
    const std::string &leader = executor_.leader();
    if (leader.empty())
        return;
    if (leader != reportedLeader_)
        reportedAttempts_.clear();
    reportedLeader_ = leader;
    std::map<std::string, AttemptReport> known;
    TaskReport changes;
    for (const AttemptReport &attempt : executor_.reports()) {
        const auto before = reportedAttempts_.find(attempt.task);
        if (before == reportedAttempts_.end() || !(before->second == attempt))
            changes.attempts.push_back(attempt);
        known.emplace(attempt.task, attempt);
    }
    // The next task list in a heartbeat repeats these reports, so a lost report only causes a
    // delay.
    if (changes.attempts.empty() || messenger_.send(leader, std::move(changes)))
        reportedAttempts_ = std::move(known);
}

} // namespace Oleander
