#include "Routing/router.h"

#include "Routing/duplicatetable.h"
#include "Routing/requestclaim.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace Oleander {

Router::Router(const Clock &clock, RouterSettings settings, RouterPort &port)
    : clock_(clock)
    , settings_(std::move(settings))
    , attempts_(clock, settings_, port)
    , claims_(clock, settings_.claims)
    , nextSuspectCheck_(clock.now() + settings_.suspectCheckPeriod)
{}

RequestId Router::submit(CallerRequest caller, Callback callback)
{
    ++counters_.submitted;
    const RequestId id = nextRequest_++;
    if (auto refused = refusal(caller)) {
        count(*refused);
        callback(std::move(*refused));
        return id;
    }
    const Deadline deadline(clock_.now(), caller.timeout);
    auto owned = std::make_unique<RoutedRequest>(RoutedRequest{
        .id = id,
        .caller = std::move(caller),
        .callback = std::move(callback),
        .deadline = deadline,
    });
    RoutedRequest &request = *requests_.emplace(id, std::move(owned)).first->second;
    schedule(request);
    if (request.caller.idempotent || request.caller.idempotencyKey.empty()) {
        start(request);
        return id;
    }
    request.token = AttemptId{settings_.entry, settings_.incarnation, id}.text();
    claimKey(request);
    return id;
}

std::optional<RequestProblem> Router::refusal(const CallerRequest &caller) const
{
    if (settings_.gate) {
        if (const auto open = settings_.gate(); !open) {
            return notRunProblem(HttpStatus::ServiceUnavailable, open.error().step, settings_.entry,
                                 open.error().detail);
        }
    }
    if (requests_.size() >= settings_.maxInFlight) {
        return notRunProblem(
            HttpStatus::ServiceUnavailable, Step::Accept, settings_.entry,
            fmt::format("The entry has reached its limit of {} requests in flight.",
                        requests_.size()));
    }
    const bool recorded = settings_.hasServiceRecord && settings_.hasServiceRecord(caller.service);
    if (recorded || table().knowsService(caller.service))
        return std::nullopt;
    auto unknown = notRunProblem(
        HttpStatus::NotFound, Step::Accept, settings_.entry,
        fmt::format("The service \"{}\" in the path is unknown: it has no record and no "
                    "minion.",
                    caller.service));
    unknown.retryAfter.reset();
    return unknown;
}

void Router::start(RoutedRequest &request)
{
    attempts_.countRequest();
    if (!attempts_.start(request)) {
        endWithProblem(request, HttpStatus::BadGateway);
        return;
    }
    request.hedgeAt = attempts_.hedgeTime(request);
    schedule(request);
}

void Router::callerDisconnected(RequestId id)
{
    const auto found = requests_.find(id);
    if (found == requests_.end())
        return;
    ++counters_.callersDisconnected;
    RoutedRequest &request = *found->second;
    request.callback = nullptr;
    // A request with a claim continues: the caller may fetch its response with the same key.
    if (!request.token.empty())
        return;
    attempts_.cancelAll(request, 0);
    wakeups_.erase({request.wakeup, id});
    requests_.erase(found);
}

void Router::claimKey(RoutedRequest &request)
{
    request.claimRetryAt.reset();
    claims_.claim(request.claimKey(), fingerprint(request.caller), request.token,
                  [this, id = request.id](Result<ClaimOutcome> result) {
                      handleClaimResult(id, std::move(result));
                  });
}

void Router::handleClaimResult(RequestId id, Result<ClaimOutcome> result)
{
    const auto found = requests_.find(id);
    if (found == requests_.end())
        return;
    RoutedRequest &request = *found->second;
    if (result) {
        applyClaimOutcome(request, *result);
        return;
    }
    // Retrying is safe: nothing was dispatched, and if the claim was committed despite the error,
    // it has the same token and the retry is granted.
    request.recordFailure(Step::Claim, result.error().peer, result.error().detail);
    scheduleClaimRetry(request);
}

void Router::scheduleClaimRetry(RoutedRequest &request)
{
    request.claimRetryAt = clock_.now() + settings_.claimRetryDelay;
    schedule(request);
}

