#include "Fleet/controlhost.h"

#include "Fleet/evacuationhandler.h"
#include "Fleet/jobservice.h"
#include "Fleet/leaderclient.h"
#include "Fleet/settingswatcher.h"
#include "Runtime/diagnosticsserver.h"
#include "Runtime/httpbudget.h"
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
/** Silence after which a voter is removed if a replacement has joined. */
constexpr Duration SilentVoterTimeout = std::chrono::milliseconds(1'500);
constexpr Duration DrainPollInterval = std::chrono::milliseconds(20);
/** Maximum wait after SIGTERM for calls whose commit is pending. */
constexpr Duration DrainTimeout = std::chrono::seconds(2);
/** Delay before the exit, so that the resignation reaches the other replicas. */
constexpr Duration ResignationDelay = std::chrono::milliseconds(100);
constexpr Duration LeaseLength = std::chrono::seconds(5);
/** Long enough that an idle group causes little load, and short enough to replace a leader within a
 * second. */
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

Jobs::LeaseOptions leaseOptions(const ControlHostSettings &settings)
{
    Jobs::LeaseOptions options;
    options.length = std::min(LeaseLength, settings.longestLease);
    return options;
}

JobServiceOptions jobServiceOptions(const ControlHostSettings &settings)
{
    JobServiceOptions options;
    options.lease = leaseOptions(settings);
    options.scheduler.backfill = settings.backfill;
    if (settings.coldOverage > 0 && settings.coldSlack > 0)
        options.scheduler.coldStarts =
            Jobs::ColdStartOptions{settings.coldOverage, settings.coldSlack};
    options.maxStoredBytes = settings.jobMemory;
    return options;
}

/**
 * \class ControlHost
 * \brief One control host: replica, job service and HTTP server for operators.
 */
class ControlHost
{
public:
    ControlHost(const ControlHostSettings &settings, const std::string &path,
                const FleetCodec &codec)
        : settings_(settings)
        , path_(path)
        , codec_(codec)
        , messenger_(loop_, settings.link, newIncarnation(loop_.clock()))
        , replica_(loop_, messenger_, state_, replicaOptions(settings))
        , jobService_(loop_, messenger_, replica_, state_, jobServiceOptions(settings))
        , leaderClient_(loop_, messenger_, settings.group.seeds)
        , evacuationHandler_(loop_, leaderClient_, settings.failureDomains)
        , budget_(std::make_shared<HttpBudget>(settings.http))
        , operatorServer_(
              loop_, settings.limits,
              [this](const std::shared_ptr<HttpExchange> &exchange) {
                  handleOperatorCall(exchange);
              },
              {budget_, [this](auto method,
                               auto target) { return codec_.acceptsOperatorBody(method, target); }})
        , diagnosticsServer_(loop_, budget_)
        , processDiagnostics_(loop_)
        , settingsWatcher_(loop_, path, [this] { reload(); })
        , membershipTimer_(loop_, [this] { updateMembership(); })
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
        const auto settings = loadControlHostSettings(path_, std::cerr);
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
        if (auto listening = messenger_.listen(settings_.link); !listening)
            return tl::make_unexpected(listening.error());
        messenger_.on<GroupQuery>([this](const Sender &from, GroupQuery &&query) {
            subscribers_.insert(from.name);
            if (!query.controlHost.empty())
                messenger_.addPeer(query.controlHost, query.controlHost);
            sendGroupView(from.name);
        });
        leaderClient_.setLocalService(
            [this](const JobCallBody &body, JobService::Callback callback) {
                return jobService_.serve(body, std::move(callback));
            });
        leaderClient_.leaderChanged.connect([this] { announceLeader(); });
        leaderClient_.start();
        replica_.roleChanged.connect([this] {
            jobService_.onRoleChanged();
            broadcastGroupView();
        });
        if (auto started = replica_.start(); !started)
            return started;
        jobService_.start();
        membershipTimer_.startEvery(MembershipInterval);
        if (auto listening = operatorServer_.listen(settings_.operatorDoor); !listening)
            return tl::make_unexpected(listening.error());
        return {};
    }

    GroupView replicaView() const
    {
        const ReplicaStatus status = replica_.status();
        GroupView view;
        view.term = status.term;
        view.leader = replica_.isLeader() || status.leader != settings_.link ? status.leader : "";
        view.hosts = status.voters;
        view.hosts.insert(view.hosts.end(), status.learners.begin(), status.learners.end());
        return view;
    }

    // A host without a replica, or with one that the group has left behind, tells what it has heard
    // from others.
    GroupView groupView() const
    {
        GroupView view = replicaView();
        GroupView heard = leaderClient_.groupView();
        if (heard.term > view.term)
            return heard;
        if (view.leader.empty() && heard.term == view.term)
            view.leader = heard.leader;
        if (view.hosts.empty())
            view.hosts = std::move(heard.hosts);
        return view;
    }

    void sendGroupView(const std::string &peer)
    {
        // A process that cannot be reached sends its query again.
        static_cast<void>(messenger_.send(peer, groupView()));
    }

    void broadcastGroupView()
    {
        for (auto it = subscribers_.begin(); it != subscribers_.end();) {
            if (messenger_.send(*it, groupView()))
                ++it;
            else
                it = subscribers_.erase(it);
        }
    }

    void updateMembership()
    {
        const GroupView view = replicaView();
        for (const std::string &host : view.hosts) {
            if (host != settings_.link)
                messenger_.addPeer(host, host);
        }
        std::set<std::string> joinTargets;
        for (const std::string &peer : messenger_.peers())
            joinTargets.insert(peer);
        const bool rejoin = !view.hosts.empty()
                            && std::ranges::find(view.hosts, settings_.link) == view.hosts.end();
        replica_.setJoinTargets(std::move(joinTargets), rejoin);
        announceLeader();
        replaceSilentVoter();
    }

    void announceLeader()
    {
        const std::string leader = groupView().leader;
        if (leader == announcedLeader_)
            return;
        announcedLeader_ = leader;
        broadcastGroupView();
    }

    // A permanently lost machine is replaced by one with another address. The old voter is removed
    // as soon as its replacement has caught up, because it still counts towards the quorum.
    void replaceSilentVoter()
    {
        const std::size_t voterTarget = 2 * settings_.toleratedLosses + 1;
        if (replica_.status().voters.size() <= voterTarget)
            return;
        const auto silent = replica_.unresponsiveVoters(SilentVoterTimeout);
        if (silent.empty())
            return;
        const auto removed = replica_.removeReplica(silent.front());
        logEvent(LogEvent::ReplicaLeft, Step::Leave, silent.front(),
                 {{"removed", removed.has_value()}, {"silent_voters", silent.size()}});
    }

    void handleOperatorCall(const std::shared_ptr<HttpExchange> &exchange)
    {
        if (answerDiagnosticsRequest(*exchange) || evacuationHandler_.answerOwnPath(exchange))
            return;
        auto call = codec_.decodeOperatorCall(exchange->request());
        if (!call) {
            JobAnswer answer;
            answer.kind = JobAnswerKind::Invalid;
            answer.detail = call.error().detail;
            const std::string &method = exchange->request().method;
            // Only evacuations are requested with these methods.
            if (method == "POST" || method == "DELETE")
                EvacuationHandler::reportMalformed(call.error());
            else
                logEvent(LogEvent::ConfigurationRefused, call.error());
            return exchange->respond(codec_.encodeOperatorAnswer(answer));
        }
        const auto encode = [this](const JobAnswer &answer) {
            return codec_.encodeOperatorAnswer(answer);
        };
        if (auto *evacuation = std::get_if<EvacuationCall>(&call->body))
            return evacuationHandler_.change(exchange, std::move(*evacuation), call->timeout,
                                             encode);
        leaderClient_.call(
            std::move(call->body), call->timeout,
            [encode, exchange](const JobAnswer &answer) { exchange->respond(encode(answer)); });
    }

    void startDrain()
    {
        if (isDraining_)
            return;
        isDraining_ = true;
        logEvent(LogEvent::ProcessStopping, Step::Leave, settings_.link,
                 {{"in_flight", operatorServer_.inFlight()}});
        operatorServer_.closeListener();
        drainStart_ = loop_.clock().now();
        drainTimer_.startEvery(DrainPollInterval);
    }

    void continueDrain()
    {
        const TimePoint now = loop_.clock().now();
        const bool idle = operatorServer_.inFlight() == 0 && jobService_.waitingCalls() == 0;
        if (!resignedAt_ && (idle || now > drainStart_ + DrainTimeout)) {
            resignedAt_ = now;
            replica_.resign();
        }
        if (resignedAt_ && now > *resignedAt_ + ResignationDelay)
            loop_.stop();
    }

    ControlHostSettings settings_;
    std::string path_;
    const FleetCodec &codec_;
    EventLoop loop_;
    Messenger messenger_;
    State::ControlState state_;
    ReplicaTask replica_;
    JobService jobService_;
    LeaderClient leaderClient_;
    EvacuationHandler evacuationHandler_;
    std::shared_ptr<HttpBudget> budget_;
    HttpServer operatorServer_;
    DiagnosticsServer diagnosticsServer_;
    ProcessDiagnostics processDiagnostics_;
    SettingsWatcher settingsWatcher_;
    Timer membershipTimer_;
    Timer drainTimer_;
    /** Processes that queried the group view; they are notified of its changes. */
    std::set<std::string> subscribers_;
    std::string announcedLeader_;
    TimePoint drainStart_{};
    std::optional<TimePoint> resignedAt_;
    bool isDraining_ = false;
};

} // namespace

int runControlHost(const ControlHostSettings &settings, const std::string &path,
                   const FleetCodec &codec)
{
    ControlHost host(settings, path, codec);
    return static_cast<int>(host.run());
}

} // namespace Oleander::Fleet
