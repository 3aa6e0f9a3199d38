#pragma once

#include "Control/logentry.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace Oleander {

/** Sent by a replica with an empty data folder to its peers, to form a group or to join one. */
struct JoinRequest
{
    /** False if the sender may only join a group, for example because its data folder was emptied
     * after damage. */
    bool mayForm = false;
    std::vector<std::string> initialReplicas;
    /** Incarnations of the empty replicas from which the sender has received join requests. */
    std::map<std::string, std::uint64_t> knownIncarnations;
};

template<typename F>
void visitFields(F &&f, Fields<JoinRequest> auto &&v)
{
    f(v.mayForm);
    f(v.initialReplicas);
    f(v.knownIncarnations);
}

/** Leader to empty replica: the group has a member of this name with a higher incarnation. */
struct JoinRefusal
{
    std::uint64_t knownIncarnation = 0;
};

template<typename F>
void visitFields(F &&f, Fields<JoinRefusal> auto &&v)
{
    f(v.knownIncarnation);
}

/** Candidate to voter: requests a vote in \a electionTerm; with \a pre, a non-binding pre-vote. */
struct VoteRequest
{
    bool pre = false;
    std::uint64_t electionTerm = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
};

template<typename F>
void visitFields(F &&f, Fields<VoteRequest> auto &&v)
{
    f(v.pre);
    f(v.electionTerm);
    f(v.lastIndex);
    f(v.lastTerm);
}

/** Voter to candidate. */
struct VoteReply
{
    bool pre = false;
    std::uint64_t electionTerm = 0;
    bool granted = false;
};

template<typename F>
void visitFields(F &&f, Fields<VoteReply> auto &&v)
{
    f(v.pre);
    f(v.electionTerm);
    f(v.granted);
}

/** Leader to follower: entries after \a previousIndex; a heartbeat if there are none. */
struct AppendRequest
{
    std::uint64_t previousIndex = 0;
    std::uint64_t previousTerm = 0;
    std::uint64_t commitIndex = 0;
    /** Sending time on the leader's clock in microseconds; the reply echoes it. */
    std::int64_t stamp = 0;
    std::vector<LogEntry> entries;
};

template<typename F>
void visitFields(F &&f, Fields<AppendRequest> auto &&v)
{
    f(v.previousIndex);
    f(v.previousTerm);
    f(v.commitIndex);
    f(v.stamp);
    f(v.entries);
}

/** Follower to leader. */
struct AppendReply
{
    bool success = false;
    /** Last index that matches the leader's log and is synced to the follower's disk. */
    std::uint64_t matchIndex = 0;
    /** On failure: the previousIndex that did not match, and the next index to try. */
    std::uint64_t refusedIndex = 0;
    std::uint64_t nextIndex = 0;
    /** Stamp of the request being answered; 0 if the reply reports a later sync. */
    std::int64_t stamp = 0;
};

template<typename F>
void visitFields(F &&f, Fields<AppendReply> auto &&v)
{
    f(v.success);
    f(v.matchIndex);
    f(v.refusedIndex);
    f(v.nextIndex);
    f(v.stamp);
}

/** Leader to a follower that needs compacted entries: one chunk of the snapshot. */
struct SnapshotChunk
{
    std::uint64_t index = 0;
    std::uint64_t indexTerm = 0;
    Membership membership;
    std::uint64_t totalBytes = 0;
    std::uint64_t offset = 0;
    std::string bytes;
};

template<typename F>
void visitFields(F &&f, Fields<SnapshotChunk> auto &&v)
{
    f(v.index);
    f(v.indexTerm);
    f(v.membership);
    f(v.totalBytes);
    f(v.offset);
    f(v.bytes);
}

/** Follower to leader: number of snapshot bytes received so far. */
struct SnapshotReply
{
    std::uint64_t index = 0;
    std::uint64_t receivedBytes = 0;
};

template<typename F>
void visitFields(F &&f, Fields<SnapshotReply> auto &&v)
{
    f(v.index);
    f(v.receivedBytes);
}

/** Follower to leader: requests the index that must be applied before a read may be served. */
struct ReadRequest
{
    std::uint64_t id = 0;
};

template<typename F>
void visitFields(F &&f, Fields<ReadRequest> auto &&v)
{
    f(v.id);
}

/** Leader to follower. */
struct ReadReply
{
    std::uint64_t id = 0;
    std::uint64_t index = 0;
};

template<typename F>
void visitFields(F &&f, Fields<ReadReply> auto &&v)
{
    f(v.id);
    f(v.index);
}

/** Leader to members: it has stepped down, and \a successor should start an election at once. */
struct Resignation
{
    std::string successor;
};

template<typename F>
void visitFields(F &&f, Fields<Resignation> auto &&v)
{
    f(v.successor);
}

using ReplicaBody =
    std::variant<JoinRequest, JoinRefusal, VoteRequest, VoteReply, AppendRequest, AppendReply,
                 SnapshotChunk, SnapshotReply, ReadRequest, ReadReply, Resignation>;

/**
 * \struct ReplicaMessage
 * \brief Envelope of a replication message, with the incarnations of both data folders.
 */
struct ReplicaMessage
{
    std::uint64_t incarnation = 0;
    /** Incarnation of the intended receiver; 0 means any. */
    std::uint64_t targetIncarnation = 0;
    std::uint64_t term = 0;
    ReplicaBody body;
};

template<typename F>
void visitFields(F &&f, Fields<ReplicaMessage> auto &&v)
{
    f(v.incarnation);
    f(v.targetIncarnation);
    f(v.term);
    f(v.body);
}

} // namespace Oleander
