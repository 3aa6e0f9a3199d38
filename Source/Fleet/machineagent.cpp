#include "Fleet/machineagent.h"

#include "Fleet/leaderclient.h"
#include "Fleet/miniontask.h"
#include "Fleet/settingswatch.h"
#include "Runtime/diagnosticsserver.h"
#include "Runtime/incarnation.h"
#include "Runtime/log.h"
#include "Runtime/processdiagnostics.h"
#include "Settings/processrun.h"
#include "Settings/settingsfile.h"

#include <csignal>
#include <iostream>

namespace Oleander::Fleet {

namespace {

/** Reports without news; they renew the lease and tell the progress of runs. */
constexpr Duration ReportInterval = std::chrono::milliseconds(500);
constexpr unsigned BadRequest = 400;

/**
 * \class MachineAgent
 * \brief The agent beside one minion: its door, its follower, and the reports to the leader.
 */
class MachineAgent
{
public:
    MachineAgent(const MachineAgentSettings &settings, const std::string &path,
                 const FleetWire &wire)
        : settings_(settings)
        , path_(path)
        , wire_(wire)
        , messenger_(loop_, settings.name, newIncarnation(loop_.clock()))
        , leader_(loop_, messenger_, settings.group.seeds)
        , minion_(loop_, wire, settings.minion)
        , door_(loop_, settings.limits,
                [this](const std::shared_ptr<HttpExchange> &exchange) { handle(exchange); })
        , processDoor_(loop_)
        , watch_(loop_)
        , settingsWatch_(loop_, path, [this] { reload(); })
        , reportTimer_(loop_, [this] { report(); })
    {}

    ExitCode run()
    {
        return runProcess(loop_, messenger_, [this] { return start(); });
    }

private:
    // Only the seeds may change while the process runs; a file with mistakes changes nothing.
    void reload()
    {
        const auto settings = loadMachineAgentSettings(path_, std::cerr);
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
            loop_.onSignal(signal, [this] { stop(); });
        messenger_.on<MachineDirective>(
            [this](const Sender &, MachineDirective &&directive) { minion_.direct(directive); });
        minion_.changed.connect([this] { reportSoon(); });
        leader_.leaderChanged.connect([this] { reportSoon(); });
        leader_.start();
        reportTimer_.startEvery(ReportInterval);
        if (auto listening = door_.listen(settings_.minionDoor); !listening)
            return tl::make_unexpected(listening.error());
        return {};
    }

    void handle(const std::shared_ptr<HttpExchange> &exchange)
    {
        const auto call = wire_.minionCall(exchange->request());
        if (!call) {
            logEvent(LogEvent::FrameMalformed, call.error());
            return exchange->respond({BadRequest, {}, {}});
        }
        if (const auto *announcement = std::get_if<MinionAnnouncement>(&*call))
            minion_.announce(*announcement);
        else if (const auto *departure = std::get_if<MinionDeparture>(&*call))
            minion_.depart(*departure);
        exchange->respond(wire_.minionAnswer());
    }

    void reportSoon()
    {
        if (reportPosted_)
            return;
        reportPosted_ = true;
        loop_.post([this] { report(); });
    }

    void report()
    {
        reportPosted_ = false;
        // A report that does not arrive is made up for by the next, which tells the whole state.
        static_cast<void>(leader_.sendToLeader(minion_.report(++sequence_)));
    }

    void stop()
    {
        logEvent(LogEvent::ProcessStopping, Step::Leave, settings_.name, {});
        loop_.stop();
    }

    MachineAgentSettings settings_;
    std::string path_;
    const FleetWire &wire_;
    EventLoop loop_;
    Messenger messenger_;
    LeaderClient leader_;
    MinionTask minion_;
    HttpServer door_;
    DiagnosticsServer processDoor_;
    ProcessDiagnostics watch_;
    SettingsWatch settingsWatch_;
    Timer reportTimer_;
    std::uint64_t sequence_ = 0;
    bool reportPosted_ = false;
};

} // namespace

int runMachineAgent(const MachineAgentSettings &settings, const std::string &path,
                    const FleetWire &wire)
{
    MachineAgent agent(settings, path, wire);
    return static_cast<int>(agent.run());
}

} // namespace Oleander::Fleet
