#pragma once

#include "Base/clock.h"
#include "Base/error.h"
#include "Control/replicalog.h"
#include "Control/replicamessage.h"
#include "Control/replicaoutput.h"
#include "Control/replicaprogress.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Oleander {

/** Configuration of one replica. */
struct ReplicaOptions
{
    std::string name;
    /** Incarnation for a data folder without one; higher than any used before. */
    std::uint64_t initialIncarnation = 0;
    /** False if the replica may only join a group, for example because its data folder was emptied
     * after damage. */
    bool mayForm = true;
    /** Replicas that form the group if all their data folders are empty. An empty replica sends its
     * join requests to them. */
    std::vector<std::string> initialReplicas;
    /** True if a leader adds any empty replica that sends a join request, as a learner. */
    bool acceptsUnknownReplicas = false;
    Duration heartbeatInterval = std::chrono::milliseconds(80);
    /** Minimum time without contact to the leader before a replica may vote for another. */
    Duration electionTimeout = std::chrono::milliseconds(400);
    /** Maximum relative drift between the clocks of two replicas, in percent. */
    unsigned driftPercent = 10;
    std::size_t maxAppendBytes = 256U << 10U;
    std::size_t maxInflightBytes = 4U << 20U;
    std::size_t snapshotChunkBytes = 256U << 10U;
    std::size_t maxCommandBytes = 4U << 20U;
    /** Limit of uncommitted bytes; the leader rejects proposals that would exceed it. */
    std::size_t maxUncommittedBytes = 64U << 20U;
    /** Entries before the snapshot index kept in memory for followers that lag only a little. */
    std::uint64_t trailingEntries = 2'000;
    std::uint64_t seed = 1;
};

enum class ReplicaRole { Follower, PreCandidate, Candidate, Leader };

/** Returns the name of \a role as shown in status output. */
std::string_view replicaRoleName(ReplicaRole role);

/**
 * \class Replica
 * \brief One replica of the control log: elections, replication, commit and reads.
 *
 * Performs no I/O: it is driven by messages, ticks and completed syncs, and collects everything to
 * send, write and apply until takeOutput() is called. Messages are deferred while a change of the
 * hard state is not synced, and acknowledgements cover synced entries only. Every call first checks
 * the time of the last contact to a quorum, so a leader that was frozen steps down before it does
 * anything else.
 */
class Replica
{
public:
    Replica(ReplicaOptions options, StoredReplica stored, TimePoint now);

    void receive(TimePoint now, const std::string &from, ReplicaMessage message);
    /** Advances timers; must be called at least every quarter of the heartbeat interval. */
    void tick(TimePoint now);
    /** Reports that all writes up to \a sequence are synced to disk. */
    void writesSynced(TimePoint now, std::uint64_t sequence);
    /** Reports whether writes are currently blocked, for example by a full disk. */
    void setStorageStalled(TimePoint now, bool stalled);
    /** Sends join requests to \a names as well as to the initial replicas while this replica has no
     * log or knows no leader; with \a rejoin also otherwise, because the group has removed it. */
    void setJoinTargets(std::set<std::string> names, bool rejoin);
    /** Voters that have not replied to this leader for longer than \a age. */
    std::vector<std::string> unresponsiveVoters(TimePoint now, Duration age) const;

    /** Appends \a command to the log; fails unless this replica is the leader. */
    Result<LogPosition> propose(TimePoint now, std::string command);
    /** Starts a linearizable read; ReplicaOutput::reads reports its outcome under \a id. */
    void read(TimePoint now, std::uint64_t id);
    /** Steps down and asks the most up-to-date voter to start an election. A leader calls this
     * before it shuts down, to avoid waiting for an election timeout. */
    void resign(TimePoint now);
    Result<LogPosition> addReplica(TimePoint now, const std::string &name);
    Result<LogPosition> removeReplica(TimePoint now, const std::string &name);
    /** Reports that the snapshot \a data at \a index is synced to disk. Drops all earlier entries
     * but the last ReplicaOptions::trailingEntries. */
    void compact(std::uint64_t index, std::shared_ptr<const std::string> data);

    ReplicaOutput takeOutput();

    ReplicaRole role() const { return role_; }
    /** True if this replica is the leader, no other can have been elected yet, and reads may be
     * served without a round trip. */
    bool holdsLease(TimePoint now) const;
    const std::string &leader() const { return leader_; }
    std::uint64_t term() const { return hardState_.term; }
    std::uint64_t incarnation() const { return hardState_.incarnation; }
    std::uint64_t commitIndex() const { return commitIndex_; }
    std::uint64_t snapshotIndex() const { return snapshot_.index; }
    const ReplicaLog &log() const { return log_; }
    const Membership &membership() const { return memberships_.back().membership; }
    /** Membership in force at \a index, which must not be compacted. */
    const Membership &membershipAt(std::uint64_t index) const;

private:
    struct MembershipAt
    {
        std::uint64_t index = 0;
        Membership membership;
    };
    struct DeferredMessage
    {
        std::uint64_t sequence = 0;
        OutgoingReplicaMessage message;
    };
    struct PendingWrite
    {
        std::uint64_t sequence = 0;
        std::uint64_t lastIndex = 0;
    };
    struct PendingRead
    {
        std::uint64_t id = 0;
        /** Follower that sent the request; empty for a local read. */
        std::string from;
        std::uint64_t fromIncarnation = 0;
        TimePoint startedAt;
    };
    struct ForwardedRead
    {
        std::uint64_t id = 0;
        TimePoint startedAt;
        /** Index that must be committed before the read is served; set by the leader's reply. */
        std::optional<std::uint64_t> index;
    };
    struct ReceivedJoinRequest
    {
        std::uint64_t incarnation = 0;
        TimePoint at;
        JoinRequest joinRequest;
    };
    struct IncomingSnapshot
    {
        std::uint64_t index = 0;
        std::uint64_t term = 0;
        std::string bytes;
    };

