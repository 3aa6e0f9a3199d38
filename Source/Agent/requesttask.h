#pragma once

#include "Routing/requestadmission.h"
#include "Runtime/eventloop.h"
#include "Runtime/httpclient.h"
#include "Runtime/messenger.h"
#include "Runtime/statedump.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Oleander {

/**
 * \class RequestTask
 * \brief Runs the request admission of an agent: its messages from and to entries, and its calls to
 * minions.
 */
class RequestTask final : private AdmissionPort
{
public:
    RequestTask(EventLoop &loop, Messenger &messenger, RequestAdmissionSettings settings);
    ~RequestTask() override;
    RequestTask(const RequestTask &) = delete;
    RequestTask &operator=(const RequestTask &) = delete;

    Result<void> announce(const MinionAnnouncement &announcement);
    Result<void> withdraw(const std::string &name) { return admission_.withdraw(name); }
    /** Withdraws every minion, because the agent is about to stop. */
    void startDraining() { admission_.withdrawAll(); }
    std::vector<MinionStatus> minions() const { return admission_.minions(); }
    /** Number of requests that minions are processing. */
    std::size_t running() const { return admission_.running(); }
    const AdmissionCounters &counters() const { return admission_.counters(); }

    /** Emitted when a minion was announced, withdrawn or lapsed; entries need this immediately. */
    sigc::signal<void()> minionsChanged;

private:
    struct Call
    {
        std::string address;
        HttpClient::CallId id = 0;
    };

    void run(const std::string &address, RequestDispatch message, Duration timeout) override;
    void abort(const std::string &address, const std::string &request) override;
    void answer(const std::string &entry, RequestAnswer answer) override;
    void handleCallResult(const std::string &request, HttpCallResult result);
    HttpClient &clientFor(const std::string &address);
    void logMinionChanges();
    std::vector<DumpRow> minionRows() const;

    EventLoop &loop_;
    Messenger &messenger_;
    RequestAdmission admission_;
    Timer timer_;
    std::map<std::string, std::unique_ptr<HttpClient>> clients_;
    std::unordered_map<std::string, Call> calls_;
    /** Last logged state of each minion. */
    std::map<std::string, MinionState> loggedStates_;
    DumpSection dump_{"minions", [this] { return minionRows(); }};
};

} // namespace Oleander