void Router::applyClaimOutcome(RoutedRequest &request, const ClaimOutcome &outcome)
{
    switch (outcome.verdict) {
    case ClaimVerdict::Granted:
        request.claimGranted = true;
        start(request);
        return;
    case ClaimVerdict::Held:
        request.claimHolder = outcome.holder;
        scheduleClaimRetry(request);
        return;
    case ClaimVerdict::Finished:
        request.claimHolder = outcome.holder;
        end(request, recordedResponse(outcome));
        return;
    case ClaimVerdict::Mismatch:
        request.claimHolder = outcome.holder;
        end(request, RequestProblem{HttpStatus::UnprocessableContent, Outcome::NotRun, Step::Claim,
                                    outcome.holder,
                                    "The Idempotency-Key was already used for a request "
                                    "with another method, path or body.",
                                    std::nullopt});
        return;
    case ClaimVerdict::Full:
    case ClaimVerdict::Recorded:
        end(request, notRunProblem(HttpStatus::ServiceUnavailable, Step::Claim, settings_.entry,
                                   "The table of Idempotency-Keys is full."));
        return;
    }
}

bool Router::heartbeat(const std::string &agent, std::uint64_t incarnation,
                       const Heartbeat &heartbeat)
{
    const bool restarted = incarnation > attempts_.table().incarnation(agent);
    if (!attempts_.table().update(agent, incarnation, heartbeat, clock_.now()))
        return false;
    if (restarted)
        failLostAttempts(agent, incarnation);
    return true;
}

void Router::failLostAttempts(const std::string &agent, std::uint64_t incarnation)
{
    std::vector<std::pair<RequestId, std::uint64_t>> lost;
    for (const auto &[id, request] : requests_) {
        for (const auto &[sequence, attempt] : request->outstanding) {
            if (attempt.agent == agent && attempt.incarnation < incarnation)
                lost.emplace_back(id, sequence);
        }
    }
    RequestAnswer answer;
    answer.outcome = Outcome::Unknown;
    answer.step = Step::Run;
    answer.peer = agent;
    answer.detail = "The agent restarted before it reported the outcome of the request.";
    for (const auto &[id, sequence] : lost) {
        const auto found = requests_.find(id);
        if (found != requests_.end())
            attemptFailed(*found->second, sequence, answer);
    }
}

void Router::answered(const std::string &agent, std::uint64_t incarnation, RequestAnswer answer)
{
    const auto name = AttemptId::parse(answer.request);
    const bool own =
        name && name->entry == settings_.entry && name->incarnation == settings_.incarnation;
    const RequestId id = own ? attempts_.requestOf(name->sequence) : 0;
    if (id == 0) {
        ++counters_.lateAnswers;
        return;
    }
    RoutedRequest &request = *requests_.at(id);
    const Attempt attempt = request.outstanding.at(name->sequence);
    if (attempt.agent != agent || attempt.incarnation != incarnation) {
        ++counters_.lateAnswers;
        return;
    }
    if (answer.status == 0) {
        attempts_.recordLoad(attempt, answer);
        attemptFailed(request, name->sequence, answer);
        return;
    }
    attempts_.succeeded(request, name->sequence, answer);
    request.winningAttempt = name->sequence;
    end(request, MinionResponse{answer.status, std::move(answer.headers), std::move(answer.body)});
}

void Router::attemptFailed(RoutedRequest &request, std::uint64_t sequence,
                           const RequestAnswer &answer)
{
    // A refusal by admission control indicates load rather than an unhealthy minion.
    const bool refused = answer.outcome == Outcome::NotRun && answer.step == Step::Admit;
    attempts_.ended(request, sequence, !refused);
    request.mayHaveRun = request.mayHaveRun || answer.outcome != Outcome::NotRun;
    request.recordFailure(answer.step, answer.peer, answer.detail);
    if (answer.outcome == Outcome::Ran && !request.caller.idempotent) {
        end(request, RequestProblem{HttpStatus::BadGateway, Outcome::Ran, answer.step, answer.peer,
                                    answer.detail, std::nullopt});
        return;
    }
    retryOrEnd(request);
}

void Router::retryOrEnd(RoutedRequest &request)
{
    if (!request.outstanding.empty())
        return;
    const bool mayRunAgain = request.caller.idempotent || !request.mayHaveRun;
    if (mayRunAgain && attempts_.acquireRetry(request) && attempts_.start(request)) {
        ++counters_.retries;
        return;
    }
    endWithProblem(request, HttpStatus::BadGateway);
}

void Router::hedge(RoutedRequest &request)
{
    request.hedgeAt.reset();
    schedule(request);
    if (request.outstanding.size() == 1 && attempts_.acquireHedge(request)
        && attempts_.start(request))
        ++counters_.hedges;
}

void Router::retrySuspectRequests()
{
    for (const auto &[id, request] : requests_) {
        auto &outstanding = request->outstanding;
        const bool allSuspect =
            !outstanding.empty()
            && std::all_of(outstanding.begin(), outstanding.end(), [this](const auto &attempt) {
                   return attempts_.isSuspect(attempt.second);
               });
        // The suspect attempt stays outstanding, because its response may still arrive first.
        if (allSuspect && request->caller.idempotent && attempts_.acquireRetry(*request)
            && attempts_.start(*request))
            ++counters_.retries;
    }
}