    // All roles (replica.cpp).
    void stepDownWithoutQuorum(TimePoint now);
    bool processTerm(TimePoint now, const std::string &from, const ReplicaMessage &message);
    void becomeFollower(TimePoint now, std::uint64_t term, const std::string &leader);
    void setHardState(HardState state);
    WriteBatch &pendingWrite();
    void appendEntry(LogEntry entry);
    void truncateFrom(std::uint64_t index);
    void recordMembership(std::uint64_t index, const LogEntry &entry);
    void send(const std::string &to, std::uint64_t targetIncarnation, ReplicaBody body);
    void commitTo(std::uint64_t index);
    void failReads();
    void resetElectionDeadline(TimePoint now);
    std::uint64_t random(std::uint64_t bound);
    std::uint64_t syncedMatchIndex() const;
    bool isEmpty() const;
    bool isVoter() const;

    // Elections and group formation (replicaelection.cpp).
    void startPreVote(TimePoint now);
    void startElection(TimePoint now);
    void countVotes(TimePoint now);
    void becomeLeader(TimePoint now);
    void requestVotes(bool pre);
    bool isVotingBlocked(TimePoint now) const;
    void sendJoinRequests(TimePoint now);
    void formGroup(TimePoint now);
    bool confirmsOwnIncarnation(const ReceivedJoinRequest &received, TimePoint now) const;
    void onBody(TimePoint now, const std::string &from, const ReplicaMessage &message,
                const JoinRequest &body);
    void onBody(TimePoint now, const std::string &from, const ReplicaMessage &message,
                const JoinRefusal &body);
    void onBody(TimePoint now, const std::string &from, const ReplicaMessage &message,
                const VoteRequest &body);
    void onBody(TimePoint now, const std::string &from, const ReplicaMessage &message,
                const VoteReply &body);
    void onBody(TimePoint now, const std::string &from, const ReplicaMessage &message,
                const Resignation &body);

    // Follower (replicafollower.cpp).
    void acceptEntries(std::uint64_t previousIndex, std::vector<LogEntry> entries);
    void installSnapshot(const SnapshotChunk &chunk);
    void finishSnapshotInstall();
    void sendAppendReply(std::int64_t stamp);
    void finishForwardedReads(TimePoint now);
    void onBody(TimePoint now, const std::string &from, const ReplicaMessage &message,
                const AppendRequest &body);
    void onBody(TimePoint now, const std::string &from, const ReplicaMessage &message,
                const SnapshotChunk &body);
    void onBody(TimePoint now, const std::string &from, const ReplicaMessage &message,
                const ReadReply &body);

    // Leader (replicaleader.cpp).
    TimePoint lastQuorumContact(TimePoint now) const;
    void refreshProgress();
    void replicate(TimePoint now);
    void replicateTo(TimePoint now, const std::string &name, ReplicaProgress &progress);
    void sendHeartbeats(TimePoint now);
    void sendHeartbeat(TimePoint now, const std::string &name, const ReplicaProgress &progress);
    void sendChunk(TimePoint now, const std::string &name, ReplicaProgress &progress);
    void advanceCommit(TimePoint now);
    void finishReads(TimePoint now);
    void promoteLearners(TimePoint now);
    Result<LogPosition> changeMembership(TimePoint now, const Membership &next);
    ReplicaProgress *findProgress(const std::string &from, std::uint64_t incarnation);
    void onBody(TimePoint now, const std::string &from, const ReplicaMessage &message,
                const AppendReply &body);
    void onBody(TimePoint now, const std::string &from, const ReplicaMessage &message,
                const SnapshotReply &body);
    void onBody(TimePoint now, const std::string &from, const ReplicaMessage &message,
                const ReadRequest &body);

    ReplicaOptions options_;
    HardState hardState_;
    ReplicaLog log_;
    Snapshot snapshot_;
    std::vector<MembershipAt> memberships_;
    ReplicaRole role_ = ReplicaRole::Follower;
    std::string leader_;
    std::uint64_t randomState_;
    std::uint64_t commitIndex_ = 0;
    std::uint64_t emittedIndex_ = 0;
    bool storageStalled_ = false;

    // Writes that are not synced yet.
    std::uint64_t nextSequence_ = 1;
    std::uint64_t syncedSequence_ = 0;
    std::uint64_t hardStateSequence_ = 0;
    std::uint64_t syncedIndex_ = 0;
    std::vector<PendingWrite> pendingWrites_;
    std::vector<DeferredMessage> deferredMessages_;

    // Voter and candidate.
    TimePoint voteAllowedAt_;
    TimePoint electionDeadline_;
    std::set<std::string> votes_;
    std::map<std::string, ReceivedJoinRequest> joinRequests_;
    TimePoint nextJoinRequest_;
    std::set<std::string> extraJoinTargets_;
    bool isRejoining_ = false;

    // Follower.
    std::uint64_t leaderIncarnation_ = 0;
    std::uint64_t matchedIndex_ = 0;
    std::uint64_t reportedMatchIndex_ = 0;
    IncomingSnapshot incomingSnapshot_;
    std::optional<Snapshot> installingSnapshot_;
    std::uint64_t installSequence_ = 0;
    std::vector<ForwardedRead> forwardedReads_;

    // Leader.
    std::map<std::string, ReplicaProgress> progress_;
    TimePoint leaderSince_;
    std::uint64_t termStartIndex_ = 0;
    TimePoint nextHeartbeat_;
    std::vector<PendingRead> pendingReads_;
    std::size_t uncommittedBytes_ = 0;

    ReplicaOutput output_;
};

} // namespace Oleander
