#include "Control/replica.h"

#include "Base/nametable.h"
#include "Protocol/codec.h"

#include <algorithm>

namespace Oleander {

namespace {

constexpr NameTable<ReplicaRole, 4> RoleNames{{
    {ReplicaRole::Follower, "follower"},
    {ReplicaRole::PreCandidate, "pre-candidate"},
    {ReplicaRole::Candidate, "candidate"},
    {ReplicaRole::Leader, "leader"},
}};

} // namespace

std::string_view replicaRoleName(ReplicaRole role)
{
    return nameIn(RoleNames, role);
}

Replica::Replica(ReplicaOptions options, StoredReplica stored, TimePoint now)
    : options_(std::move(options))
    , hardState_(std::move(stored.hardState))
    , log_(stored.snapshot.index, stored.snapshot.term)
    , snapshot_(std::move(stored.snapshot))
    , randomState_(options_.seed)
    , commitIndex_(snapshot_.index)
    , emittedIndex_(snapshot_.index)
    , syncedIndex_(snapshot_.index + stored.entries.size())
    , voteAllowedAt_(now)
    , nextJoinRequest_(now)
{
    memberships_.push_back({snapshot_.index, snapshot_.membership});
    for (LogEntry &entry : stored.entries) {
        recordMembership(log_.lastIndex() + 1, entry);
        log_.append(std::move(entry));
    }
    if (snapshot_.index > 0)
        output_.restore = snapshot_;
    // After a restart the time of the last contact to a leader is unknown, and the leader's lease
    // may still depend on this replica not voting. Without a term it has never acknowledged a
    // leader.
    if (hardState_.term > 0)
        voteAllowedAt_ = now + options_.electionTimeout;
    if (hardState_.incarnation == 0) {
        HardState fresh = hardState_;
        fresh.incarnation = options_.initialIncarnation;
        setHardState(fresh);
    }
    resetElectionDeadline(now);
}

void Replica::receive(TimePoint now, const std::string &from, ReplicaMessage message)
{
    stepDownWithoutQuorum(now);
    if (message.targetIncarnation != 0 && message.targetIncarnation != hardState_.incarnation)
        return;
    if (!processTerm(now, from, message))
        return;
    std::visit([&](const auto &body) { onBody(now, from, message, body); }, message.body);
}

void Replica::tick(TimePoint now)
{
    stepDownWithoutQuorum(now);
    if (role_ == ReplicaRole::Leader) {
        if (now >= nextHeartbeat_)
            sendHeartbeats(now);
        replicate(now);
        finishReads(now);
        promoteLearners(now);
        return;
    }
    finishForwardedReads(now);
    // A voter that was removed while it was unreachable is told by nobody.
    if ((isEmpty() || isRejoining_ || leader_.empty()) && now >= nextJoinRequest_)
        sendJoinRequests(now);
    if (now < electionDeadline_)
        return;
    leader_.clear();
    resetElectionDeadline(now);
    if (isVoter() && !storageStalled_ && !installingSnapshot_)
        startPreVote(now);
}

void Replica::writesSynced(TimePoint now, std::uint64_t sequence)
{
    stepDownWithoutQuorum(now);
    syncedSequence_ = std::max(syncedSequence_, sequence);
    while (!pendingWrites_.empty() && pendingWrites_.front().sequence <= syncedSequence_) {
        syncedIndex_ = pendingWrites_.front().lastIndex;
        pendingWrites_.erase(pendingWrites_.begin());
    }
    const auto firstKept = std::find_if(
        deferredMessages_.begin(), deferredMessages_.end(),
        [&](const DeferredMessage &deferred) { return deferred.sequence > syncedSequence_; });
    for (auto deferred = deferredMessages_.begin(); deferred != firstKept; ++deferred)
        output_.messages.push_back(std::move(deferred->message));
    deferredMessages_.erase(deferredMessages_.begin(), firstKept);

    if (installingSnapshot_ && installSequence_ <= syncedSequence_)
        finishSnapshotInstall();
    if (role_ == ReplicaRole::Candidate && hardStateSequence_ <= syncedSequence_) {
        votes_.insert(options_.name);
        countVotes(now);
    }
    if (role_ == ReplicaRole::Leader)
        advanceCommit(now);
    else if (!leader_.empty() && syncedMatchIndex() > reportedMatchIndex_)
        sendAppendReply(0);
}

void Replica::setStorageStalled(TimePoint now, bool stalled)
{
    storageStalled_ = stalled;
    if (stalled && role_ != ReplicaRole::Follower)
        becomeFollower(now, hardState_.term, {});
}

void Replica::setJoinTargets(std::set<std::string> names, bool rejoin)
{
    extraJoinTargets_ = std::move(names);
    isRejoining_ = rejoin;
}

void Replica::compact(std::uint64_t index, std::shared_ptr<const std::string> data)
{
    const auto term = log_.termAt(index);
    if (!term || index <= snapshot_.index || index > emittedIndex_)
        return;
    snapshot_ = Snapshot{index, *term, membershipAt(index), std::move(data)};
    if (index > options_.trailingEntries + log_.baseIndex())
        log_.compactTo(index - options_.trailingEntries);
    while (memberships_.size() > 1 && memberships_[1].index <= log_.baseIndex())
        memberships_.erase(memberships_.begin());
}

const Membership &Replica::membershipAt(std::uint64_t index) const
{
    auto found = memberships_.rbegin();
    while (std::next(found) != memberships_.rend() && found->index > index)
        ++found;
    return found->membership;
}

ReplicaOutput Replica::takeOutput()
{
    if (output_.write) {
        output_.write->sequence = nextSequence_++;
        pendingWrites_.push_back({output_.write->sequence, log_.lastIndex()});
    }
    while (emittedIndex_ < commitIndex_) {
        ++emittedIndex_;
        output_.committed.push_back({emittedIndex_, log_.at(emittedIndex_)});
    }
    ReplicaOutput taken;
    std::swap(taken, output_);
    return taken;
}

void Replica::stepDownWithoutQuorum(TimePoint now)
{
    if (role_ != ReplicaRole::Leader)
        return;
    const TimePoint contact = std::max(lastQuorumContact(now), leaderSince_);
    if (now >= contact + 2 * options_.electionTimeout)
        becomeFollower(now, hardState_.term, {});
}

bool Replica::processTerm(TimePoint now, const std::string &from, const ReplicaMessage &message)
{
    const ReplicaBody &body = message.body;
    if (std::holds_alternative<JoinRequest>(body) || std::holds_alternative<JoinRefusal>(body))
        return true;
    const bool isAnswer = std::holds_alternative<AppendReply>(body)
                          || std::holds_alternative<VoteReply>(body)
                          || std::holds_alternative<SnapshotReply>(body);
    if (isAnswer) {
        const Member *member = membership().find(from);
        if (member == nullptr || member->incarnation != message.incarnation)
            return false;
    }
    if (const auto *vote = std::get_if<VoteRequest>(&body)) {
        if (vote->pre || message.term <= hardState_.term)
            return true;
        if (isVotingBlocked(now))
            return false;
    }
    const bool fromLeader =
        std::holds_alternative<AppendRequest>(body) || std::holds_alternative<SnapshotChunk>(body);
    const bool isVote = std::holds_alternative<VoteRequest>(body);
    if (message.term > hardState_.term && (isAnswer || fromLeader || isVote))
        becomeFollower(now, message.term, {});
    if (const auto *vote = std::get_if<VoteReply>(&body); vote != nullptr && vote->pre)
        return true;
    if (message.term < hardState_.term && fromLeader) {
        // The higher term in this reply makes the leader of an older term step down.
        send(from, message.incarnation, AppendReply{});
        return false;
    }
    return message.term == hardState_.term;
}

void Replica::becomeFollower(TimePoint now, std::uint64_t term, const std::string &leader)
{
    if (term > hardState_.term) {
        setHardState({term, {}, hardState_.incarnation});
        matchedIndex_ = 0;
        reportedMatchIndex_ = 0;
    }
    if (role_ != ReplicaRole::Follower) {
        if (role_ == ReplicaRole::Leader) {
            failReads();
            // The log of a former leader may differ from the log of the next leader.
            matchedIndex_ = 0;
            reportedMatchIndex_ = 0;
        }
        role_ = ReplicaRole::Follower;
        progress_.clear();
        votes_.clear();
        resetElectionDeadline(now);
    }
    if (leader_ != leader && !forwardedReads_.empty())
        failReads();
    leader_ = leader;
}

void Replica::setHardState(HardState state)
{
    hardState_ = std::move(state);
    pendingWrite().hardState = hardState_;
    hardStateSequence_ = nextSequence_;
}

WriteBatch &Replica::pendingWrite()
{
    if (!output_.write)
        output_.write.emplace();
    return *output_.write;
}

void Replica::appendEntry(LogEntry entry)
{
    const std::uint64_t index = log_.lastIndex() + 1;
    WriteBatch &write = pendingWrite();
    if (write.entries.empty())
        write.firstIndex = index;
    recordMembership(index, entry);
    write.entries.push_back(entry);
    log_.append(std::move(entry));
}

void Replica::truncateFrom(std::uint64_t index)
{
    log_.truncateFrom(index);
    while (memberships_.size() > 1 && memberships_.back().index >= index)
        memberships_.pop_back();
    syncedIndex_ = std::min(syncedIndex_, index - 1);
    for (PendingWrite &write : pendingWrites_)
        write.lastIndex = std::min(write.lastIndex, index - 1);
    if (!output_.write || output_.write->entries.empty())
        return;
    WriteBatch &write = *output_.write;
    if (index <= write.firstIndex)
        write.entries.clear();
    else if (index < write.firstIndex + write.entries.size())
        write.entries.resize(index - write.firstIndex);
}

void Replica::recordMembership(std::uint64_t index, const LogEntry &entry)
{
    if (entry.kind != EntryKind::Membership)
        return;
    if (auto decoded = decode<Membership>(entry.bytes))
        memberships_.push_back({index, std::move(*decoded)});
}

void Replica::send(const std::string &to, std::uint64_t targetIncarnation, ReplicaBody body)
{
    OutgoingReplicaMessage outgoing{
        to, {hardState_.incarnation, targetIncarnation, hardState_.term, std::move(body)}};
    if (hardStateSequence_ > syncedSequence_)
        deferredMessages_.push_back({hardStateSequence_, std::move(outgoing)});
    else
        output_.messages.push_back(std::move(outgoing));
}

void Replica::commitTo(std::uint64_t index)
{
    commitIndex_ = std::max(commitIndex_, std::min(index, log_.lastIndex()));
}

void Replica::failReads()
{
    for (const PendingRead &read : pendingReads_) {
        if (read.from.empty())
            output_.reads.push_back({read.id, false});
    }
    for (const ForwardedRead &read : forwardedReads_)
        output_.reads.push_back({read.id, false});
    pendingReads_.clear();
    forwardedReads_.clear();
}

void Replica::resetElectionDeadline(TimePoint now)
{
    const auto span = static_cast<std::uint64_t>(options_.electionTimeout.count());
    electionDeadline_ =
        now + options_.electionTimeout + Duration(static_cast<Duration::rep>(random(span)));
}

std::uint64_t Replica::random(std::uint64_t bound)
{
    // SplitMix64: small and identical on every platform.
    randomState_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = randomState_;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    mixed ^= mixed >> 31U;
    return bound == 0 ? 0 : mixed % bound;
}

std::uint64_t Replica::syncedMatchIndex() const
{
    return std::min(syncedIndex_, matchedIndex_);
}

bool Replica::isEmpty() const
{
    return log_.lastIndex() == 0 && !installingSnapshot_;
}

bool Replica::isVoter() const
{
    return membership().isVoter(options_.name, hardState_.incarnation);
}

} // namespace Oleander
