#include "Fleet/machineagent.h"

#include "Fleet/leaderclient.h"
#include "Fleet/miniontask.h"
#include "Fleet/settingswatcher.h"
#include "Runtime/diagnosticsserver.h"
#include "Runtime/httpbudget.h"
#include "Runtime/incarnation.h"
#include "Runtime/log.h"
#include "Runtime/processdiagnostics.h"
#include "Settings/processrun.h"
#include "Settings/settingsfile.h"

#include <csignal>
#include <iostream>

namespace Oleander::Fleet {

namespace {

/** Interval of the periodic reports, which renew the lease and report the progress of runs. */
constexpr Duration ReportInterval = std::chrono::milliseconds(500);
constexpr unsigned BadRequest = 400;

/**
 * \class MachineAgent
 * \brief The agent of one minion: HTTP server for the minion, MinionTask, and reports to the
 * leader.
 */
class MachineAgent
{
public:
    MachineAgent(const MachineAgentSettings &settings, const std::string &path,
                 const FleetCodec &codec)
        : settings_(settings)
        , path_(path)
        , codec_(codec)
        , messenger_(loop_, settings.name, newIncarnation(loop_.clock()))
        , leaderClient_(loop_, messenger_, settings.group.seeds)
        , minionTask_(loop_, codec, settings.minion, settings.confirmationTime())
        , budget_(std::make_shared<HttpBudget>(settings.http))
        , minionServer_(
              loop_, settings.limits,
              [this](const std::shared_ptr<HttpExchange> &exchange) { handleMinionCall(exchange); },
              {budget_, [this](auto method,
                               auto target) { return codec_.acceptsMinionBody(method, target); }})
        , diagnosticsServer_(loop_, budget_)
        , processDiagnostics_(loop_)
        , settingsWatcher_(loop_, path, [this] { reload(); })
        , reportTimer_(loop_, [this] { sendReport(); })
    {}

    ExitCode run()
    {
        return runProcess(loop_, messenger_, [this] { return start(); });
    }

private:
    // Applies only a change of the seeds; a file with errors changes nothing.
    void reload()
    {
        const auto settings = loadMachineAgentSettings(path_, std::cerr);
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
            loop_.onSignal(signal, [this] { stop(); });
        messenger_.on<MachineDirective>([this](const Sender &, MachineDirective &&directive) {
            minionTask_.handleDirective(directive);
        });
        minionTask_.reportNeeded.connect([this] { scheduleReport(); });
        leaderClient_.leaderChanged.connect([this] { scheduleReport(); });
        leaderClient_.start();
        reportTimer_.startEvery(ReportInterval);
        if (auto listening = minionServer_.listen(settings_.minionDoor); !listening)
            return tl::make_unexpected(listening.error());
        return {};
    }

    void handleMinionCall(const std::shared_ptr<HttpExchange> &exchange)
    {
        const auto call = codec_.decodeMinionCall(exchange->request());
        if (!call) {
            logEvent(LogEvent::FrameMalformed, call.error());
            return exchange->respond({BadRequest, {}, {}});
        }
        if (const auto *announcement = std::get_if<MinionAnnouncement>(&*call))
            minionTask_.handleAnnouncement(*announcement);
        else if (const auto *departure = std::get_if<MinionDeparture>(&*call))
            minionTask_.handleDeparture(*departure);
        exchange->respond(codec_.encodeMinionAnswer());
    }

    void scheduleReport()
    {
        if (isReportPosted_)
            return;
        isReportPosted_ = true;
        loop_.post([this] { sendReport(); });
    }

    void sendReport()
    {
        isReportPosted_ = false;
        // A lost report needs no retry: the next one contains the complete state.
        static_cast<void>(leaderClient_.sendToLeader(minionTask_.makeReport(++sequence_)));
    }

    void stop()
    {
        logEvent(LogEvent::ProcessStopping, Step::Leave, settings_.name, {});
        loop_.stop();
    }

    MachineAgentSettings settings_;
    std::string path_;
    const FleetCodec &codec_;
    EventLoop loop_;
    Messenger messenger_;
    LeaderClient leaderClient_;
    MinionTask minionTask_;
    std::shared_ptr<HttpBudget> budget_;
    HttpServer minionServer_;
    DiagnosticsServer diagnosticsServer_;
    ProcessDiagnostics processDiagnostics_;
    SettingsWatcher settingsWatcher_;
    Timer reportTimer_;
    std::uint64_t sequence_ = 0;
    bool isReportPosted_ = false;
};

} // namespace

int runMachineAgent(const MachineAgentSettings &settings, const std::string &path,
                    const FleetCodec &codec)
{
    MachineAgent agent(settings, path, codec);
    return static_cast<int>(agent.run());
}

} // namespace Oleander::Fleet
