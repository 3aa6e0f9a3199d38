#include "Routing/attempttracker.h"

#include "Routing/duplicatetable.h"

#include <fmt/format.h>

#include <algorithm>

namespace Oleander {

namespace {

/** Multiple of the latency quantile after which a hedge is sent. */
constexpr int HedgeFactor = 2;

/** True for a status code that indicates a fault of the minion rather than of the request. */
bool indicatesMinionFailure(std::uint32_t status)
{
    return status == HttpStatus::BadGateway || status == HttpStatus::ServiceUnavailable
           || status == HttpStatus::GatewayTimeout;
}

} // namespace

AttemptTracker::AttemptTracker(const Clock &clock, const RouterSettings &settings, RouterPort &port)
    : clock_(clock)
    , settings_(settings)
    , port_(port)
    , table_(settings.table)
    , selector_(settings.location, settings.seed)
    , retryBudget_(settings.retryBudget, clock.now())
    , hedgeBudget_(settings.hedgeBudget, clock.now())
{}

void AttemptTracker::countRequest()
{
    retryBudget_.deposit();
    hedgeBudget_.deposit();
}

bool AttemptTracker::hasTime(const RoutedRequest &request) const
{
    return request.deadline.remaining(clock_.now()) > settings_.answerMargin;
}

bool AttemptTracker::acquireRetry(const RoutedRequest &request)
{
    return request.tried.size() < settings_.maxAttempts && hasTime(request)
           && retryBudget_.withdraw(clock_.now());
}

bool AttemptTracker::acquireHedge(const RoutedRequest &request)
{
    return request.caller.idempotent && request.tried.size() < settings_.maxAttempts
           && hasTime(request) && hedgeBudget_.withdraw(clock_.now());
}

bool AttemptTracker::start(RoutedRequest &request)
{
    std::vector<const Minion *> excluded;
    excluded.reserve(request.tried.size());
    for (const auto &[agent, minion] : request.tried)
        excluded.push_back(table_.find(agent, minion));
    while (hasTime(request)) {
        const auto eligible = table_.eligible(request.caller.service, clock_.now());
        Minion *minion = selector_.select(eligible, excluded, clock_.now());
        if (!minion) {
            if (excluded.empty()) {
                request.recordFailure(
                    Step::Choose, settings_.entry,
                    fmt::format("None of the {} eligible minions of \"{}\" has free capacity.",
                                eligible.size(), request.caller.service));
            }
            return false;
        }
        if (send(request, *minion))
            return true;
        // Nothing was sent, so the minion is excluded for this attempt only: the agent may be
        // connected again when the request is retried.
        excluded.push_back(minion);
    }
    if (request.tried.empty())
        request.recordFailure(Step::Choose, settings_.entry,
                              "Too little time remains before the deadline for an attempt.");
    return false;
}

bool AttemptTracker::send(RoutedRequest &request, Minion &minion)
{
    const std::uint64_t sequence = nextSequence_++;
    const TimePoint now = clock_.now();
    table_.started(minion, now);
    const auto sent = port_.dispatch(minion.agent, minion.agentIncarnation,
                                     dispatchOf(request, minion, sequence));
    if (!sent) {
        request.recordFailure(Step::Send, minion.agent, sent.error().detail);
        table_.failed(minion, now);
        return false;
    }
    request.tried.emplace_back(minion.agent, minion.status.name);
    request.outstanding[sequence] = {minion.agent, minion.agentIncarnation, minion.status.name,
                                     now};
    requestIds_[sequence] = request.id;
    return true;
}

RequestDispatch AttemptTracker::dispatchOf(const RoutedRequest &request, const Minion &minion,
                                           std::uint64_t sequence) const
{
    RequestDispatch message;
    message.request = attemptName(sequence);
    message.minion = minion.status.name;
    message.method = request.caller.method;
    message.path = request.caller.path;
    message.headers = request.caller.headers;
    message.body = request.caller.body;
    message.timeRemaining = request.deadline.remaining(clock_.now()) - settings_.answerMargin;
    message.idempotent = request.caller.idempotent;
    return message;
}

RequestId AttemptTracker::requestOf(std::uint64_t sequence) const
{
    const auto found = requestIds_.find(sequence);
    return found == requestIds_.end() ? 0 : found->second;
}

Minion *AttemptTracker::minionOf(const Attempt &attempt)
{
    Minion *minion = table_.find(attempt.agent, attempt.minion);
    return minion && minion->agentIncarnation == attempt.incarnation ? minion : nullptr;
}

void AttemptTracker::recordLoad(const Attempt &attempt, const RequestAnswer &answer)
{
    if (Minion *minion = minionOf(attempt))
        table_.updateLoad(*minion, answer.running, answer.queued);
}

void AttemptTracker::succeeded(RoutedRequest &request, std::uint64_t sequence,
                               const RequestAnswer &answer)
{
    const Attempt attempt = request.outstanding.at(sequence);
    const Duration latency = clock_.now() - attempt.startedAt;
    auto delay = hedgeDelays_.try_emplace(request.caller.service, settings_.hedgeQuantile).first;
    delay->second.observe(latency);
    if (Minion *minion = minionOf(attempt)) {
        if (indicatesMinionFailure(answer.status))
            table_.failed(*minion, clock_.now());
        else
            table_.succeeded(*minion, latency, clock_.now());
    }
    recordLoad(attempt, answer);
    requestIds_.erase(sequence);
    request.outstanding.erase(sequence);
}

void AttemptTracker::ended(RoutedRequest &request, std::uint64_t sequence, bool minionFailed)
{
    const auto found = request.outstanding.find(sequence);
    if (found == request.outstanding.end())
        return;
    if (Minion *minion = minionOf(found->second)) {
        if (minionFailed)
            table_.failed(*minion, clock_.now());
        else
            table_.abandoned(*minion);
    }
    requestIds_.erase(sequence);
    request.outstanding.erase(found);
}

void AttemptTracker::cancelAll(RoutedRequest &request, std::uint64_t failedBefore)
{
    while (!request.outstanding.empty()) {
        const auto [sequence, attempt] = *request.outstanding.begin();
        port_.cancel(attempt.agent, attempt.incarnation, {attemptName(sequence)});
        ended(request, sequence, sequence < failedBefore);
    }
}

bool AttemptTracker::isSuspect(const Attempt &attempt)
{
    const auto silence = table_.timeSinceHeartbeat(attempt.agent, clock_.now());
    if (!silence || *silence >= settings_.table.agentTimeout)
        return true;
    const Minion *minion = minionOf(attempt);
    return !minion || minion->status.state == MinionState::Lapsed;
}

std::optional<TimePoint> AttemptTracker::hedgeTime(const RoutedRequest &request) const
{
    const auto delay = hedgeDelays_.find(request.caller.service);
    if (!request.caller.idempotent || delay == hedgeDelays_.end())
        return std::nullopt;
    return clock_.now() + std::max(HedgeFactor * delay->second.value(), settings_.minHedgeDelay);
}

std::string AttemptTracker::attemptName(std::uint64_t sequence) const
{
    return AttemptId{settings_.entry, settings_.incarnation, sequence}.text();
}

} // namespace Oleander
