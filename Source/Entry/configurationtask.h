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

/** What the configuration task needs of the rest of its entry. */
struct ConfigurationTaskDependencies
{
    /** Waits until the local state is current; as ReplicaTask::readBarrier(). */
    std::function<void(ReplicaTask::ReadCallback)> readBarrier;
    /** Commits a command; as ReplicaTask::propose(). */
    std::function<void(std::string, ReplicaTask::ProposeCallback)> propose;
    std::function<bool()> isLeader;
};

struct ConfigurationTaskOptions
{
    /** Name of this entry. */
    std::string name;
    /** Names of the entries of the control group; this one may be among them. */
    std::vector<std::string> peers;
    /** Time for which a confirmed version counts as current. */
    Duration lease = std::chrono::seconds(3);
};

/**
 * \class ConfigurationTask
 * \brief Keeps the configuration of an entry in force and spreads it to the other processes.
 *
 * A version is confirmed by the read barrier of the own replica or by another entry's
 * confirmation. The task answers every process that asks, and knows from the frames it hears which
 * version is in force where.
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
    /** Takes over the configuration of the replicated state; call after every applied command. */
    void stateApplied();
    /** True while the own version is confirmed, so that this entry may admit work. */
    bool admitsWork() const;
    /** An error for whoever asks for work while none is admitted. */
    Result<void> checkAdmission() const;
    std::uint64_t version() const { return gate_.version(); }
    const ConfigurationValues &values() const { return gate_.values(); }
    /** Where the version in force at this entry is in force too. */
    ConfigurationRollout rollout() const;

    /** Emitted when another version came into force at this entry. */
    sigc::signal<void()> changed;

private:
    /** What frames told of another process. */
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
    /** Since when the version is in force here. */
    TimePoint inForceSince_{};
    bool isConfirming_ = false;
    bool isProposingConfirmation_ = false;
    std::shared_ptr<ConfigurationTask *> alive_;
};

} // namespace Oleander
