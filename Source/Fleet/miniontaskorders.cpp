#include "Fleet/miniontask.h"
#include "Fleet/miniontaskprivate.h"
#include "Fleet/runlog.h"

#include <algorithm>
#include <utility>

namespace Oleander::Fleet {

namespace {

constexpr Duration StartRetryInterval = std::chrono::milliseconds(50);
constexpr Duration StopRetryInterval = std::chrono::milliseconds(100);
/** Minimum remaining time of the lease for sending a start, in milliseconds. */
constexpr std::uint64_t MinLeaseMs = 200;

std::int64_t elapsedMs(TimePoint from, TimePoint until)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(until - from).count();
}

const char *stopOutcome(const HttpCallResult &result, bool isDone)
{
    if (result)
        return isDone ? "done" : "refused";
    return result.error().mayHaveBeenSent ? "unanswered" : "unsent";
}

} // namespace

TimePoint MinionTask::startExpiry(const MachineDirective &directive) const
{
    // A cancelling that the leader did not know then is acknowledged after the report. Leaders of
    // earlier versions send no stamp.
    const TimePoint now = loop_.clock().now();
    const TimePoint stamp(Duration(directive.reportStamp));
    const TimePoint reportedAt = directive.reportStamp == 0 ? now : std::min(stamp, now);
    return reportedAt + startValidity_;
}

void MinionTask::handleStartOrder(const StartOrder &order, TimePoint sendUntil,
                                  std::uint64_t holdUntilMs)
{
    const Jobs::RunKey key{order.task, order.run};
    startOrders_.insert_or_assign(key, order);
    const bool isRunning = std::ranges::any_of(running_, [&](const RunStatus &status) {
        return status.task == order.task && status.run == order.run;
    });
    if (isRunning || refusals_.contains(key) || pendingStops_.contains(key))
        return;
    const auto [place, isNew] = undeliveredStarts_.try_emplace(key);
    UndeliveredStart &start = place->second;
    if (start.isWithdrawn)
        return;
    // An earlier process of the agent may have sent the start and ended before the answer.
    if (isNew && !order.isFirstOrder)
        unansweredStarts_[key] = std::max(unansweredStarts_[key], holdUntilMs);
    start.order = order;
    start.orderedAt = loop_.clock().now();
    start.sendUntil = std::max(start.sendUntil, sendUntil);
    start.validUntilMs = std::max(start.validUntilMs, holdUntilMs);
    if (isNew && minion_.draining)
        return withdrawStart(key, "the minion drains");
    sendStart(key);
}

void MinionTask::sendStart(const Jobs::RunKey &key)
{
    UndeliveredStart &start = undeliveredStarts_.at(key);
    if (start.isInFlight || loop_.clock().now() < start.retryAt)
        return;
    if (start.validUntilMs < minionClockMs_ + MinLeaseMs)
        return withdrawStart(key, "the lease ends");
    if (holdIfOutdated(key, start))
        return;
    start.isInFlight = true;
    start.sentAt = loop_.clock().now();
    ++start.attempts;
    crashAttribution_.startSent(start.sentAt, key);
    start.call = orderClient_->call(
        codec_.startRequest(minion_.life.name, start.order, fence(), start.validUntilMs),
        CallTimeout, [this, key, instance = instanceNumber_](const HttpCallResult &result) {
            onStartAnswer(key, instance, result);
        });
}

bool MinionTask::holdIfOutdated(const Jobs::RunKey &key, UndeliveredStart &start)
{
    const TimePoint now = loop_.clock().now();
    const bool isOutdated = now >= start.sendUntil;
    if (isOutdated && !start.isHeld) {
        logRunEvent(LogEvent::RunStartHeld, Step::Start, minion_.life.name, key,
                    {{"term", term_},
                     {"attempts", start.attempts},
                     {"ordered_ms", elapsedMs(start.orderedAt, now)},
                     {"outdated_ms", elapsedMs(start.sendUntil, now)}});
    }
    start.isHeld = isOutdated;
    return isOutdated;
}

