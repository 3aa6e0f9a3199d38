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

/** What the operators' door needs of the rest of its entry. */
struct OperatorServerDependencies
{
    /** Name of the entry. */
    std::string entry;
    /** Commits a command; as ReplicaTask::propose(). */
    std::function<void(std::string, ReplicaTask::ProposeCallback)> propose;
    /** Waits until the local state is current; as ReplicaTask::readBarrier(). */
    std::function<void(ReplicaTask::ReadCallback)> readBarrier;
    std::function<ReplicaStatus()> replicaStatus;
    std::function<ConfigurationRollout()> rollout;
};

/**
 * \class OperatorServer
 * \brief The operators' HTTP door: takes commands to the control log and shows its state.
 *
 * A change is answered once it is committed; every read waits for the read barrier, so that no
 * answer is older than the question.
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
    /** Requests that wait for their answer. */
    std::size_t inFlight() const;

    /** Answers one request; the server calls it, and tests do. */
    void handle(const std::shared_ptr<HttpExchange> &exchange);

private:
    using Answer =
        std::function<HttpResponse(const OperatorView &, const Records::ChangeOutcome &)>;

    /** A committed change of the configuration whose answer waits for it to be in force. */
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
    /** Callbacks that come after the door is gone find this empty. */
    std::shared_ptr<OperatorServer *> alive_;
};

} // namespace Oleander
