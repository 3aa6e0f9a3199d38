#include "Control/replica.h"
#include "Protocol/codec.h"

#include <algorithm>

namespace Oleander {

namespace {

/** Heartbeat intervals between two rounds of join requests. */
constexpr int JoinRequestIntervals = 4;
/** Election timeouts for which a received join request counts towards forming a group. */
constexpr int JoinRequestLifetime = 5;

} // namespace

void Replica::startPreVote(TimePoint now)
{
    role_ = ReplicaRole::PreCandidate;
    votes_ = {options_.name};
    requestVotes(true);
    countVotes(now);
}

void Replica::startElection(TimePoint now)
{
    role_ = ReplicaRole::Candidate;
    votes_.clear();
    matchedIndex_ = 0;
    reportedMatchIndex_ = 0;
    setHardState({hardState_.term + 1, options_.name, hardState_.incarnation});
    resetElectionDeadline(now);
    // The candidate's own vote counts once it is synced; see writesSynced().
    requestVotes(false);
}

void Replica::requestVotes(bool pre)
{
    const std::uint64_t electionTerm = pre ? hardState_.term + 1 : hardState_.term;
    for (const Member &member : membership().members) {
        if (member.voter && member.name != options_.name) {
            send(member.name, member.incarnation,
                 VoteRequest{pre, electionTerm, log_.lastIndex(), log_.lastTerm()});
        }
    }
}

void Replica::countVotes(TimePoint now)
{
    const auto granted = static_cast<std::size_t>(
        std::count_if(votes_.begin(), votes_.end(), [&](const std::string &name) {
            const Member *member = membership().find(name);
            return member != nullptr && member->voter;
        }));
    if (granted < membership().quorum())
        return;
    if (role_ == ReplicaRole::PreCandidate)
        startElection(now);
    else if (role_ == ReplicaRole::Candidate)
        becomeLeader(now);
}

bool Replica::isVotingBlocked(TimePoint now) const
{
    // The leader's lease relies on its followers not voting for an election timeout after they
    // acknowledged a heartbeat.
    return role_ == ReplicaRole::Leader || now < voteAllowedAt_;
}

void Replica::onBody(TimePoint now, const std::string &from, const ReplicaMessage &message,
                     const VoteRequest &body)
{
    const bool upToDate =
        body.lastTerm > log_.lastTerm()
        || (body.lastTerm == log_.lastTerm() && body.lastIndex >= log_.lastIndex());
    // Vote requests name the voter's incarnation, so a replica that lost its disk does not vote in
    // place of its former incarnation.
    const bool matchesIncarnation = message.targetIncarnation == hardState_.incarnation;
    bool granted = upToDate && matchesIncarnation && !isVotingBlocked(now);
    if (body.pre) {
        granted = granted && body.electionTerm > hardState_.term;
    } else {
        granted = granted && body.electionTerm == hardState_.term
                  && (hardState_.votedFor.empty() || hardState_.votedFor == from);
        if (granted) {
            if (hardState_.votedFor.empty())
                setHardState({hardState_.term, from, hardState_.incarnation});
            resetElectionDeadline(now);
        }
    }
    send(from, message.incarnation, VoteReply{body.pre, body.electionTerm, granted});
}

void Replica::onBody(TimePoint now, const std::string &from, const ReplicaMessage &message,
                     const VoteReply &body)
{
    if (!body.granted || !membership().isVoter(from, message.incarnation))
        return;
    const bool expected =
        body.pre ? role_ == ReplicaRole::PreCandidate && body.electionTerm == hardState_.term + 1
                 : role_ == ReplicaRole::Candidate && body.electionTerm == hardState_.term;
    if (!expected)
        return;
    votes_.insert(from);
    countVotes(now);
}

void Replica::resign(TimePoint now)
{
    if (role_ != ReplicaRole::Leader)
        return;
    std::string successor;
    std::uint64_t highest = 0;
    for (const auto &[name, progress] : progress_) {
        if (membership().isVoter(name, progress.incarnation) && progress.matchIndex >= highest) {
            successor = name;
            highest = progress.matchIndex;
        }
    }
    for (const Member &member : membership().members) {
        if (member.name != options_.name)
            send(member.name, member.incarnation, Resignation{successor});
    }
    becomeFollower(now, hardState_.term, {});
}

void Replica::onBody(TimePoint now, const std::string &, const ReplicaMessage &,
                     const Resignation &body)
{
    // Only the leader of the current term sends a resignation, and its lease ends with it.
    leader_.clear();
    voteAllowedAt_ = now;
    resetElectionDeadline(now);
    if (body.successor == options_.name && isVoter() && !storageStalled_ && !installingSnapshot_)
        startPreVote(now);
}

void Replica::becomeLeader(TimePoint now)
{
    failReads();
    role_ = ReplicaRole::Leader;
    leader_ = options_.name;
    leaderSince_ = now;
    progress_.clear();
    uncommittedBytes_ = 0;
    termStartIndex_ = log_.lastIndex() + 1;
    refreshProgress();
    appendEntry({hardState_.term, EntryKind::Noop, {}});
    sendHeartbeats(now);
    advanceCommit(now);
}

void Replica::sendJoinRequests(TimePoint now)
{
    nextJoinRequest_ = now + JoinRequestIntervals * options_.heartbeatInterval;
    JoinRequest joinRequest{options_.mayForm, options_.initialReplicas, {}};
    for (const auto &[name, received] : joinRequests_)
        joinRequest.knownIncarnations[name] = received.incarnation;
    std::set<std::string> peers = extraJoinTargets_;
    peers.insert(options_.initialReplicas.begin(), options_.initialReplicas.end());
    peers.erase(options_.name);
    for (const std::string &peer : peers)
        send(peer, 0, joinRequest);
    if (isEmpty())
        formGroup(now);
}

void Replica::formGroup(TimePoint now)
{
    // The replica with the first name forms the group, once every other initial replica has
    // confirmed that its folder is empty in a join request that names this replica's current
    // incarnation. A join request sent before a disk was lost may arrive late, and a group that
    // still has one of its data folders must never be formed again.
    const auto &names = options_.initialReplicas;
    const bool first =
        !names.empty() && *std::min_element(names.begin(), names.end()) == options_.name;
    if (!first || !options_.mayForm || hardState_.term > 0)
        return;
    Membership formed;
    for (const std::string &name : names) {
        if (name == options_.name) {
            formed.members.push_back({name, hardState_.incarnation, true});
            continue;
        }
        const auto received = joinRequests_.find(name);
        if (received == joinRequests_.end() || !confirmsOwnIncarnation(received->second, now))
            return;
        formed.members.push_back({name, received->second.incarnation, true});
    }
    setHardState({1, {}, hardState_.incarnation});
    appendEntry({1, EntryKind::Membership, encode(formed)});
    electionDeadline_ = now;
}

bool Replica::confirmsOwnIncarnation(const ReceivedJoinRequest &received, TimePoint now) const
{
    const JoinRequest &joinRequest = received.joinRequest;
    const auto known = joinRequest.knownIncarnations.find(options_.name);
    return joinRequest.mayForm && joinRequest.initialReplicas == options_.initialReplicas
           && known != joinRequest.knownIncarnations.end()
           && known->second == hardState_.incarnation
           && now < received.at + JoinRequestLifetime * options_.electionTimeout;
}

void Replica::onBody(TimePoint now, const std::string &from, const ReplicaMessage &message,
                     const JoinRequest &body)
{
    if (isEmpty()) {
        if (message.term > 0) {
            joinRequests_.erase(from);
            return;
        }
        ReceivedJoinRequest &received = joinRequests_[from];
        // A new incarnation is announced at once, so that forming a group takes two message rounds
        // instead of two join request intervals.
        if (received.incarnation != message.incarnation)
            nextJoinRequest_ = now;
        received = {message.incarnation, now, body};
        return;
    }
    if (role_ != ReplicaRole::Leader)
        return;
    const Member *member = membership().find(from);
    if (member == nullptr) {
        // If another membership change is pending, this fails and the replica's next join request
        // tries again.
        if (options_.acceptsUnknownReplicas) {
            static_cast<void>(
                changeMembership(now, membership().with({from, message.incarnation, false})));
        }
        return;
    }
    if (message.incarnation < member->incarnation) {
        send(from, message.incarnation, JoinRefusal{member->incarnation});
    } else if (message.incarnation > member->incarnation) {
        // The member has lost its data folder, including its votes and acknowledged entries, so it
        // starts again as a learner. If another membership change is pending, this fails and its
        // next join request tries again.
        static_cast<void>(
            changeMembership(now, membership().with({from, message.incarnation, false})));
    }
}

void Replica::onBody(TimePoint, const std::string &, const ReplicaMessage &,
                     const JoinRefusal &body)
{
    if (!isEmpty() || hardState_.term > 0 || body.knownIncarnation < hardState_.incarnation)
        return;
    setHardState({0, {}, body.knownIncarnation + 1});
}

} // namespace Oleander