void MinionTask::onStartAnswer(const Jobs::RunKey &key, std::uint64_t instance,
                               const HttpCallResult &result)
{
    const auto found = undeliveredStarts_.find(key);
    if (!isCurrentInstance(instance) || found == undeliveredStarts_.end())
        return;
    found->second.isInFlight = false;
    found->second.retryAt = loop_.clock().now() + StartRetryInterval;
    // Without an answer the minion may have executed the order; sending it again is safe because
    // starts are idempotent.
    if (!result) {
        if (result.error().mayHaveBeenSent)
            unansweredStarts_[key] = found->second.validUntilMs;
        else if (!unansweredStarts_.contains(key))
            crashAttribution_.forget(key);
        return;
    }
    switch (codec_.decodeOrderResult(*result)) {
    case OrderResult::Done:
        confirmStart(key, "answer");
        unansweredStarts_.erase(key);
        crashAttribution_.startConfirmed(loop_.clock().now(), key);
        break;
    case OrderResult::Refused:
    case OrderResult::Busy:
        logRunEvent(LogEvent::TaskOrderRefused, Step::Start, minion_.life.name, key,
                    {{"status", result->status}, {"answer", result->body}});
        withdrawStart(key, "the minion refused it");
        break;
    case OrderResult::Unclear:
        break;
    }
}

void MinionTask::confirmStart(const Jobs::RunKey &key, const char *by)
{
    const auto found = undeliveredStarts_.find(key);
    if (found == undeliveredStarts_.end())
        return;
    const UndeliveredStart &start = found->second;
    logRunEvent(LogEvent::RunStartConfirmed, Step::Start, minion_.life.name, key,
                {{"term", term_},
                 {"by", by},
                 {"attempts", start.attempts},
                 {"ordered_ms", elapsedMs(start.orderedAt, loop_.clock().now())},
                 {"withdrawn", start.isWithdrawn ? 1 : 0}});
    undeliveredStarts_.erase(found);
}

void MinionTask::withdrawStart(const Jobs::RunKey &key, const char *why)
{
    UndeliveredStart &start = undeliveredStarts_.at(key);
    if (!std::exchange(start.isWithdrawn, true)) {
        const TimePoint now = loop_.clock().now();
        logRunEvent(LogEvent::RunStartWithdrawn, Step::Start, minion_.life.name, key,
                    {{"term", term_},
                     {"why", why},
                     {"attempts", start.attempts},
                     {"sent_ms", start.attempts == 0 ? 0 : elapsedMs(start.sentAt, now)}});
    }
    stopWithdrawn(key);
}

void MinionTask::withdrawStarts(const char *why)
{
    for (const auto &[key, start] : std::map(undeliveredStarts_)) {
        if (!start.isWithdrawn)
            withdrawStart(key, why);
    }
}

void MinionTask::stopWithdrawn(const Jobs::RunKey &key)
{
    UndeliveredStart &start = undeliveredStarts_.at(key);
    if (start.isInFlight && orderClient_->cancelWaiting(start.call))
        start.isInFlight = false;
    // A minion never starts a run that it has already been told to stop.
    if (start.isInFlight || unansweredStarts_.contains(key))
        return sendStop(key);
    undeliveredStarts_.erase(key);
    crashAttribution_.forget(key);
    refusals_.try_emplace(key, Refusal{pollNumber_, false});
}

void MinionTask::sendStop(const Jobs::RunKey &key)
{
    if (!pendingStops_.insert(key).second)
        return;
    stopRetries_.erase(key);
    const StopOrder order{key.first, key.second};
    orderClient_->call(
        codec_.stopRequest(minion_.life.name, order, fence()), CallTimeout,
        [this, key, instance = instanceNumber_,
         calledAt = loop_.clock().now()](const HttpCallResult &result) {
            if (isCurrentInstance(instance))
                onStopAnswer(key, calledAt, result);
        },
        Precedence::Urgent);
}

void MinionTask::onStopAnswer(const Jobs::RunKey &key, TimePoint calledAt,
                              const HttpCallResult &result)
{
    pendingStops_.erase(key);
    const bool isDone = result && codec_.decodeOrderResult(*result) == OrderResult::Done;
    logRunEvent(LogEvent::RunStopCalled, Step::Stop, minion_.life.name, key,
                {{"term", term_},
                 {"outcome", stopOutcome(result, isDone)},
                 {"waited_ms", elapsedMs(calledAt, loop_.clock().now())}});
    if (!isDone) {
        const TimePoint retryAt = loop_.clock().now() + StopRetryInterval;
        const auto start = undeliveredStarts_.find(key);
        if (start != undeliveredStarts_.end())
            start->second.retryAt = retryAt;
        else if (!result && directedAt_ <= calledAt)
            stopRetries_[key] = retryAt;
        // A leader in touch orders the stop again as long as the reports list the run.
        return;
    }
    undeliveredStarts_.erase(key);
    unansweredStarts_.erase(key);
    // A repeated stop adds nothing; it must not defer the confirmation to yet another poll.
    refusals_.try_emplace(key, Refusal{pollNumber_, false});
}

} // namespace Oleander::Fleet
