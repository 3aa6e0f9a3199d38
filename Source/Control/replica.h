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

/** Names, times and bounds of one replica. */
struct ReplicaOptions
{
    std::string name;
    /** Incarnation for a folder that has none yet; higher than any before it. */
    std::uint64_t initialIncarnation = 0;
    /** False when the folder was emptied because of damage. */
    bool mayForm = true;
    /** Replicas that form the group when every folder is empty; also whom a blank one greets. */
    std::vector<std::string> initialReplicas;
    /** True when a leader takes in any blank replica that greets it, as a learner. */
    bool acceptsUnknownReplicas = false;
    Duration heartbeatInterval = std::chrono::milliseconds(80);
    /** Shortest silence of a leader after which a replica may vote for another. */
    Duration electionTimeout = std::chrono::milliseconds(400);
    /** Share by which two replicas' clocks may drift apart. */
    unsigned driftPercent = 10;
    std::size_t maxAppendBytes = 256U << 10U;
    std::size_t maxInflightBytes = 4U << 20U;
    std::size_t snapshotChunkBytes = 256U << 10U;
    std::size_t maxCommandBytes = 4U << 20U;
    /** Uncommitted bytes at which the leader refuses proposals. */
    std::size_t maxUncommittedBytes = 64U << 20U;
    /** Compacted entries kept in memory for followers that are a little behind. */
    std::uint64_t trailingEntries = 2'000;
    std::uint64_t seed = 1;
};

enum class ReplicaRole { Follower, PreCandidate, Candidate, Leader };

/** Returns the name of \a role for status pages. */
std::string_view replicaRoleName(ReplicaRole role);

/**
 * \class Replica
 * \brief One replica of the control log: elections, replication, commit and reads.
 *
 * Pure: it is driven by messages, ticks and the news that a write is synced, and it collects what
 * is to be sent, written and applied until takeOutput(). Messages that promise something wait
 * inside until the write behind the promise is synced. Every call first compares \a now with the
 * last contact to a quorum, so a leader that was frozen steps down before it does anything else.
 */
class Replica
{
public:
    Replica(ReplicaOptions options, StoredReplica stored, TimePoint now);

    void receive(TimePoint now, const std::string &from, ReplicaMessage message);
    /** Call at least every quarter of the heartbeat interval. */
    void tick(TimePoint now);
    /** The writes up to \a sequence are synced to disk. */
    void writesSynced(TimePoint now, std::uint64_t sequence);
    /** The disk takes no writes at present, or does so again. */
    void setStorageStalled(TimePoint now, bool stalled);
    /** Greets \a names too, and, with \a rejoin, although this replica holds a log: the group
     * goes on without it, and it asks to be taken in again. */
    void setJoinTargets(std::set<std::string> names, bool rejoin);
    /** Voters that this leader has not heard for \a age. */
    std::vector<std::string> unresponsiveVoters(TimePoint now, Duration age) const;

    /** Appends \a command at the leader. */
    Result<LogPosition> propose(TimePoint now, std::string command);
    /** Starts a read; its outcome comes in ReplicaOutput::reads under \a id. */
    void read(TimePoint now, std::uint64_t id);
    /** Leads no more and hands over to the voter that has most of the log; a leader that is about
     * to stop does so, so that nobody waits for an election timeout. */
    void resign(TimePoint now);
    Result<LogPosition> addReplica(TimePoint now, const std::string &name);
    Result<LogPosition> removeReplica(TimePoint now, const std::string &name);
    /** The state machine's \a data after \a index is safe on disk; drops entries before it. */
    void compact(std::uint64_t index, std::shared_ptr<const std::string> data);

    ReplicaOutput takeOutput();

    ReplicaRole role() const { return role_; }
    /** True for a leader that no other can have replaced yet and that may serve reads. */
    bool holdsLease(TimePoint now) const;
    const std::string &leader() const { return leader_; }
    std::uint64_t term() const { return hardState_.term; }
    std::uint64_t incarnation() const { return hardState_.incarnation; }
    std::uint64_t commitIndex() const { return commitIndex_; }
    std::uint64_t snapshotIndex() const { return snapshot_.index; }
    const ReplicaLog &log() const { return log_; }
    const Membership &membership() const { return memberships_.back().membership; }
    /** Membership in force at \a index, which is not compacted. */
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
        /** Follower that asked, or empty for a local read. */
        std::string from;
        std::uint64_t fromIncarnation = 0;
        TimePoint askedAt;
    };
    struct ForwardedRead
    {
        std::uint64_t id = 0;
        TimePoint askedAt;
        /** Index to reach, once the leader told it. */
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

    // Shared by all roles (replica.cpp).
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

    // Elections and forming a group (replicaelection.cpp).
    void startPreVote(TimePoint now);
    void startElection(TimePoint now);
    void countVotes(TimePoint now);
    void becomeLeader(TimePoint now);
    void requestVotes(bool pre);
    bool isVotingBlocked(TimePoint now) const;
    void sendJoinRequests(TimePoint now);
    void formGroup(TimePoint now);
    bool confirmsOwnIncarnation(const ReceivedJoinRequest &greeting, TimePoint now) const;
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

    // Writes on their way to disk.
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
