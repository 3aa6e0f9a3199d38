#include "Fleet/miniontask.h"
#include "Fleet/miniontaskprivate.h"
#include "Fleet/runlog.h"
#include "Runtime/log.h"

#include <algorithm>
#include <utility>

namespace Oleander::Fleet {

namespace {

/** Maximum wait of a poll for the end of a run; the measurements for pacing cover half a second. */
constexpr Duration PollWait = std::chrono::milliseconds(400);
/** Pause after a poll that returned no changes and did not wait. */
constexpr Duration PollPause = std::chrono::milliseconds(30);
/** Pause after a failed poll. */
constexpr Duration PollRetryInterval = std::chrono::milliseconds(100);
/** Consecutive failed polls with a refused connection after which the minion process counts as
 * ended. */
constexpr unsigned RefusalsUntilGone = 3;

/** True if the connection may have been refused. It may also have been accepted and then reset, or
 * never been opened. */
bool mayBeRefused(const HttpCallError &error)
{
    return !error.mayHaveBeenSent && error.error.code == Failure::Unavailable;
}

} // namespace

void MinionTask::pollRuns()
{
    isPolling_ = true;
    pollStartedAt_ = loop_.clock().now();
    PollOrder order;
    order.acknowledgedEnd = acknowledgedEnd_;
    order.holdUntilMs = holdUntilMs_;
    order.wait = hasRunList_ ? PollWait : Duration{};
    const std::uint64_t number = ++pollNumber_;
    pollClient_->call(
        codec_.pollRequest(minion_.life.name, order, fence()), order.wait + CallTimeout,
        [this, number, fence = fence(), instance = instanceNumber_](const HttpCallResult &result) {
            if (!isCurrentInstance(instance))
                return;
            isPolling_ = false;
            if (result && codec_.isFenceRefusal(*result))
                raiseFence(fence);
            onPollAnswer(number, result);
        });
}

void MinionTask::onPollAnswer(std::uint64_t number, const HttpCallResult &result)
{
    if (!result)
        return onPollFailure(result.error());
    auto lists = codec_.decodeRunLists(*result);
    if (!lists) {
        logEvent(LogEvent::FrameMalformed, lists.error());
        nextPollAt_ = loop_.clock().now() + PollRetryInterval;
        return;
    }
    forgetPollFailures();
    if (!minion_.reachable) {
        minion_.reachable = true;
        reportNeeded.emit();
    }
    // The announcement of that instance follows.
    if (lists->bornMs != minion_.life.bornMs)
        return endInstance("another instance answered at its address");
    applyRunLists(number, std::move(*lists));
}

void MinionTask::onPollFailure(const HttpCallError &error)
{
    const TimePoint now = loop_.clock().now();
    nextPollAt_ = now + PollRetryInterval;
    // The process listens but did not answer with its lists.
    if (error.error.code == Failure::WrongIncarnation)
        return logEvent(LogEvent::FrameMalformed, error.error);
    crashAttribution_.pollFailed(now);
    if (mayBeRefused(error)) {
        connectProbe_.start([this](std::error_code outcome) { onConnectProbed(outcome); });
    } else {
        connectProbe_.cancel();
        refusedConnections_ = 0;
    }
    if (minion_.reachable) {
        logEvent(LogEvent::WorkerUnreachable, error.error);
        minion_.reachable = false;
        reportNeeded.emit();
    }
}

void MinionTask::forgetPollFailures()
{
    connectProbe_.cancel();
    refusedConnections_ = 0;
    isPresumedAliveLogged_ = false;
}

void MinionTask::onConnectProbed(std::error_code error)
{
    if (error == std::errc::connection_refused) {
        if (++refusedConnections_ >= RefusalsUntilGone)
            endInstance("no process listens at its address");
        return;
    }
    // The runs of a process that answers no call go on until their lease expires.
    refusedConnections_ = 0;
    if (std::exchange(isPresumedAliveLogged_, true))
        return;
    logEvent(LogEvent::MinionPresumedAlive, Step::Connect, minion_.life.name,
             {{"born_ms", minion_.life.bornMs},
              {"why", error ? error.message() : "a process listens at its address"}});
}

void MinionTask::applyRunLists(std::uint64_t number, RunLists lists)
{
    const TimePoint now = loop_.clock().now();
    crashAttribution_.pollAnswered(now);
    minionClockMs_ = std::max(minionClockMs_, lists.clockMs);
    bool hasChanges = !hasRunList_ || lists.running.size() != running_.size();
    for (const RunEnd &end : lists.finished) {
        hasChanges = hasChanges || end.number > highestEndNumber_;
        highestEndNumber_ = std::max(highestEndNumber_, end.number);
    }
    running_ = std::move(lists.running);
    finished_ = std::move(lists.finished);
    hasMoreEnds_ = lists.hasMoreEnds;
    hasRunList_ = true;
    std::set<Jobs::RunKey> present;
    for (const RunStatus &status : running_)
        present.insert({status.task, status.run});
    for (const RunEnd &end : finished_) {
        present.insert({end.task, end.run});
        crashAttribution_.forget({end.task, end.run});
    }
    for (const Jobs::RunKey &key : present)
        confirmStart(key, "list");
    std::erase_if(unansweredStarts_, [this](const auto &item) {
        const auto start = undeliveredStarts_.find(item.first);
        return item.second < minionClockMs_
               && (start == undeliveredStarts_.end() || start->second.isWithdrawn);
    });
    for (auto it = refusals_.begin(); it != refusals_.end();) {
        auto &[key, refusal] = *it;
        if (present.contains(key)) {
            it = refusals_.erase(it);
            continue;
        }
        // A run that is missing from an incomplete list may have ended.
        if (!refusal.isConfirmed && number > refusal.afterPoll && !hasMoreEnds_) {
            refusal.isConfirmed = true;
            latestEventReport_ = NotYetReported;
            hasChanges = true;
        }
        ++it;
    }
    std::erase_if(startOrders_, [&](const auto &item) {
        return !present.contains(item.first) && !undeliveredStarts_.contains(item.first);
    });
    for (RunStatus &status : running_)
        status.hasStartOrder = startOrders_.contains({status.task, status.run});
    enforceLease(lists.clockMs);
    updatePace();
    const bool hasWaited = now - pollStartedAt_ > PollPause;
    nextPollAt_ = hasChanges || hasWaited ? now : now + PollPause;
    if (hasChanges)
        reportNeeded.emit();
    tick();
}

void MinionTask::enforceLease(std::uint64_t clockMs)
{
    // Without a directive, the lease that an earlier process of the agent passed on is unknown.
    if (holdUntilMs_ == 0 || clockMs <= holdUntilMs_)
        return;
    for (const RunStatus &status : running_) {
        const Jobs::RunKey key{status.task, status.run};
        if (pendingStops_.contains(key))
            continue;
        logRunEvent(LogEvent::RunOutlivedLease, Step::Stop, minion_.life.name, key,
                    {{"term", term_}, {"past_ms", clockMs - holdUntilMs_}});
        sendStop(key);
    }
}

void MinionTask::updatePace()
{
    std::vector<Jobs::PacedRun> runs;
    for (const RunStatus &status : running_) {
        const Jobs::RunKey key{status.task, status.run};
        const auto order = startOrders_.find(key);
        if (order == startOrders_.end())
            continue;
        const StartOrder &startOrder = order->second;
        runs.push_back({key, startOrder.filling, startOrder.image, startOrder.milliCores,
                        startOrder.targetLatencyMs, status.latencyOrMilliCores, startOrder.weight});
    }
    for (const Jobs::PaceOrder &order : paceController_.update(loop_.clock().now(), runs)) {
        const auto &[task, run] = order.key;
        logRunEvent(LogEvent::RunPaced, Step::Run, minion_.life.name, order.key,
                    {{"percent", order.percent}});
        orderClient_->call(
            codec_.paceRequest(minion_.life.name, {task, run}, order.percent, fence()), CallTimeout,
            [this, key = order.key, instance = instanceNumber_](const HttpCallResult &result) {
                if (isCurrentInstance(instance) && (!result || result->status >= 300))
                    paceController_.orderFailed(key);
            });
    }
}

} // namespace Oleander::Fleet
