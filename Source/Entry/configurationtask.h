#pragma once

#include "Configuration/configurationfollower.h"
#include "Configuration/configurationgate.h"
#include "Entry/configurationrollout.h"
#include "Entry/replicatask.h"
#include "Runtime/eventloop.h"
#include "Runtime/messenger.h"
#include "State/controlstate.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Oleander {

/** Operations of the entry that the configuration task uses. */
struct ConfigurationTaskDependencies
{
    /** Waits until the local state is current; see ReplicaTask::readBarrier(). */
    std::function<void(ReplicaTask::ReadCallback)> readBarrier;
    /** Commits a command; see ReplicaTask::propose(). */
    std::function<void(std::string, ReplicaTask::ProposeCallback)> propose;
    std::function<bool()> isLeader;
};

struct ConfigurationTaskOptions
{
    /** Name of this entry. */
    std::string name;
    /** Names of the entries of the control group; may include this entry. */
    std::vector<std::string> peers;
    /** Time for which a confirmed version counts as current. */
    Duration lease = std::chrono::seconds(3);
};

/**
 * \class ConfigurationTask
 * \brief Applies the replicated configuration at an entry and distributes it to other processes.
 *
 * A version is confirmed by a read barrier of the local replica or by another entry's confirmation.
 * The task answers the pulls of other processes and tracks the version of each process from the
 * headers of the frames it receives.
 */
class ConfigurationTask
{
public:
    ConfigurationTask(EventLoop &loop, Messenger &messenger, const State::ControlState &state,
                      ConfigurationTaskDependencies dependencies, ConfigurationTaskOptions options);
    ~ConfigurationTask();
    ConfigurationTask(const ConfigurationTask &) = delete;
    ConfigurationTask &operator=(const ConfigurationTask &) = delete;

    void start();
    /** Applies the configuration of the replicated state; call after every applied command. */
    void stateApplied();
    /** True while the local version is confirmed, so that this entry may admit work. */
    bool admitsWork() const;
    /** Fails with the reason while this entry may not admit work. */
    Result<void> checkAdmission() const;
    std::uint64_t version() const { return gate_.version(); }
    const ConfigurationValues &values() const { return gate_.values(); }
    /** Progress of the local version across all processes. */
    ConfigurationRollout rollout() const;

    /** Emitted when the version in force at this entry changes. */
    sigc::signal<void()> changed;

private:
    /** State of another process, from the frames received from it. */
    struct Peer
    {
        std::uint64_t version = 0;
        TimePoint lastReceivedAt{};
    };

    void tick();
    void confirmVersion();
    void handleVersionChange();
    void proposeConfirmation();
    void recordPeerVersion(const Sender &sender);
    void answerPull(const Sender &from, const ConfigurationPull &pull);
    void removeSilentPeers();

    EventLoop &loop_;
    Messenger &messenger_;
    const State::ControlState &state_;
    ConfigurationTaskDependencies dependencies_;
    ConfigurationTaskOptions options_;
    ConfigurationGate gate_;
    ConfigurationFollower follower_;
    Timer timer_;
    std::map<std::string, Peer> peers_;
    TimePoint startedAt_{};
    /** Time at which the current version came into force at this entry. */
    TimePoint inForceSince_{};
    bool isConfirming_ = false;
    bool isProposingConfirmation_ = false;
    std::shared_ptr<ConfigurationTask *> alive_;
};

} // namespace Oleander
