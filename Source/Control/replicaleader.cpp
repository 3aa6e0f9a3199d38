#include "Control/replica.h"
#include "Protocol/codec.h"

#include <fmt/format.h>

#include <algorithm>

namespace Oleander {

namespace {

/** Heartbeat intervals after which an unacknowledged snapshot chunk is sent again. */
constexpr int ChunkRetryIntervals = 3;
/** Base of ReplicaOptions::driftPercent. */
constexpr int PercentBase = 100;

std::int64_t stampOf(TimePoint time)
{
    return time.time_since_epoch().count();
}

} // namespace

TimePoint Replica::lastQuorumContact(TimePoint now) const
{
    std::vector<TimePoint> contacts;
    for (const Member &member : membership().members) {
        if (!member.voter)
            continue;
        const auto found = progress_.find(member.name);
        if (member.name == options_.name)
            contacts.push_back(now);
        else
            contacts.push_back(found == progress_.end() ? TimePoint()
                                                        : found->second.lastContactAt);
    }
    const std::size_t quorum = membership().quorum();
    if (contacts.size() < quorum)
        return {};
    std::sort(contacts.begin(), contacts.end(), std::greater<>());
    return contacts[quorum - 1];
}

std::vector<std::string> Replica::unresponsiveVoters(TimePoint now, Duration age) const
{
    std::vector<std::string> unresponsive;
    for (const Member &member : membership().members) {
        const auto found = progress_.find(member.name);
        const TimePoint contact =
            found == progress_.end() ? TimePoint() : found->second.lastContactAt;
        if (member.voter && member.name != options_.name
            && now > std::max(contact, leaderSince_) + age)
            unresponsive.push_back(member.name);
    }
    return unresponsive;
}

bool Replica::holdsLease(TimePoint now) const
{
    if (role_ != ReplicaRole::Leader || commitIndex_ < termStartIndex_)
        return false;
    const Duration lease = options_.electionTimeout
                           * (PercentBase - static_cast<int>(options_.driftPercent)) / PercentBase;
    return now < lastQuorumContact(now) + lease;
}

void Replica::refreshProgress()
{
    std::map<std::string, ReplicaProgress> refreshed;
    for (const Member &member : membership().members) {
        if (member.name == options_.name || member.incarnation == 0)
            continue;
        const auto known = progress_.find(member.name);
        if (known != progress_.end() && known->second.incarnation == member.incarnation) {
            refreshed[member.name] = known->second;
            continue;
        }
        ReplicaProgress fresh;
        fresh.incarnation = member.incarnation;
        fresh.nextIndex = log_.lastIndex() + 1;
        refreshed[member.name] = fresh;
    }
    progress_ = std::move(refreshed);
}

ReplicaProgress *Replica::findProgress(const std::string &from, std::uint64_t incarnation)
{
    const auto found = progress_.find(from);
    if (role_ != ReplicaRole::Leader || found == progress_.end()
        || found->second.incarnation != incarnation)
        return nullptr;
    return &found->second;
}

void Replica::sendHeartbeats(TimePoint now)
{
    nextHeartbeat_ = now + options_.heartbeatInterval;
    for (const auto &[name, progress] : progress_)
        sendHeartbeat(now, name, progress);
}

void Replica::sendHeartbeat(TimePoint now, const std::string &name, const ReplicaProgress &progress)
{
    // A heartbeat also checks that the follower has received all streamed entries. For a follower
    // that is receiving a snapshot it only renews the contact.
    AppendRequest heartbeat;
    if (progress.mode != ProgressMode::Snapshot)
        heartbeat.previousIndex = progress.nextIndex - 1;
    const auto term = log_.termAt(heartbeat.previousIndex);
    if (!term)
        heartbeat.previousIndex = 0;
    heartbeat.previousTerm = term.value_or(0);
    heartbeat.commitIndex = commitIndex_;
    heartbeat.stamp = stampOf(now);
    send(name, progress.incarnation, heartbeat);
}

void Replica::replicate(TimePoint now)
{
    for (auto &[name, progress] : progress_)
        replicateTo(now, name, progress);
}

void Replica::replicateTo(TimePoint now, const std::string &name, ReplicaProgress &progress)
{
    if (progress.mode == ProgressMode::Snapshot) {
        if (now >= progress.chunkSentAt + ChunkRetryIntervals * options_.heartbeatInterval)
            sendChunk(now, name, progress);
        return;
    }
    if (!log_.termAt(progress.nextIndex - 1)) {
        progress.mode = ProgressMode::Snapshot;
        progress.snapshotIndex = 0;
        progress.inflight.clear();
        progress.inflightBytes = 0;
        sendChunk(now, name, progress);
        return;
    }
    while (progress.mode == ProgressMode::Stream && progress.nextIndex <= log_.lastIndex()
           && progress.inflightBytes < options_.maxInflightBytes) {
        AppendRequest request;
        request.previousIndex = progress.nextIndex - 1;
        request.previousTerm = *log_.termAt(request.previousIndex);
        request.commitIndex = commitIndex_;
        request.entries = log_.entriesFrom(progress.nextIndex, options_.maxAppendBytes);
        std::size_t bytes = 0;
        for (const LogEntry &entry : request.entries)
            bytes += entry.bytes.size() + sizeof(LogEntry);
        progress.nextIndex += request.entries.size();
        progress.inflight.push_back({progress.nextIndex - 1, bytes});
        progress.inflightBytes += bytes;
        send(name, progress.incarnation, std::move(request));
    }
}

void Replica::sendChunk(TimePoint now, const std::string &name, ReplicaProgress &progress)
{
    if (!snapshot_.data)
        return;
    if (progress.snapshotIndex != snapshot_.index) {
        progress.snapshotIndex = snapshot_.index;
        progress.snapshotOffset = 0;
    }
    SnapshotChunk chunk;
    chunk.index = snapshot_.index;
    chunk.indexTerm = snapshot_.term;
    chunk.membership = snapshot_.membership;
    chunk.totalBytes = snapshot_.data->size();
    chunk.offset = progress.snapshotOffset;
    chunk.bytes = snapshot_.data->substr(progress.snapshotOffset, options_.snapshotChunkBytes);
    progress.chunkSentAt = now;
    send(name, progress.incarnation, std::move(chunk));
}

void Replica::onBody(TimePoint now, const std::string &from, const ReplicaMessage &message,
                     const SnapshotReply &body)
{
    ReplicaProgress *progress = findProgress(from, message.incarnation);
    if (progress == nullptr || progress->mode != ProgressMode::Snapshot
        || progress->snapshotIndex != body.index)
        return;
    const bool advanced = body.receivedBytes != progress->snapshotOffset;
    progress->snapshotOffset = std::min<std::uint64_t>(body.receivedBytes, snapshot_.data->size());
    if (progress->snapshotIndex != snapshot_.index
        || (advanced && progress->snapshotOffset < snapshot_.data->size()))
        sendChunk(now, from, *progress);
}

void Replica::onBody(TimePoint now, const std::string &from, const ReplicaMessage &message,
                     const AppendReply &body)
{
    ReplicaProgress *progress = findProgress(from, message.incarnation);
    if (progress == nullptr)
        return;
    if (body.stamp != 0)
        progress->lastContactAt =
            std::max(progress->lastContactAt, TimePoint(Duration(body.stamp)));
    progress->matchIndex =
        std::max(progress->matchIndex, std::min(body.matchIndex, log_.lastIndex()));
    while (!progress->inflight.empty()
           && progress->inflight.front().lastIndex <= progress->matchIndex) {
        progress->inflightBytes -= progress->inflight.front().bytes;
        progress->inflight.pop_front();
    }
    progress->nextIndex = std::max(progress->nextIndex, progress->matchIndex + 1);
    if (progress->mode == ProgressMode::Snapshot) {
        if (progress->snapshotIndex > 0 && progress->matchIndex >= progress->snapshotIndex)
            progress->mode = ProgressMode::Stream;
    } else if (body.success) {
        progress->mode = ProgressMode::Stream;
    } else if (body.refusedIndex > progress->matchIndex
               && body.refusedIndex < progress->nextIndex) {
        progress->mode = ProgressMode::Probe;
        progress->inflight.clear();
        progress->inflightBytes = 0;
        progress->nextIndex = std::clamp(body.nextIndex, progress->matchIndex + 1,
                                         std::max(body.refusedIndex, progress->matchIndex + 1));
        if (log_.termAt(progress->nextIndex - 1))
            sendHeartbeat(now, from, *progress);
    }
    replicateTo(now, from, *progress);
    advanceCommit(now);
    finishReads(now);
    promoteLearners(now);
}

void Replica::advanceCommit(TimePoint now)
{
    std::vector<std::uint64_t> matches;
    for (const Member &member : membership().members) {
        if (!member.voter)
            continue;
        const auto found = progress_.find(member.name);
        if (member.name == options_.name)
            matches.push_back(syncedIndex_);
        else
            matches.push_back(found == progress_.end() ? 0 : found->second.matchIndex);
    }
    const std::size_t quorum = membership().quorum();
    if (matches.size() < quorum)
        return;
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const std::uint64_t index = matches[quorum - 1];
    // Entries of older terms are committed only together with a later entry of the current term.
    if (index <= commitIndex_ || log_.termAt(index) != hardState_.term)
        return;
    for (std::uint64_t i = commitIndex_ + 1; i <= index; ++i)
        uncommittedBytes_ -= std::min(uncommittedBytes_, log_.at(i).bytes.size());
    commitTo(index);
    finishReads(now);
    if (memberships_.back().index <= commitIndex_ && !isVoter())
        becomeFollower(now, hardState_.term, {});
}

Result<LogPosition> Replica::propose(TimePoint now, std::string command)
{
    stepDownWithoutQuorum(now);
    if (role_ != ReplicaRole::Leader) {
        return fail(Failure::NotLeader, Step::Append, leader_,
                    "This replica is not the leader; nothing was appended.");
    }
    if (command.size() > options_.maxCommandBytes) {
        return fail(Failure::TooLarge, Step::Append, options_.name,
                    fmt::format("The command has {} bytes; at most {} are allowed.", command.size(),
                                options_.maxCommandBytes));
    }
    if (uncommittedBytes_ + command.size() > options_.maxUncommittedBytes) {
        return fail(Failure::Overloaded, Step::Append, options_.name,
                    fmt::format("{} bytes are not committed yet; nothing was appended.",
                                uncommittedBytes_));
    }
    uncommittedBytes_ += command.size();
    appendEntry({hardState_.term, EntryKind::Command, std::move(command)});
    return LogPosition{hardState_.term, log_.lastIndex()};
}

void Replica::onBody(TimePoint now, const std::string &from, const ReplicaMessage &message,
                     const ReadRequest &body)
{
    if (role_ != ReplicaRole::Leader)
        return;
    pendingReads_.push_back({body.id, from, message.incarnation, now});
    finishReads(now);
    if (!pendingReads_.empty())
        sendHeartbeats(now);
}

void Replica::finishReads(TimePoint now)
{
    if (role_ != ReplicaRole::Leader || commitIndex_ < termStartIndex_ || pendingReads_.empty())
        return;
    const bool lease = holdsLease(now);
    const TimePoint contact = lastQuorumContact(now);
    const auto served = [&](const PendingRead &read) {
        if (!lease && contact < read.startedAt)
            return false;
        if (read.from.empty()) {
            output_.reads.push_back({read.id, true});
            return true;
        }
        // The heartbeat carries the commit index, so that the follower need not wait for the next
        // one.
        if (const ReplicaProgress *progress = findProgress(read.from, read.fromIncarnation))
            sendHeartbeat(now, read.from, *progress);
        send(read.from, read.fromIncarnation, ReadReply{read.id, commitIndex_});
        return true;
    };
    pendingReads_.erase(std::remove_if(pendingReads_.begin(), pendingReads_.end(), served),
                        pendingReads_.end());
}

Result<LogPosition> Replica::addReplica(TimePoint now, const std::string &name)
{
    if (membership().find(name) != nullptr) {
        return fail(Failure::Conflict, Step::Join, name,
                    fmt::format("The group already has a replica named \"{}\".", name));
    }
    return changeMembership(now, membership().with({name, 0, false}));
}

Result<LogPosition> Replica::removeReplica(TimePoint now, const std::string &name)
{
    if (membership().find(name) == nullptr) {
        return fail(Failure::NotFound, Step::Leave, name,
                    fmt::format("The group has no replica named \"{}\".", name));
    }
    return changeMembership(now, membership().without(name));
}

Result<LogPosition> Replica::changeMembership(TimePoint now, const Membership &next)
{
    stepDownWithoutQuorum(now);
    if (role_ != ReplicaRole::Leader) {
        return fail(Failure::NotLeader, Step::Join, leader_,
                    "Only the leader can change the membership; nothing was appended.");
    }
    if (commitIndex_ < termStartIndex_ || memberships_.back().index > commitIndex_) {
        return fail(Failure::Conflict, Step::Join, options_.name,
                    "Another membership change is not committed yet; try again.");
    }
    if (next.voterCount() == 0) {
        return fail(Failure::InvalidInput, Step::Leave, options_.name,
                    "The last voter cannot be removed; a group without voters cannot commit.");
    }
    appendEntry({hardState_.term, EntryKind::Membership, encode(next)});
    refreshProgress();
    sendHeartbeats(now);
    advanceCommit(now);
    return LogPosition{hardState_.term, log_.lastIndex()};
}

void Replica::promoteLearners(TimePoint now)
{
    if (role_ != ReplicaRole::Leader || commitIndex_ < termStartIndex_
        || memberships_.back().index > commitIndex_)
        return;
    for (const Member &member : membership().members) {
        const auto found = progress_.find(member.name);
        if (member.voter || found == progress_.end())
            continue;
        ReplicaProgress &progress = found->second;
        const bool roundEnded =
            progress.roundTarget > 0 && progress.matchIndex >= progress.roundTarget;
        if (roundEnded && now < progress.roundStartedAt + options_.electionTimeout) {
            static_cast<void>(
                changeMembership(now, membership().with({member.name, member.incarnation, true})));
            return;
        }
        if (progress.roundTarget == 0 || roundEnded) {
            progress.roundTarget = log_.lastIndex();
            progress.roundStartedAt = now;
        }
    }
}

} // namespace Oleander
