#pragma once

#include "Entry/configurationrollout.h"
#include "Entry/operatoranswer.h"
#include "Entry/operatorrequest.h"
#include "Entry/replicatask.h"
#include "Runtime/eventloop.h"
#include "Runtime/httpserver.h"
#include "State/controlstate.h"

#include <functional>
#include <list>
#include <memory>
#include <string>

namespace Oleander {

/** Operations of the entry that the operator server uses. */
struct OperatorServerDependencies
{
    /** Name of the entry. */
    std::string entry;
    /** Commits a command; see ReplicaTask::propose(). */
    std::function<void(std::string, ReplicaTask::ProposeCallback)> propose;
    /** Waits until the local state is current; see ReplicaTask::readBarrier(). */
    std::function<void(ReplicaTask::ReadCallback)> readBarrier;
    std::function<ReplicaStatus()> replicaStatus;
    std::function<ConfigurationRollout()> rollout;
    /** Budget of the process; the server has one of its own if this is null. */
    std::shared_ptr<HttpBudget> budget;
};

/**
 * \class OperatorServer
 * \brief HTTP server for operators: submits commands to the control log and shows the state.
 *
 * A change is answered after it is committed. Every read waits for the read barrier, so that its
 * answer includes all changes committed before the request.
 */
class OperatorServer
{
public:
    OperatorServer(EventLoop &loop, const State::ControlState &state, HttpLimits limits,
                   OperatorServerDependencies dependencies);
    ~OperatorServer();
    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;

    /** Listens on "ADDRESS:PORT"; returns the address in use. */
    Result<std::string> listen(const std::string &address);
    void closeListener();
    /** Number of requests that are not answered yet. */
    std::size_t inFlight() const;

    /** Answers one request; called by the HTTP server and by tests. */
    void handle(const std::shared_ptr<HttpExchange> &exchange);

private:
    using Answer =
        std::function<HttpResponse(const OperatorView &, const Records::ChangeOutcome &)>;

    /** Answer to a committed configuration change that is sent when the configuration is in force
     * everywhere, or at the deadline. */
    struct DeferredAnswer
    {
        std::shared_ptr<HttpExchange> exchange;
        Records::ChangeOutcome outcome;
        Answer answer;
        TimePoint deadline;
    };

    void run(const std::shared_ptr<HttpExchange> &exchange, const SubmitRequest &request);
    void run(const std::shared_ptr<HttpExchange> &exchange, const WithdrawRequest &request);
    template<typename Request>
    void run(const std::shared_ptr<HttpExchange> &exchange, const Request &request);
    void commit(const std::shared_ptr<HttpExchange> &exchange, const State::Command &command,
                Duration wait, Answer answer);
    void answerCommitted(DeferredAnswer waiting);
    void answerReadyChanges();
    OperatorView view() const;

    EventLoop &loop_;
    const State::ControlState &state_;
    OperatorServerDependencies dependencies_;
    HttpServer server_;
    Timer timer_;
    std::list<DeferredAnswer> deferredAnswers_;
    /** Lets callbacks detect that the server has been destroyed. */
    std::shared_ptr<OperatorServer *> alive_;
};

} // namespace Oleander
