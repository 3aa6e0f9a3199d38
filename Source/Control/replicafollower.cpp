#include "Control/replica.h"

#include <algorithm>

namespace Oleander {

namespace {

/** Election timeouts after which a read forwarded to the leader fails. */
constexpr int ForwardedReadLifetime = 2;

} // namespace

void Replica::onBody(TimePoint now, const std::string &from, const ReplicaMessage &message,
                     const AppendRequest &body)
{
    becomeFollower(now, message.term, from);
    leaderIncarnation_ = message.incarnation;
    voteAllowedAt_ = now + options_.electionTimeout;
    resetElectionDeadline(now);
    if (installingSnapshot_ || (storageStalled_ && !body.entries.empty())) {
        sendAppendReply(body.stamp);
        return;
    }
    const auto previousTerm = log_.termAt(body.previousIndex);
    const bool compacted = body.previousIndex < log_.baseIndex();
    if (!compacted && previousTerm != body.previousTerm) {
        AppendReply refusal;
        refusal.refusedIndex = body.previousIndex;
        refusal.matchIndex = syncedMatchIndex();
        refusal.nextIndex =
            previousTerm ? log_.firstIndexOfTermAt(body.previousIndex) : log_.lastIndex() + 1;
        refusal.stamp = body.stamp;
        send(from, message.incarnation, refusal);
        return;
    }
    const std::uint64_t lastBefore = log_.lastIndex();
    const std::uint64_t matched = body.previousIndex + body.entries.size();
    acceptEntries(body.previousIndex, body.entries);
    matchedIndex_ = std::max(matchedIndex_, matched);
    commitTo(std::min(body.commitIndex, matched));
    finishForwardedReads(now);
    // New entries are acknowledged once they are synced; see writesSynced().
    if (body.entries.empty() || log_.lastIndex() == lastBefore
        || syncedMatchIndex() > reportedMatchIndex_)
        sendAppendReply(body.stamp);
}

void Replica::acceptEntries(std::uint64_t previousIndex, std::vector<LogEntry> entries)
{
    std::uint64_t index = previousIndex;
    for (LogEntry &entry : entries) {
        ++index;
        // Compacted entries are committed and therefore equal to those of the leader.
        if (index <= log_.baseIndex())
            continue;
        const auto term = log_.termAt(index);
        if (term == entry.term)
            continue;
        if (term)
            truncateFrom(index);
        appendEntry(std::move(entry));
    }
}

void Replica::sendAppendReply(std::int64_t stamp)
{
    reportedMatchIndex_ = syncedMatchIndex();
    AppendReply reply;
    reply.success = true;
    reply.matchIndex = reportedMatchIndex_;
    reply.stamp = stamp;
    send(leader_, leaderIncarnation_, reply);
}

void Replica::onBody(TimePoint now, const std::string &from, const ReplicaMessage &message,
                     const SnapshotChunk &body)
{
    becomeFollower(now, message.term, from);
    leaderIncarnation_ = message.incarnation;
    voteAllowedAt_ = now + options_.electionTimeout;
    resetElectionDeadline(now);
    if (installingSnapshot_ || storageStalled_)
        return;
    if (body.index <= commitIndex_ || log_.termAt(body.index) == body.indexTerm) {
        // The log already contains the snapshot's last entry, so it is committed up to there.
        commitTo(body.index);
        matchedIndex_ = std::max(matchedIndex_, body.index);
        sendAppendReply(0);
        return;
    }
    if (incomingSnapshot_.index != body.index || incomingSnapshot_.term != body.indexTerm)
        incomingSnapshot_ = {body.index, body.indexTerm, {}};
    if (body.offset == incomingSnapshot_.bytes.size())
        incomingSnapshot_.bytes += body.bytes;
    const std::uint64_t received = incomingSnapshot_.bytes.size();
    if (received >= body.totalBytes)
        installSnapshot(body);
    send(from, message.incarnation, SnapshotReply{body.index, received});
}

void Replica::installSnapshot(const SnapshotChunk &chunk)
{
    installingSnapshot_ =
        Snapshot{chunk.index, chunk.indexTerm, chunk.membership,
                 std::make_shared<const std::string>(std::move(incomingSnapshot_.bytes))};
    incomingSnapshot_ = {};
    WriteBatch &write = pendingWrite();
    write.entries.clear();
    write.snapshot = installingSnapshot_;
    installSequence_ = nextSequence_;
}

void Replica::finishSnapshotInstall()
{
    snapshot_ = std::move(*installingSnapshot_);
    installingSnapshot_.reset();
    log_ = ReplicaLog(snapshot_.index, snapshot_.term);
    memberships_ = {{snapshot_.index, snapshot_.membership}};
    commitIndex_ = snapshot_.index;
    emittedIndex_ = snapshot_.index;
    syncedIndex_ = snapshot_.index;
    // The indexes of later writes are those of the replaced log.
    for (PendingWrite &write : pendingWrites_)
        write.lastIndex = snapshot_.index;
    matchedIndex_ = std::max(matchedIndex_, snapshot_.index);
    output_.restore = snapshot_;
}

void Replica::read(TimePoint now, std::uint64_t id)
{
    stepDownWithoutQuorum(now);
    if (role_ == ReplicaRole::Leader) {
        pendingReads_.push_back({id, {}, 0, now});
        finishReads(now);
        // Without a lease the read waits until a quorum acknowledges a heartbeat sent from now on.
        if (!pendingReads_.empty())
            sendHeartbeats(now);
    } else if (!leader_.empty()) {
        forwardedReads_.push_back({id, now, std::nullopt});
        send(leader_, leaderIncarnation_, ReadRequest{id});
    } else {
        output_.reads.push_back({id, false});
    }
}

void Replica::onBody(TimePoint now, const std::string &, const ReplicaMessage &,
                     const ReadReply &body)
{
    for (ForwardedRead &read : forwardedReads_) {
        if (read.id == body.id && !read.index)
            read.index = body.index;
    }
    finishForwardedReads(now);
}

void Replica::finishForwardedReads(TimePoint now)
{
    const auto finished = [&](const ForwardedRead &read) {
        const bool reached = read.index && commitIndex_ >= *read.index;
        const bool late = now >= read.startedAt + ForwardedReadLifetime * options_.electionTimeout;
        if (reached || late)
            output_.reads.push_back({read.id, reached});
        return reached || late;
    };
    forwardedReads_.erase(std::remove_if(forwardedReads_.begin(), forwardedReads_.end(), finished),
                          forwardedReads_.end());
}

} // namespace Oleander
