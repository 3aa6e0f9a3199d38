#include "Entry/entry.h"

#include "Entry/callerserver.h"
#include "Entry/configurationtask.h"
#include "Entry/entrydump.h"
#include "Entry/operatorserver.h"
#include "Entry/replicatask.h"
#include "Entry/routertask.h"
#include "Entry/schedulertask.h"
#include "Runtime/incarnation.h"
#include "Runtime/log.h"
#include "Runtime/messenger.h"
#include "Runtime/processdiagnostics.h"
#include "Settings/processrun.h"
#include "State/controlstate.h"

#include <algorithm>
#include <csignal>

namespace Oleander {

namespace {

constexpr Duration DrainPollInterval = std::chrono::milliseconds(20);

ReplicaTaskOptions replicaOptions(const EntrySettings &settings)
{
    ReplicaTaskOptions options;
    options.name = settings.name;
    options.folder = settings.dataFolder;
    for (const auto &member : settings.controlGroup)
        options.replicas.push_back(member.name);
    options.heartbeatInterval = settings.control.heartbeatInterval;
    options.electionTimeout = settings.control.electionTimeout;
    options.proposeTimeout = settings.control.proposalTimeout;
    options.snapshotEntries = settings.control.snapshotEntries;
    return options;
}

double fractionFromPercent(std::uint64_t value)
{
    return static_cast<double>(value) / 100.0;
}

/** Fails while the entry may not admit work. */
using AdmissionCheck = std::function<Result<void>()>;

RouterSettings routerSettings(const EntrySettings &settings, std::uint64_t incarnation,
                              AdmissionCheck gate, const State::ControlState &state)
{
    RouterSettings router;
    router.entry = settings.name;
    router.incarnation = incarnation;
    router.location = settings.location;
    router.seed = incarnation;
    router.gate = std::move(gate);
    router.maxInFlight = settings.request.maxInFlight;
    router.claims.entry = settings.name;
    router.claims.retention = settings.request.keyLifetime;
    router.retryBudget.share = fractionFromPercent(settings.request.retryBudgetPercent);
    router.hedgeBudget.share = fractionFromPercent(settings.request.hedgeBudgetPercent);
    router.hasServiceRecord = [&state](const std::string &service) {
        const auto *record = state.records().find({Records::RecordKind::Service, service});
        return record != nullptr && !record->withdrawn;
    };
    return router;
}

CallerServerSettings callerServerSettings(const EntrySettings &settings, AdmissionCheck gate,
                                          std::shared_ptr<HttpBudget> budget)
{
    CallerServerSettings result;
    result.limits = settings.callerLimits;
    result.gate = std::move(gate);
    result.budget = std::move(budget);
    result.defaultTimeout = settings.request.defaultTimeout;
    result.maxTimeout = settings.request.maxTimeout;
    return result;
}

/**
 * \class EntryProcess
 * \brief Owns the tasks of an entry process and controls their startup and shutdown.
 */
class EntryProcess
{
public:
    explicit EntryProcess(const EntrySettings &settings)
        : settings_(settings)
        , messenger_(loop_, settings.name, newIncarnation(loop_.clock()))
        , replica_(loop_, messenger_, state_, replicaOptions(settings))
        , configuration_(loop_, messenger_, state_, configurationDependencies(),
                         configurationOptions())
        , router_(loop_, messenger_,
                  routerSettings(settings, messenger_.incarnation(), gate(), state_),
                  [this](ClaimBatch batch, RouterTask::ClaimsCallback callback) {
                      commit<ClaimBatchOutcome>(std::move(batch), std::move(callback));
                  })
        , scheduler_(loop_, messenger_, schedulerOptions())
        , budget_(std::make_shared<HttpBudget>(settings.http))
        , callerServer_(loop_, router_, callerServerSettings(settings, gate(), budget_))
        , operatorServer_(loop_, state_, settings.operatorLimits, operatorServerDependencies())
        , dump_(state_)
        , diagnostics_(loop_)
        , drainTimer_(loop_, [this] { continueDrain(); })
    {}

    ExitCode run()
    {
        return runProcess(loop_, messenger_, [this] { return start(); });
    }

private:
    /** Commits a command whose outcome is of type \a Wanted. */
    template<typename Wanted>
    void commit(const State::Command &command, std::function<void(Result<Wanted>)> callback)
    {
        replica_.propose(State::encodeCommand(command),
                         [callback = std::move(callback)](Result<std::string> bytes) {
                             if (!bytes)
                                 return callback(tl::make_unexpected(bytes.error()));
                             callback(State::outcomeOf<Wanted>(*bytes));
                         });
    }

