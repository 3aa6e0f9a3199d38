#pragma once

#include "Agent/minionserver.h"
#include "Agent/requesttask.h"
#include "Entry/callerserver.h"
#include "Entry/routertask.h"
#include "Routing/claimtable.h"
#include "Support/childprocess.h"
#include "Support/httpcall.h"
#include "Support/waitfor.h"

#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Oleander::Testing {

/**
 * \class RequestPath
 * \brief Runs one entry and several agents on an event loop in a separate thread; each agent has a
 * stand-in minion that runs as a process.
 */
class RequestPath
{
public:
    struct Options
    {
        std::size_t agents = 2;
        RouterSettings router;
        CallerServerSettings callerServer;
        std::vector<std::string> minionFlags;
    };

    RequestPath() : RequestPath(Options{}) {}
    explicit RequestPath(Options options);
    ~RequestPath();
    RequestPath(const RequestPath &) = delete;
    RequestPath &operator=(const RequestPath &) = delete;

    /** Runs \a work on the thread of the loop and returns its result. */
    template<typename Work>
    auto onLoop(Work work) -> decltype(work())
    {
        std::packaged_task<decltype(work())()> task(std::move(work));
        auto done = task.get_future();
        loop_.post([&task] { task(); });
        return done.get();
    }

    const std::string &address() const { return address_; }
    std::optional<HttpReply> call(const std::string &method, const std::string &path,
                                  std::vector<CallHeader> headers = {}, std::string body = {});
    /** Starts a call asynchronously. */
    std::future<std::optional<HttpReply>> start(const std::string &method, const std::string &path,
                                                std::vector<CallHeader> headers = {});
    ChildProcess &minion(std::size_t agent) { return *agents_.at(agent)->minion; }
    void startMinion(std::size_t agent);
    /** Sends a call of a minion to an agent. */
    std::optional<HttpReply> callAgent(std::size_t agent, const std::string &method,
                                       const std::string &path, std::string body = {});
    /** How often the minions executed the request with this Standin-Request header; a minion that
     * does not answer fails the test. */
    int runCount(const std::string &request);
    /** Number of requests that the agents count as running at their minions. */
    std::size_t runningRequests();
    /** Number of serving minions whose agent is connected to the entry. */
    std::size_t eligibleMinions();
    CallerServer &callerServer() { return *callerServer_; }
    RouterTask &router() { return *router_; }
    MinionStatus status(std::size_t agent);

private:
    struct Agent
    {
        std::unique_ptr<Messenger> messenger;
        std::unique_ptr<RequestTask> requests;
        std::unique_ptr<MinionServer> minionServer;
        std::string inbox;
        std::string minionServerAddress;
        std::unique_ptr<ChildProcess> minion;
        std::string minionAddress;
        std::uint64_t stamp = 0;
    };

    void addAgent(std::size_t index, const std::string &entryInbox);
    void sendHeartbeat(Agent &agent);

    Options options_;
    /** Host of this fixture, with port 0. Concurrent test programs must not share ports, because a
     * process may still call an address that the system has assigned to another program. */
    std::string listenAddress_;
    EventLoop loop_;
    ClaimTable claims_;
    std::unique_ptr<Messenger> messenger_;
    std::unique_ptr<RouterTask> router_;
    std::unique_ptr<CallerServer> callerServer_;
    std::string address_;
    std::vector<std::unique_ptr<Agent>> agents_;
    Timer heartbeats_;
    std::thread thread_;
};

} // namespace Oleander::Testing
