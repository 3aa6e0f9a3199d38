#pragma once

#include "Routing/router.h"
#include "Runtime/eventloop.h"
#include "Runtime/messenger.h"
#include "Runtime/statedump.h"

#include <functional>
#include <map>
#include <string>

namespace Oleander {

/**
 * \class RouterTask
 * \brief Runs the router of an entry: its timers, its messages to and from agents, and its claims.
 */
class RouterTask final : private RouterPort
{
public:
    using ClaimsCallback = std::function<void(Result<ClaimBatchOutcome>)>;
    /** Proposes a batch to the control log and calls back with its outcome. */
    using ProposeClaims = std::function<void(ClaimBatch, ClaimsCallback)>;

    /** If \a propose is empty, every request that needs a claim fails as not run. */
    RouterTask(EventLoop &loop, Messenger &messenger, RouterSettings settings,
               ProposeClaims propose);
    ~RouterTask() override;
    RouterTask(const RouterTask &) = delete;
    RouterTask &operator=(const RouterTask &) = delete;

    RequestId submit(CallerRequest request, Router::Callback callback);
    void callerDisconnected(RequestId id);
    const Router &router() const { return router_; }

private:
    Result<void> dispatch(const std::string &agent, std::uint64_t incarnation,
                          RequestDispatch message) override;
    void cancel(const std::string &agent, std::uint64_t incarnation,
                RequestCancel message) override;
    void handleHeartbeat(const Sender &from, Heartbeat &&heartbeat);
    /** Schedules pending claim proposals and the timer; called after every call into the router. */
    void scheduleFollowUp();
    void proposePendingClaims();
    std::vector<DumpRow> minionRows() const;
    std::vector<DumpRow> counterRows() const;

    EventLoop &loop_;
    Messenger &messenger_;
    Router router_;
    ProposeClaims propose_;
    Timer timer_;
    TimePoint timerDeadline_{};
    std::map<std::string, std::string> inboxes_;
    bool isProposalScheduled_ = false;
    DumpSection minionsDump_{"minions", [this] { return minionRows(); }};
    DumpSection countersDump_{"requests", [this] { return counterRows(); }};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Oleander