void Router::tick()
{
    const TimePoint now = clock_.now();
    while (!wakeups_.empty() && wakeups_.begin()->first <= now) {
        RoutedRequest &request = *requests_.at(wakeups_.begin()->second);
        if (request.deadline.isExpired(now)) {
            expire(request);
        } else if (request.claimRetryAt && *request.claimRetryAt <= now) {
            claimKey(request);
            schedule(request);
        } else {
            hedge(request);
        }
    }
    if (now >= nextSuspectCheck_) {
        nextSuspectCheck_ = now + settings_.suspectCheckPeriod;
        retrySuspectRequests();
        attempts_.table().expire(now);
    }
}

void Router::expire(RoutedRequest &request)
{
    if (request.isAwaitingClaim()) {
        expireUnclaimed(request);
        return;
    }
    if (!request.outstanding.empty()) {
        const Attempt &last = request.outstanding.rbegin()->second;
        request.mayHaveRun = true;
        request.recordFailure(
            Step::Answer, last.agent,
            fmt::format("The minion \"{}\" did not answer before the deadline.", last.minion));
        attempts_.cancelAll(request, std::numeric_limits<std::uint64_t>::max());
    }
    endWithProblem(request, HttpStatus::GatewayTimeout);
}

void Router::expireUnclaimed(RoutedRequest &request)
{
    if (request.claimHolder.empty()) {
        end(request, notRunProblem(HttpStatus::ServiceUnavailable, Step::Claim, request.lastPeer,
                                   "The Idempotency-Key could not be claimed before the deadline. "
                                       + request.lastDetail));
        return;
    }
    end(request,
        RequestProblem{HttpStatus::Conflict, Outcome::Unknown, Step::Claim, request.claimHolder,
                       "An earlier request with this Idempotency-Key has not reported its outcome "
                       "before the deadline.",
                       std::nullopt});
}

void Router::endWithProblem(RoutedRequest &request, unsigned unknownStatus)
{
    if (!request.mayHaveRun) {
        end(request, notRunProblem(HttpStatus::ServiceUnavailable, request.lastStep,
                                   request.lastPeer, request.lastDetail));
        return;
    }
    end(request, RequestProblem{unknownStatus, Outcome::Unknown, request.lastStep, request.lastPeer,
                                request.lastDetail, std::nullopt});
}

void Router::end(RoutedRequest &request, CallerResponse answer)
{
    count(answer);
    recordOutcome(request, answer);
    attempts_.cancelAll(request, request.winningAttempt);
    wakeups_.erase({request.wakeup, request.id});
    const Callback callback = std::move(request.callback);
    requests_.erase(request.id);
    if (callback)
        callback(std::move(answer));
}

void Router::recordOutcome(const RoutedRequest &request, const CallerResponse &answer)
{
    // A claim with an unknown result may still be committed. It is released as well, unless
    // another holder is known.
    const bool mayHoldClaim = request.claimGranted || request.claimHolder.empty();
    if (!request.token.empty() && mayHoldClaim)
        claims_.finish(request.claimKey(), request.token, responseToRecord(answer));
}

void Router::count(const CallerResponse &answer)
{
    ++counters_.answered;
    const auto *problem = std::get_if<RequestProblem>(&answer);
    switch (problem ? problem->outcome : Outcome::Ran) {
    case Outcome::NotRun:
        ++counters_.notRun;
        return;
    case Outcome::Unknown:
        ++counters_.unknown;
        return;
    case Outcome::Ran:
        ++counters_.ran;
        return;
    }
}

void Router::schedule(RoutedRequest &request)
{
    wakeups_.erase({request.wakeup, request.id});
    request.wakeup = request.deadline.end();
    if (request.claimRetryAt)
        request.wakeup = std::min(request.wakeup, *request.claimRetryAt);
    if (request.hedgeAt)
        request.wakeup = std::min(request.wakeup, *request.hedgeAt);
    wakeups_.emplace(request.wakeup, request.id);
}

TimePoint Router::nextWakeup() const
{
    TimePoint next = nextSuspectCheck_;
    if (!wakeups_.empty())
        next = std::min(next, wakeups_.begin()->first);
    if (const auto ready = claims_.nextReady())
        next = std::min(next, *ready);
    return next;
}

RequestProblem Router::notRunProblem(unsigned status, Step step, std::string peer,
                                     std::string detail) const
{
    return {status,          Outcome::NotRun,   step,
            std::move(peer), std::move(detail), settings_.retryAfter};
}

} // namespace Oleander
