#include "Entry/configurationtask.h"

#include <algorithm>

namespace Oleander {

namespace {

/** Confirmation attempts per lease. */
constexpr int ConfirmationsPerLease = 6;
/** Two clocks may drift apart by at most 1/20 of a lease within one lease. */
constexpr int ClockDriftDivisor = 20;
/** Time without frames after which a process that is not an entry is no longer tracked. */
constexpr Duration PeerRetention = std::chrono::minutes(10);

std::vector<std::string> namesExcept(std::vector<std::string> names, const std::string &name)
{
    names.erase(std::remove(names.begin(), names.end(), name), names.end());
    return names;
}

} // namespace

ConfigurationTask::ConfigurationTask(EventLoop &loop, Messenger &messenger,
                                     const State::ControlState &state,
                                     ConfigurationTaskDependencies dependencies,
                                     ConfigurationTaskOptions options)
    : loop_(loop)
    , messenger_(messenger)
    , state_(state)
    , dependencies_(std::move(dependencies))
    , options_(std::move(options))
    , gate_(options_.lease, loop.clock().now())
    , follower_(
          loop, messenger, gate_,
          {namesExcept(options_.peers, options_.name), options_.lease / ConfirmationsPerLease})
    , timer_(loop, [this] { tick(); })
    , startedAt_(loop.clock().now())
    , inForceSince_(loop.clock().now())
    , alive_(std::make_shared<ConfigurationTask *>(this))
{
    for (const auto &peer : namesExcept(options_.peers, options_.name))
        peers_[peer] = {0, loop_.clock().now()};
    follower_.changed.connect([this] { handleVersionChange(); });
    messenger_.frameReceived.connect([weak = std::weak_ptr(alive_)](const Sender &sender) {
        if (const auto self = weak.lock())
            (*self)->recordPeerVersion(sender);
    });
    messenger_.on<ConfigurationPull>(
        [weak = std::weak_ptr(alive_)](const Sender &from, ConfigurationPull &&pull) {
            if (const auto self = weak.lock())
                (*self)->answerPull(from, pull);
        });
}

ConfigurationTask::~ConfigurationTask() = default;

void ConfigurationTask::start()
{
    stateApplied();
    follower_.start();
    confirmVersion();
    timer_.startEvery(options_.lease / ConfirmationsPerLease);
}

void ConfigurationTask::stateApplied()
{
    const auto &configuration = state_.configuration();
    if (!gate_.update(configuration.version, configuration.values, std::nullopt))
        return;
    follower_.logApplied();
    handleVersionChange();
}

bool ConfigurationTask::admitsWork() const
{
    return gate_.admitsWork(loop_.clock().now());
}

Result<void> ConfigurationTask::checkAdmission() const
{
    return gate_.checkAdmission(loop_.clock().now());
}

void ConfigurationTask::tick()
{
    confirmVersion();
    // The pull also informs the other entries of the local version.
    for (const auto &peer : namesExcept(options_.peers, options_.name))
        static_cast<void>(messenger_.send(peer, ConfigurationPull{gate_.version(), 0}));
    removeSilentPeers();
    proposeConfirmation();
}

void ConfigurationTask::confirmVersion()
{
    if (isConfirming_)
        return;
    isConfirming_ = true;
    // After the barrier, the state is at least as new as what a quorum had committed at its start.
    const auto startedAt = loop_.clock().now();
    dependencies_.readBarrier([weak = std::weak_ptr(alive_), startedAt](const Result<void> &read) {
        const auto locked = weak.lock();
        if (!locked)
            return;
        auto &self = **locked;
        self.isConfirming_ = false;
        const auto &configuration = self.state_.configuration();
        if (!read || !self.gate_.update(configuration.version, configuration.values, startedAt))
            return;
        self.follower_.logApplied();
        self.handleVersionChange();
    });
}

void ConfigurationTask::handleVersionChange()
{
    inForceSince_ = loop_.clock().now();
    messenger_.setConfigurationVersion(gate_.version());
    // A process that learns of a newer version pulls it immediately.
    for (const auto &[name, peer] : peers_) {
        if (peer.version < gate_.version())
            static_cast<void>(messenger_.send(name, ConfigurationPull{gate_.version(), 0}));
    }
    changed.emit();
}

void ConfigurationTask::recordPeerVersion(const Sender &sender)
{
    auto &peer = peers_[sender.name];
    // A restarted process starts at version 0 and admits no work until it has caught up, so a lower
    // version replaces the recorded one.
    peer = {sender.configurationVersion, loop_.clock().now()};
}

void ConfigurationTask::answerPull(const Sender &from, const ConfigurationPull &pull)
{
    if (pull.stamp == 0)
        return;
    // The next pull makes up for a lost answer. An answer must not reach a later incarnation of the
    // process, which lacks the version that the pull named as known.
    static_cast<void>(messenger_.send(
        from.name, makeConfigurationPush(pull, gate_, loop_.clock().now()), from.incarnation));
}

ConfigurationRollout ConfigurationTask::rollout() const
{
    const auto now = loop_.clock().now();
    ConfigurationRollout rollout;
    rollout.version = gate_.version();
    rollout.isConfirmedLocally = gate_.admitsWork(now);
    rollout.inForce.push_back(options_.name);
    // A process with an older version cannot have confirmed it after this version was accepted, so
    // its lease ends at most one lease plus the clock drift after that time.
    const auto longestLease = options_.lease + options_.lease / ClockDriftDivisor;
    const auto lastLeaseEnd = inForceSince_ + longestLease;
    // A process renews its lease within the lease length, so after that time each process has
    // either contacted this entry or lost its lease.
    rollout.knowsAllProcesses = now >= startedAt_ + longestLease;
    for (const auto &[name, peer] : peers_) {
        if (peer.version >= rollout.version)
            rollout.inForce.push_back(name);
        else if (now < lastLeaseEnd)
            rollout.waitingFor.push_back(name);
        else
            rollout.leaseExpired.push_back(name);
    }
    return rollout;
}

void ConfigurationTask::proposeConfirmation()
{
    const auto current = rollout();
    const bool isUnconfirmed = current.version > 0
                               && current.version == state_.configuration().version
                               && current.version > state_.confirmedConfiguration();
    if (!isUnconfirmed || isProposingConfirmation_ || !current.isInForceEverywhere()
        || !dependencies_.isLeader())
        return;
    isProposingConfirmation_ = true;
    const State::ConfirmConfiguration command{current.version, current.inForce.size(),
                                              loop_.clock().wallNow()};
    dependencies_.propose(State::encodeCommand(command),
                          [weak = std::weak_ptr(alive_)](const Result<std::string> &) {
                              if (const auto self = weak.lock())
                                  (*self)->isProposingConfirmation_ = false;
                          });
}

void ConfigurationTask::removeSilentPeers()
{
    const auto now = loop_.clock().now();
    std::erase_if(peers_, [&](const auto &item) {
        const bool isEntry = std::find(options_.peers.begin(), options_.peers.end(), item.first)
                             != options_.peers.end();
        return !isEntry && now - item.second.lastReceivedAt > PeerRetention;
    });
}

} // namespace Oleander
