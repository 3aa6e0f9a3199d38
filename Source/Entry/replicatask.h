#pragma once

#include "Base/clock.h"
#include "Base/error.h"
#include "Control/statemachine.h"
#include "Runtime/eventloop.h"

#include <sigc++/sigc++.h>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Oleander {

class Messenger;

/** Data folder, peers and timing of a replica. */
struct ReplicaTaskOptions
{
    /** Name by which the peers know this process. */
    std::string name;
    /** Data folder; empty for an entry that only forwards to the replicas. */
    std::string folder;
    /** Names of the replicas that form the group if all their folders are empty. */
    std::vector<std::string> replicas;
    /** False if a replica with an empty folder must join a group instead of forming one. */
    bool mayForm = true;
    /** True if a leader adds any replica without a log that sends it a join request. */
    bool acceptsUnknownReplicas = false;
    Duration heartbeatInterval = std::chrono::milliseconds(80);
    /** Minimum time without contact to the leader after which a replica may vote for another. */
    Duration electionTimeout = std::chrono::milliseconds(400);
    /** Longest wait of a proposal for a leader, and then for its commit at the leader. */
    Duration proposeTimeout = std::chrono::seconds(5);
    /** Longest wait of a read for a leader and a quorum. */
    Duration readTimeout = std::chrono::seconds(2);
    /** Committed entries between two snapshots. */
    std::uint64_t snapshotEntries = 20'000;
    /** Bytes of commands between two snapshots. */
    std::uint64_t snapshotBytes = 16U << 20U;
};

/** Status of a replica, as shown to operators. */
struct ReplicaStatus
{
    std::string role;
    std::string leader;
    std::uint64_t term = 0;
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t snapshotIndex = 0;
    std::vector<std::string> voters;
    std::vector<std::string> learners;
    /** Reason why storage fails, or empty. */
    std::string storageError;
};

/**
 * \class ReplicaTask
 * \brief Replicates a StateMachine: connects Control's Replica to the event loop, the messenger and
 * the data folder.
 *
 * Must be used on the thread of the loop. Every callback is called exactly once, on that thread,
 * and never from within the call that it was passed to.
 */
class ReplicaTask
{
public:
    using ProposeCallback = std::function<void(Result<std::string>)>;
    using ReadCallback = std::function<void(Result<void>)>;

    ReplicaTask(EventLoop &loop, Messenger &messenger, StateMachine &machine,
                ReplicaTaskOptions options);
    ~ReplicaTask();
    ReplicaTask(const ReplicaTask &) = delete;
    ReplicaTask &operator=(const ReplicaTask &) = delete;

    /** Opens the data folder, restores the state machine, and starts the timers. */
    Result<void> start();

    /**
     * Commits \a command and calls back with what apply() returned. A follower forwards to the
     * leader. Failure::Unknown means that the command may still commit; every other failure
     * guarantees that it will not.
     */
    void propose(std::string command, ProposeCallback callback);
    /** Like propose(), but fails with Failure::NotLeader if this replica is not the leader. */
    void proposeLocally(std::string command, ProposeCallback callback);
    /** Calls back once the local state machine has applied everything committed before the call. */
    void readBarrier(ReadCallback callback);

    /** True while this replica leads and holds its lease. */
    bool isLeader() const;
    /** Name of the leader, or an empty string if it is unknown. */
    std::string leaderName() const;
    ReplicaStatus status() const;

    /** Adds \a name as a learner, which becomes a voter once it has caught up. Leader only. */
    Result<void> addReplica(const std::string &name);
    /** Removes \a name from the group. Leader only. */
    Result<void> removeReplica(const std::string &name);
    /** Hands leadership over to another replica, before the process stops. */
    void resign();
    /** Voters without contact to this leader for \a age; empty on a follower. */
    std::vector<std::string> unresponsiveVoters(Duration age) const;
    /** See Replica::setJoinTargets(). */
    void setJoinTargets(std::set<std::string> names, bool rejoin);

    /** Emitted when this replica becomes the leader or stops being the leader. */
    sigc::signal<void()> roleChanged;
    /** Emitted with the index of the last applied entry. */
    sigc::signal<void(std::uint64_t)> applied;

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace Oleander
