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

/** Where a replica keeps its state, who its peers are, and its times. */
struct ReplicaTaskOptions
{
    /** Name of this process, as its peers know it. */
    std::string name;
    /** Data folder; empty for an entry that only forwards to the replicas. */
    std::string folder;
    /** Names of the replicas that form the group when all their folders are empty. */
    std::vector<std::string> replicas;
    /** False when an empty folder must join a group and never form one. */
    bool mayForm = true;
    /** True when a leader takes in any blank replica that greets it. */
    bool acceptsUnknownReplicas = false;
    Duration heartbeatInterval = std::chrono::milliseconds(80);
    /** Shortest silence of a leader after which a replica may vote for another. */
    Duration electionTimeout = std::chrono::milliseconds(400);
    /** Longest wait of a proposal for a leader, and then for its commit. */
    Duration proposeTimeout = std::chrono::seconds(5);
    /** Longest wait of a read for a leader and a quorum. */
    Duration readTimeout = std::chrono::seconds(2);
    /** Committed entries between two snapshots. */
    std::uint64_t snapshotEntries = 20'000;
    /** Bytes of commands between two snapshots. */
    std::uint64_t snapshotBytes = 16U << 20U;
};

/** What operators see of a replica. */
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
    /** Why nothing can be stored, or empty. */
    std::string storageError;
};

/**
 * \class ReplicaTask
 * \brief Keeps a StateMachine replicated: drives Control's Replica with the loop's time, the
 * messenger's frames and the data folder.
 *
 * Belongs to the loop's thread. Every callback is called exactly once, on that thread, and never
 * from inside the call that took it.
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
     * leader. Failure::Unknown means that the command may still commit; every other failure means
     * that it surely will not.
     */
    void propose(std::string command, ProposeCallback callback);
    /** Like propose(), but fails with Failure::NotLeader where this replica does not lead. */
    void proposeLocally(std::string command, ProposeCallback callback);
    /** Calls back once the local state machine holds all that was committed at the call. */
    void readBarrier(ReadCallback callback);

    /** True while this replica leads and holds its lease. */
    bool isLeader() const;
    /** Name of the leader, or an empty string while none is known. */
    std::string leaderName() const;
    ReplicaStatus status() const;

    /** Adds \a name as a learner, which becomes a voter once it has caught up. Leader only. */
    Result<void> addReplica(const std::string &name);
    /** Removes \a name from the group. Leader only. */
    Result<void> removeReplica(const std::string &name);
    /** Hands a leadership over; for a process that is about to stop. */
    void resign();
    /** Voters that this leader has not heard for \a age; empty on a follower. */
    std::vector<std::string> unresponsiveVoters(Duration age) const;
    /** See Replica::setJoinTargets(). */
    void setJoinTargets(std::set<std::string> names, bool rejoin);

    /** Emitted when this replica becomes the leader or ceases to be it. */
    sigc::signal<void()> roleChanged;
    /** Emitted with the index of the last applied entry. */
    sigc::signal<void(std::uint64_t)> applied;

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace Oleander
