#include "Fleet/controlhost.h"

#include "Fleet/jobservice.h"
#include "Fleet/leaderclient.h"
#include "Fleet/settingswatch.h"
#include "Runtime/diagnosticsserver.h"
#include "Runtime/incarnation.h"
#include "Runtime/log.h"
#include "Runtime/processdiagnostics.h"
#include "Settings/processrun.h"
#include "Settings/settingsfile.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <optional>

namespace Oleander::Fleet {

namespace {

constexpr Duration MembershipInterval = std::chrono::milliseconds(300);
/** Silence after which a voter gives its place to a replica that came in its stead. */
constexpr Duration ReplaceAfter = std::chrono::milliseconds(1'500);
constexpr Duration DrainPoll = std::chrono::milliseconds(20);
/** Longest wait after SIGTERM for calls that wait for their commit. */
constexpr Duration DrainPatience = std::chrono::seconds(2);
/** Time for the word that it leads no more to reach the other replicas. */
constexpr Duration ResignationTime = std::chrono::milliseconds(100);
constexpr Duration LeaseLength = std::chrono::seconds(5);
/** Slow enough that an idle group costs little, and fast enough to replace a leader in a second. */
constexpr Duration HeartbeatInterval = std::chrono::milliseconds(100);
constexpr Duration ElectionTimeout = std::chrono::milliseconds(500);

ReplicaTaskOptions replicaOptions(const ControlHostSettings &settings)
{
    ReplicaTaskOptions options;
    options.name = settings.link;
    options.folder = settings.dataFolder;
    options.replicas = settings.group.seeds;
    std::ranges::sort(options.replicas);
    options.mayForm = settings.mayForm;
    options.acceptsUnknownReplicas = true;
    options.heartbeatInterval = HeartbeatInterval;
    options.electionTimeout = ElectionTimeout;
    return options;
}

Jobs::LeaseOptions holdOptions(const ControlHostSettings &settings)
{
    Jobs::LeaseOptions options;
    options.length = std::min(LeaseLength, settings.longestLease);
    return options;
}

/**
 * \class ControlHost
 * \brief The tasks of one control host: replica, job service, operator door.
 */
class ControlHost
{
public:
    ControlHost(const ControlHostSettings &settings, const std::string &path, const FleetWire &wire)
        : settings_(settings)
        , path_(path)
        , wire_(wire)
        , messenger_(loop_, settings.link, newIncarnation(loop_.clock()))
        , replica_(loop_, messenger_, state_, replicaOptions(settings))
        , jobs_(loop_, messenger_, replica_, state_, holdOptions(settings))
        , leader_(loop_, messenger_, settings.group.seeds)
        , door_(loop_, settings.limits,
                [this](const std::shared_ptr<HttpExchange> &exchange) { handle(exchange); })
        , processDoor_(loop_)
        , watch_(loop_)
        , settingsWatch_(loop_, path, [this] { reload(); })
        , membershipTimer_(loop_, [this] { followMembership(); })
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
        const auto settings = loadControlHostSettings(path_, std::cerr);
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
        if (auto listening = messenger_.listen(settings_.link); !listening)
            return tl::make_unexpected(listening.error());
        messenger_.on<GroupQuery>([this](const Sender &from, GroupQuery &&query) {
            asked_.insert(from.name);
            if (!query.controlHost.empty())
                messenger_.addPeer(query.controlHost, query.controlHost);
            tellGroup(from.name);
        });
        leader_.setLocalService([this](const JobCallBody &body, JobService::Callback callback) {
            return jobs_.serve(body, std::move(callback));
        });
        leader_.start();
        replica_.roleChanged.connect([this] {
            jobs_.roleChanged();
            tellAll();
        });
        if (auto started = replica_.start(); !started)
            return started;
        jobs_.start();
        membershipTimer_.startEvery(MembershipInterval);
        if (auto listening = door_.listen(settings_.operatorDoor); !listening)
            return tl::make_unexpected(listening.error());
        return {};
    }

    GroupView groupView() const
    {
        const ReplicaStatus status = replica_.status();
        GroupView view;
        view.term = status.term;
        view.leader = replica_.isLeader() || status.leader != settings_.link ? status.leader : "";
        view.hosts = status.voters;
        view.hosts.insert(view.hosts.end(), status.learners.begin(), status.learners.end());
        return view;
    }

    void tellGroup(const std::string &peer)
    {
        // Askers that cannot be reached ask again.
        static_cast<void>(messenger_.send(peer, groupView()));
    }

    void tellAll()
    {
        for (auto it = asked_.begin(); it != asked_.end();) {
            if (messenger_.send(*it, groupView()))
                ++it;
            else
                it = asked_.erase(it);
        }
    }

    void followMembership()
    {
        const GroupView view = groupView();
        for (const std::string &host : view.hosts) {
            if (host != settings_.link)
                messenger_.addPeer(host, host);
        }
        std::set<std::string> greeted;
        for (const std::string &peer : messenger_.peers())
            greeted.insert(peer);
        const bool outsider = !view.hosts.empty()
                              && std::ranges::find(view.hosts, settings_.link) == view.hosts.end();
        replica_.setJoinTargets(std::move(greeted), outsider);
        if (view.leader != toldLeader_) {
            toldLeader_ = view.leader;
            tellAll();
        }
        replaceSilentVoter();
    }

    // A machine that is gone for good is replaced by one at another address; the old one must not
    // count towards the quorum any longer than its successor needs to catch up.
    void replaceSilentVoter()
    {
        const std::size_t wanted = 2 * settings_.toleratedLosses + 1;
        if (replica_.status().voters.size() <= wanted)
            return;
        const auto silent = replica_.unresponsiveVoters(ReplaceAfter);
        if (silent.empty())
            return;
        const auto removed = replica_.removeReplica(silent.front());
        logEvent(LogEvent::ReplicaLeft, Step::Leave, silent.front(),
                 {{"removed", removed.has_value()}, {"silent_voters", silent.size()}});
    }

    void handle(const std::shared_ptr<HttpExchange> &exchange)
    {
        if (answerDiagnosticsRequest(*exchange))
            return;
        auto call = wire_.operatorCall(exchange->request());
        if (!call) {
            JobAnswer answer;
            answer.kind = JobAnswerKind::Invalid;
            answer.detail = call.error().detail;
            logEvent(LogEvent::ConfigurationRefused, call.error());
            return exchange->respond(wire_.operatorAnswer(answer));
        }
        leader_.call(std::move(call->body), call->patience,
                     [this, exchange](const JobAnswer &answer) {
                         exchange->respond(wire_.operatorAnswer(answer));
                     });
    }

    void drain()
    {
        if (draining_)
            return;
        draining_ = true;
        logEvent(LogEvent::ProcessStopping, Step::Leave, settings_.link,
                 {{"in_flight", door_.inFlight()}});
        door_.closeListener();
        drainStart_ = loop_.clock().now();
        drainTimer_.startEvery(DrainPoll);
    }

    void continueDrain()
    {
        const TimePoint now = loop_.clock().now();
        const bool idle = door_.inFlight() == 0 && jobs_.waiting() == 0;
        if (!resignedAt_ && (idle || now > drainStart_ + DrainPatience)) {
            resignedAt_ = now;
            replica_.resign();
        }
        if (resignedAt_ && now > *resignedAt_ + ResignationTime)
            loop_.stop();
    }

    ControlHostSettings settings_;
    std::string path_;
    const FleetWire &wire_;
    EventLoop loop_;
    Messenger messenger_;
    State::ControlState state_;
    ReplicaTask replica_;
    JobService jobs_;
    LeaderClient leader_;
    HttpServer door_;
    DiagnosticsServer processDoor_;
    ProcessDiagnostics watch_;
    SettingsWatch settingsWatch_;
    Timer membershipTimer_;
    Timer drainTimer_;
    /** Processes that asked for the group; they hear of its changes. */
    std::set<std::string> asked_;
    std::string toldLeader_;
    TimePoint drainStart_{};
    std::optional<TimePoint> resignedAt_;
    bool draining_ = false;
};

} // namespace

int runControlHost(const ControlHostSettings &settings, const std::string &path,
                   const FleetWire &wire)
{
    ControlHost host(settings, path, wire);
    return static_cast<int>(host.run());
}

} // namespace Oleander::Fleet