    AdmissionCheck gate()
    {
        return [this] { return configuration_.checkAdmission(); };
    }

    SchedulerTaskOptions schedulerOptions()
    {
        SchedulerTaskOptions options;
        options.scheduler.lease.length = settings_.lease.worker;
        options.book = [this]() -> const Placement::TaskBook & { return state_.tasks(); };
        options.propose = [this](Placement::TaskCommand command,
                                 std::function<void(Result<Placement::TaskOutcome>)> callback) {
            commit<Placement::TaskOutcome>(std::move(command), std::move(callback));
        };
        options.confirmLeadership = [this](ReplicaTask::ReadCallback callback) {
            replica_.readBarrier(std::move(callback));
        };
        options.isLeader = [this] { return replica_.isLeader(); };
        return options;
    }

    OperatorServerDependencies operatorServerDependencies()
    {
        OperatorServerDependencies dependencies;
        dependencies.entry = settings_.name;
        dependencies.budget = budget_;
        dependencies.propose = [this](std::string command, ReplicaTask::ProposeCallback callback) {
            replica_.propose(std::move(command), std::move(callback));
        };
        dependencies.readBarrier = [this](ReplicaTask::ReadCallback callback) {
            replica_.readBarrier(std::move(callback));
        };
        dependencies.replicaStatus = [this] { return replica_.status(); };
        dependencies.rollout = [this] { return configuration_.rollout(); };
        return dependencies;
    }

    ConfigurationTaskDependencies configurationDependencies()
    {
        ConfigurationTaskDependencies dependencies;
        dependencies.propose = [this](std::string command, ReplicaTask::ProposeCallback callback) {
            replica_.propose(std::move(command), std::move(callback));
        };
        dependencies.readBarrier = [this](ReplicaTask::ReadCallback callback) {
            replica_.readBarrier(std::move(callback));
        };
        dependencies.isLeader = [this] { return replica_.isLeader(); };
        return dependencies;
    }

    ConfigurationTaskOptions configurationOptions()
    {
        ConfigurationTaskOptions options;
        options.name = settings_.name;
        for (const auto &member : settings_.controlGroup)
            options.peers.push_back(member.name);
        options.lease = settings_.lease.configuration;
        return options;
    }

    Result<void> start()
    {
        for (const int signal : {SIGTERM, SIGINT})
            loop_.onSignal(signal, [this] { drain(); });
        if (auto listening = messenger_.listen(settings_.link); !listening)
            return tl::make_unexpected(listening.error());
        for (const auto &member : settings_.controlGroup) {
            if (member.name != settings_.name)
                messenger_.addPeer(member.name, member.address);
        }
        replica_.roleChanged.connect([this] { scheduler_.roleChanged(); });
        if (auto started = replica_.start(); !started)
            return started;
        replica_.applied.connect([this](std::uint64_t) { configuration_.stateApplied(); });
        configuration_.start();
        scheduler_.roleChanged();
        if (auto listening = operatorServer_.listen(settings_.operatorDoor); !listening)
            return tl::make_unexpected(listening.error());
        if (auto listening = callerServer_.listen(settings_.callerDoor); !listening)
            return tl::make_unexpected(listening.error());
        return {};
    }

    void drain()
    {
        if (isDraining_)
            return;
        isDraining_ = true;
        logEvent(LogEvent::ProcessStopping, Step::Leave, settings_.name,
                 {{"in_flight", callerServer_.inFlight()}});
        callerServer_.startDraining();
        drainStartedAt_ = loop_.clock().now();
        drainTimer_.startEvery(DrainPollInterval);
    }

    // Load balancers need the drain delay to notice the health change. Requests still in flight
    // after that finish by their deadlines.
    void continueDrain()
    {
        if (loop_.clock().now() - drainStartedAt_ < settings_.request.drainDelay)
            return;
        callerServer_.closeListener();
        if (callerServer_.inFlight() == 0)
            loop_.stop();
    }

    EntrySettings settings_;
    EventLoop loop_;
    Messenger messenger_;
    State::ControlState state_;
    ReplicaTask replica_;
    ConfigurationTask configuration_;
    RouterTask router_;
    SchedulerTask scheduler_;
    std::shared_ptr<HttpBudget> budget_;
    CallerServer callerServer_;
    OperatorServer operatorServer_;
    EntryDump dump_;
    ProcessDiagnostics diagnostics_;
    Timer drainTimer_;
    TimePoint drainStartedAt_{};
    bool isDraining_ = false;
};

} // namespace

int runEntry(const EntrySettings &settings)
{
    EntryProcess process(settings);
    return static_cast<int>(process.run());
}

} // namespace Oleander
