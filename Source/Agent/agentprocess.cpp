#include "Agent/agentprocess.h"

#include "Agent/agentdump.h"
#include "Agent/heartbeattask.h"
#include "Agent/minionserver.h"
#include "Agent/requesttask.h"
#include "Agent/workertask.h"
#include "Configuration/configurationfollower.h"
#include "Configuration/configurationgate.h"
#include "Runtime/diagnosticsserver.h"
#include "Runtime/httpbudget.h"
#include "Runtime/incarnation.h"
#include "Runtime/log.h"
#include "Runtime/messenger.h"
#include "Runtime/processdiagnostics.h"
#include "Settings/processrun.h"

#include <csignal>

namespace Oleander {

namespace {

// Within this time the entries learn that the minions are draining and stop sending requests.
constexpr Duration DrainDelay = std::chrono::seconds(2);
constexpr Duration DrainPollInterval = std::chrono::milliseconds(50);

/** Configuration pulls per configuration lease. */
constexpr int PullsPerLease = 6;

RequestAdmissionSettings admissionSettings(const AgentSettings &settings,
                                           std::function<Result<void>()> gate)
{
    RequestAdmissionSettings admission;
    admission.gate = std::move(gate);
    admission.agent = settings.name;
    admission.maxTrackedAttempts = settings.admission.rememberedRequests;
    return admission;
}

WorkerTaskOptions workerOptions(const AgentSettings &settings, std::function<Result<void>()> gate)
{
    WorkerTaskOptions options;
    options.gate = std::move(gate);
    options.address = settings.worker.address;
    options.callTimeout = settings.worker.callTimeout;
    options.usageInterval = settings.worker.usageInterval;
    return options;
}

ConfigurationFollowerOptions followerOptions(const AgentSettings &settings)
{
    ConfigurationFollowerOptions options;
    options.interval = settings.configurationLease / PullsPerLease;
    for (const auto &entry : settings.entries)
        options.entries.push_back(entry.name);
    return options;
}

HeartbeatTaskOptions heartbeatOptions(const AgentSettings &settings)
{
    HeartbeatTaskOptions options;
    options.location = settings.location;
    options.capacity = settings.worker.capacity;
    options.inbox = settings.linkAdvertised;
    options.interval = settings.heartbeatInterval;
    for (const auto &entry : settings.entries)
        options.entries.push_back(entry.name);
    return options;
}

/** Answers diagnostics requests, and 404 for all others. */
void answerOperatorRequest(const std::shared_ptr<HttpExchange> &exchange)
{
    if (!answerDiagnosticsRequest(*exchange))
        exchange->respond({404, {}, "This server supports only GET /v1/dump and GET /metrics.\n"});
}

/**
 * \class AgentProcess
 * \brief Owns the tasks of an agent process and controls their startup and shutdown.
 */
class AgentProcess
{
public:
    explicit AgentProcess(const AgentSettings &settings)
        : settings_(settings)
        , messenger_(loop_, settings.name, newIncarnation(loop_.clock()))
        , configuration_(settings.configurationLease, loop_.clock().now())
        , follower_(loop_, messenger_, configuration_, followerOptions(settings))
        , requests_(loop_, messenger_, admissionSettings(settings, gate()))
        , worker_(loop_, messenger_, workerOptions(settings, gate()))
        , heartbeats_(loop_, messenger_, requests_, worker_, heartbeatOptions(settings))
        , budget_(std::make_shared<HttpBudget>(settings.http))
        , minionServer_(loop_, requests_,
                        {settings.minionLimits, settings.admission.maxMinionLifetime}, budget_)
        , operatorServer_(loop_, settings.operatorLimits, answerOperatorRequest,
                          {budget_, acceptsNoBody})
        , dump_(requests_, worker_)
        , diagnostics_(loop_)
        , drainTimer_(loop_, [this] { stopWhenIdle(); })
    {}

    ExitCode run()
    {
        return runProcess(loop_, messenger_, [this] { return start(); });
    }

private:
    std::function<Result<void>()> gate()
    {
        return [this] { return configuration_.checkAdmission(loop_.clock().now()); };
    }

    Result<void> start()
    {
        for (const int signal : {SIGTERM, SIGINT})
            loop_.onSignal(signal, [this] { drain(); });
        if (auto listening = messenger_.listen(settings_.link); !listening)
            return tl::make_unexpected(listening.error());
        for (const auto &entry : settings_.entries)
            messenger_.addPeer(entry.name, entry.address);
        if (auto listening = minionServer_.listen(settings_.minionDoor); !listening)
            return tl::make_unexpected(listening.error());
        if (!settings_.operatorDoor.empty()) {
            if (auto listening = operatorServer_.listen(settings_.operatorDoor); !listening)
                return tl::make_unexpected(listening.error());
        }
        heartbeats_.start();
        follower_.start();
        return {};
    }

    void drain()
    {
        if (isDraining_)
            return;
        isDraining_ = true;
        logEvent(LogEvent::ProcessStopping, Step::Leave, settings_.name,
                 {{"running", requests_.running()}});
        requests_.startDraining();
        drainStartedAt_ = loop_.clock().now();
        drainTimer_.startEvery(DrainPollInterval);
    }

    void stopWhenIdle()
    {
        if (loop_.clock().now() - drainStartedAt_ >= DrainDelay && requests_.running() == 0)
            loop_.stop();
    }

    AgentSettings settings_;
    EventLoop loop_;
    Messenger messenger_;
    ConfigurationGate configuration_;
    ConfigurationFollower follower_;
    RequestTask requests_;
    WorkerTask worker_;
    HeartbeatTask heartbeats_;
    std::shared_ptr<HttpBudget> budget_;
    MinionServer minionServer_;
    HttpServer operatorServer_;
    AgentDump dump_;
    ProcessDiagnostics diagnostics_;
    Timer drainTimer_;
    TimePoint drainStartedAt_{};
    bool isDraining_ = false;
};

} // namespace

int runAgent(const AgentSettings &settings)
{
    AgentProcess process(settings);
    return static_cast<int>(process.run());
}

} // namespace Oleander
