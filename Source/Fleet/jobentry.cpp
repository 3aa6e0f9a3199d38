#include "Fleet/jobentry.h"

#include "Fleet/leaderclient.h"
#include "Fleet/settingswatcher.h"
#include "Runtime/diagnosticsserver.h"
#include "Runtime/httpbudget.h"
#include "Runtime/incarnation.h"
#include "Runtime/log.h"
#include "Runtime/metrics.h"
#include "Runtime/processdiagnostics.h"
#include "Settings/processrun.h"
#include "Settings/settingsfile.h"

#include <csignal>
#include <iostream>

namespace Oleander::Fleet {

namespace {

constexpr Duration DrainPollInterval = std::chrono::milliseconds(20);
/** Maximum wait for calls in flight after the drain delay. Delay and wait together are shorter than
 * the time after which the platform kills the process. */
constexpr Duration DrainTimeout = std::chrono::seconds(2);
constexpr unsigned Ready = 200;
constexpr unsigned NotReady = 503;

/**
 * \class JobEntry
 * \brief Servers of one entry for callers and health checks; every call is forwarded to the leader.
 */
class JobEntry
{
public:
    JobEntry(const JobEntrySettings &settings, const std::string &path, const FleetCodec &codec)
        : settings_(settings)
        , path_(path)
        , codec_(codec)
        , messenger_(loop_, settings.name, newIncarnation(loop_.clock()))
        , leaderClient_(loop_, messenger_, settings.group.seeds)
        , budget_(std::make_shared<HttpBudget>(settings.http))
        , callerServer_(
              loop_, settings.limits,
              [this](const std::shared_ptr<HttpExchange> &exchange) { handleClientCall(exchange); },
              {budget_, [this](auto method,
                               auto target) { return codec_.acceptsClientBody(method, target); }})
        , healthServer_(loop_, settings.limits,
                        [this](const std::shared_ptr<HttpExchange> &exchange) {
                            handleHealthCheck(exchange);
                        },
                        {budget_, acceptsNoBody})
        , diagnosticsServer_(loop_, budget_)
        , processDiagnostics_(loop_)
        , settingsWatcher_(loop_, path, [this] { reload(); })
        , drainTimer_(loop_, [this] { continueDrain(); })
    {}

    ExitCode run()
    {
        return runProcess(loop_, messenger_, [this] { return start(); });
    }

private:
    // Applies only a change of the seeds; a file with errors changes nothing.
    void reload()
    {
        const auto settings = loadJobEntrySettings(path_, std::cerr);
        if (settings)
            leaderClient_.setSeeds(settings->group.seeds);
        logEvent(settings ? LogEvent::SettingsReloaded : LogEvent::SettingsRefused, Step::Settings,
                 messenger_.name(), {{"file", path_}});
    }

    Result<void> start()
    {
        if (auto listening = diagnosticsServer_.listen(settings_.metricsDoor); !listening)
            return listening;
        settingsWatcher_.start();
        for (const int signal : {SIGTERM, SIGINT})
            loop_.onSignal(signal, [this] { startDrain(); });
        leaderClient_.start();
        if (auto listening = healthServer_.listen(settings_.healthDoor); !listening)
            return tl::make_unexpected(listening.error());
        if (auto listening = callerServer_.listen(settings_.callerDoor); !listening)
            return tl::make_unexpected(listening.error());
        return {};
    }

    void handleHealthCheck(const std::shared_ptr<HttpExchange> &exchange)
    {
        const bool isKnownPath = codec_.isHealthCheck(exchange->request());
        const bool ready = isKnownPath && !isDraining_ && leaderClient_.isLeaderReachable();
        exchange->respond({ready ? Ready : NotReady, {}, {}});
    }

    void handleClientCall(const std::shared_ptr<HttpExchange> &exchange)
    {
        auto call = codec_.decodeClientCall(exchange->request());
        if (!call) {
            JobAnswer answer;
            answer.kind = JobAnswerKind::Invalid;
            answer.detail = call.error().detail;
            logEvent(LogEvent::RequestFailed, call.error());
            return exchange->respond(codec_.encodeClientAnswer(answer));
        }
        const TimePoint startedAt = loop_.clock().now();
        const bool submits = std::holds_alternative<SubmitCall>(call->body);
        leaderClient_.call(std::move(call->body), call->timeout,
                           [this, exchange, startedAt, submits](const JobAnswer &answer) {
                               processMetrics()
                                   .histogram("oleander_call_seconds",
                                              "Time from a whole call of a client to its answer.",
                                              {{"call", submits ? "submit" : "other"}})
                                   .record(loop_.clock().now() - startedAt);
                               respond(exchange, answer);
                           });
    }

    void respond(const std::shared_ptr<HttpExchange> &exchange, const JobAnswer &answer)
    {
        if (answer.kind == JobAnswerKind::Overloaded || answer.kind == JobAnswerKind::Unknown) {
            logEvent(LogEvent::RequestFailed, Step::Answer, exchange->request().peer,
                     {{"path", exchange->request().path}, {"why", answer.detail}});
        }
        HttpResponse response = codec_.encodeClientAnswer(answer);
        if (isDraining_)
            response.headers.push_back({"Connection", "close"});
        exchange->respond(std::move(response));
    }

    void startDrain()
    {
        if (isDraining_)
            return;
        isDraining_ = true;
        logEvent(LogEvent::ProcessStopping, Step::Leave, settings_.name,
                 {{"in_flight", callerServer_.inFlight()}});
        drainStart_ = loop_.clock().now();
        drainTimer_.startEvery(DrainPollInterval);
    }

    // The listener stays open during the drain delay, until the load balancer has noticed that the
    // health check fails.
    void continueDrain()
    {
        const Duration drained = loop_.clock().now() - drainStart_;
        if (drained < settings_.drainDelay)
            return;
        callerServer_.closeListener();
        if (callerServer_.inFlight() == 0 || drained > settings_.drainDelay + DrainTimeout)
            loop_.stop();
    }

    JobEntrySettings settings_;
    std::string path_;
    const FleetCodec &codec_;
    EventLoop loop_;
    Messenger messenger_;
    LeaderClient leaderClient_;
    std::shared_ptr<HttpBudget> budget_;
    HttpServer callerServer_;
    HttpServer healthServer_;
    DiagnosticsServer diagnosticsServer_;
    ProcessDiagnostics processDiagnostics_;
    SettingsWatcher settingsWatcher_;
    Timer drainTimer_;
    TimePoint drainStart_{};
    bool isDraining_ = false;
};

} // namespace

int runJobEntry(const JobEntrySettings &settings, const std::string &path, const FleetCodec &codec)
{
    JobEntry entry(settings, path, codec);
    return static_cast<int>(entry.run());
}

} // namespace Oleander::Fleet
