#include "Entry/routertask.h"

namespace Oleander {

RouterTask::RouterTask(EventLoop &loop, Messenger &messenger, RouterSettings settings,
                       ProposeClaims propose)
    : loop_(loop)
    , messenger_(messenger)
    , router_(loop.clock(), std::move(settings), *this)
    , propose_(std::move(propose))
    , timer_(loop, [this] {
        timerDeadline_ = {};
        router_.tick();
        scheduleFollowUp();
    })
{
    messenger_.on<Heartbeat>([this](const Sender &from, Heartbeat &&message) {
        handleHeartbeat(from, std::move(message));
    });
    messenger_.on<RequestAnswer>([this](const Sender &from, RequestAnswer &&answer) {
        router_.answered(from.name, from.incarnation, std::move(answer));
        scheduleFollowUp();
    });
    scheduleFollowUp();
}

RouterTask::~RouterTask() = default;

std::vector<DumpRow> RouterTask::minionRows() const
{
    const TimePoint now = loop_.clock().now();
    std::vector<DumpRow> rows;
    for (const Minion *minion : router_.table().all()) {
        const bool healthy = minion->health.state(now) == OutlierEjection::State::Healthy;
        rows.push_back({minion->agent + '/' + minion->status.name,
                        {{"service", minion->status.service},
                         {"state", minionStateName(minion->status.state)},
                         {"ejected", !healthy},
                         {"slots", minion->status.slots},
                         {"load", minion->load()},
                         {"in_flight", minion->inFlight},
                         {"latency_us", minion->latency.value(now).count()}}});
    }
    return rows;
}

std::vector<DumpRow> RouterTask::counterRows() const
{
    const RouterCounters &counters = router_.counters();
    return {{"router",
             {{"in_flight", router_.inFlight()},
              {"submitted", counters.submitted},
              {"answered", counters.answered},
              {"not_run", counters.notRun},
              {"unknown", counters.unknown},
              {"ran", counters.ran},
              {"retries", counters.retries},
              {"hedges", counters.hedges},
              {"late_answers", counters.lateAnswers},
              {"callers_left", counters.callersDisconnected}}}};
}

RequestId RouterTask::submit(CallerRequest request, Router::Callback callback)
{
    const RequestId id = router_.submit(std::move(request), std::move(callback));
    scheduleFollowUp();
    return id;
}

void RouterTask::callerDisconnected(RequestId id)
{
    router_.callerDisconnected(id);
    scheduleFollowUp();
}

Result<void> RouterTask::dispatch(const std::string &agent, std::uint64_t incarnation,
                                  RequestDispatch message)
{
    return messenger_.send(agent, std::move(message), incarnation);
}

void RouterTask::cancel(const std::string &agent, std::uint64_t incarnation, RequestCancel message)
{
    // An attempt whose cancel message is lost ends at its deadline.
    (void)messenger_.send(agent, std::move(message), incarnation);
}

void RouterTask::handleHeartbeat(const Sender &from, Heartbeat &&heartbeat)
{
    if (!router_.heartbeat(from.name, from.incarnation, heartbeat))
        return;
    auto &inbox = inboxes_[from.name];
    if (!heartbeat.inbox.empty() && inbox != heartbeat.inbox) {
        inbox = heartbeat.inbox;
        messenger_.addPeer(from.name, inbox);
    }
    scheduleFollowUp();
}

void RouterTask::scheduleFollowUp()
{
    if (router_.claims().isReady() && !isProposalScheduled_) {
        isProposalScheduled_ = true;
        // Claims that arrive in this iteration of the event loop share one batch.
        loop_.post([this, token = std::weak_ptr<bool>(alive_)] {
            if (!token.expired())
                proposePendingClaims();
        });
    }
    const TimePoint next = router_.nextWakeup();
    if (timerDeadline_ != TimePoint{} && timerDeadline_ <= next)
        return;
    timerDeadline_ = next;
    timer_.startOnce(next - loop_.clock().now());
}

void RouterTask::proposePendingClaims()
{
    isProposalScheduled_ = false;
    while (auto proposal = router_.claims().takeProposal()) {
        const auto done = [this, id = proposal->id, token = std::weak_ptr<bool>(alive_)](
                              const Result<ClaimBatchOutcome> &result) {
            if (token.expired())
                return;
            router_.claims().proposalDone(id, result);
            scheduleFollowUp();
        };
        if (propose_) {
            propose_(std::move(proposal->batch), done);
            continue;
        }
        done(fail(Failure::Unavailable, Step::Claim, messenger_.name(),
                  "This entry cannot propose to the control log."));
        return;
    }
}

} // namespace Oleander
