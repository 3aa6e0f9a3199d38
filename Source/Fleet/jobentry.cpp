#include "Fleet/jobentry.h"

#include "Fleet/leaderclient.h"
#include "Fleet/settingswatch.h"
#include "Runtime/diagnosticsserver.h"
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

constexpr Duration DrainPoll = std::chrono::milliseconds(20);
/** Longest wait after the drain delay for calls in flight; with the delay it is under the time
 * after which the platform kills. */
constexpr Duration DrainPatience = std::chrono::seconds(2);
constexpr unsigned Ready = 200;
constexpr unsigned NotReady = 503;

/**
 * \class JobEntry
 * \brief The doors of one entry; every call goes on to the leader.
 */
class JobEntry
{
public:
    JobEntry(const JobEntrySettings &settings, const std::string &path, const FleetWire &wire)
        : settings_(settings)
        , path_(path)
        , wire_(wire)
        , messenger_(loop_, settings.name, newIncarnation(loop_.clock()))
        , leader_(loop_, messenger_, settings.group.seeds)
        , callerDoor_(loop_, settings.limits,
                      [this](const std::shared_ptr<HttpExchange> &exchange) { handle(exchange); })
        , healthDoor_(loop_, settings.limits,
                      [this](const std::shared_ptr<HttpExchange> &exchange) { health(exchange); })
        , processDoor_(loop_)
        , watch_(loop_)
        , settingsWatch_(loop_, path, [this] { reload(); })
        , drainTimer_(loop_, [this] { continueDrain(); })
    {}

    ExitCode run()
    {
        return runProcess(loop_, messenger_, [this] { return start(); });
    }

private:
    // Only the seeds may change while the process runs; a file with mistakes changes nothing.
    void reload()
    {
        const auto settings = loadJobEntrySettings(path_, std::cerr);
        if (settings)
            leader_.setSeeds(settings->group.seeds);
        logEvent(settings ? LogEvent::SettingsReloaded : LogEvent::SettingsRefused, Step::Settings,
                 messenger_.name(), {{"file", path_}});
    }

    Result<void> start()
    {
        if (auto listening = processDoor_.listen(settings_.metricsDoor); !listening)
            return listening;
        settingsWatch_.start();
        for (const int signal : {SIGTERM, SIGINT})
            loop_.onSignal(signal, [this] { drain(); });
        leader_.start();
        if (auto listening = healthDoor_.listen(settings_.healthDoor); !listening)
            return tl::make_unexpected(listening.error());
        if (auto listening = callerDoor_.listen(settings_.callerDoor); !listening)
            return tl::make_unexpected(listening.error());
        return {};
    }

    void health(const std::shared_ptr<HttpExchange> &exchange)
    {
        const bool known = wire_.isHealthCall(exchange->request());
        const bool ready = known && !draining_ && leader_.leaderReachable();
        exchange->respond({ready ? Ready : NotReady, {}, {}});
    }

    void handle(const std::shared_ptr<HttpExchange> &exchange)
    {
        auto call = wire_.clientCall(exchange->request());
        if (!call) {
            JobAnswer answer;
            answer.kind = JobAnswerKind::Invalid;
            answer.detail = call.error().detail;
            logEvent(LogEvent::RequestFailed, call.error());
            return exchange->respond(wire_.clientAnswer(answer));
        }
        const TimePoint begun = loop_.clock().now();
        const bool submits = std::holds_alternative<SubmitCall>(call->body);
        leader_.call(std::move(call->body), call->patience,
                     [this, exchange, begun, submits](const JobAnswer &answer) {
                         processMetrics()
                             .histogram("oleander_call_seconds",
                                        "Time from a whole call of a client to its answer.",
                                        {{"call", submits ? "submit" : "other"}})
                             .record(loop_.clock().now() - begun);
                         respond(exchange, answer);
                     });
    }

    void respond(const std::shared_ptr<HttpExchange> &exchange, const JobAnswer &answer)
    {
        if (answer.kind == JobAnswerKind::Overloaded || answer.kind == JobAnswerKind::Unknown) {
            logEvent(LogEvent::RequestFailed, Step::Answer, exchange->request().peer,
                     {{"path", exchange->request().path}, {"why", answer.detail}});
        }
        HttpResponse response = wire_.clientAnswer(answer);
        if (draining_)
            response.headers.push_back({"Connection", "close"});
        exchange->respond(std::move(response));
    }

    void drain()
    {
        if (draining_)
            return;
        draining_ = true;
        logEvent(LogEvent::ProcessStopping, Step::Leave, settings_.name,
                 {{"in_flight", callerDoor_.inFlight()}});
        drainStart_ = loop_.clock().now();
        drainTimer_.startEvery(DrainPoll);
    }

    // The balancer needs the drain delay to see the health change.
    void continueDrain()
    {
        const Duration drained = loop_.clock().now() - drainStart_;
        if (drained < settings_.drainDelay)
            return;
        callerDoor_.closeListener();
        if (callerDoor_.inFlight() == 0 || drained > settings_.drainDelay + DrainPatience)
            loop_.stop();
    }

    JobEntrySettings settings_;
    std::string path_;
    const FleetWire &wire_;
    EventLoop loop_;
    Messenger messenger_;
    LeaderClient leader_;
    HttpServer callerDoor_;
    HttpServer healthDoor_;
    DiagnosticsServer processDoor_;
    ProcessDiagnostics watch_;
    SettingsWatch settingsWatch_;
    Timer drainTimer_;
    TimePoint drainStart_{};
    bool draining_ = false;
};

} // namespace

int runJobEntry(const JobEntrySettings &settings, const std::string &path, const FleetWire &wire)
{
    JobEntry entry(settings, path, wire);
    return static_cast<int>(entry.run());
}

} // namespace Oleander::Fleet
