#include "Control/replica.h"

#include "Protocol/codec.h"

#include <catch2/catch.hpp>

using namespace Oleander;

namespace {

constexpr Duration Timeout = std::chrono::milliseconds(400);
constexpr Duration OneMillisecond = std::chrono::milliseconds(1);
constexpr std::uint64_t IncarnationA = 11;
constexpr std::uint64_t IncarnationB = 22;
constexpr std::uint64_t IncarnationC = 33;

Membership threeVoters()
{
    return {{{"a", IncarnationA, true}, {"b", IncarnationB, true}, {"c", IncarnationC, true}}};
}

LogEntry membershipEntry(const Membership &membership)
{
    return {1, EntryKind::Membership, encode(membership)};
}

/** Replica "a" of a group of three, whose peers and disk are simulated by the test. */
class ReplicaFixture
{
public:
    explicit ReplicaFixture(StoredReplica stored = storedGroup())
        : replica(options(), std::move(stored), now)
    {
        collect();
    }

    static StoredReplica storedGroup()
    {
        StoredReplica stored;
        stored.hardState = {1, {}, IncarnationA};
        stored.entries = {membershipEntry(threeVoters())};
        return stored;
    }
    static ReplicaOptions options()
    {
        ReplicaOptions result;
        result.name = "a";
        result.initialIncarnation = IncarnationA;
        result.initialReplicas = {"a", "b", "c"};
        result.electionTimeout = Timeout;
        return result;
    }

    void receive(const std::string &from, ReplicaBody body, std::uint64_t term)
    {
        const std::uint64_t incarnation = from == "b" ? IncarnationB : IncarnationC;
        receive(from, {incarnation, IncarnationA, term, std::move(body)});
    }
    void receive(const std::string &from, ReplicaMessage message)
    {
        replica.receive(now, from, std::move(message));
        collect();
    }
    void advance(Duration step)
    {
        now += step;
        replica.tick(now);
        collect();
    }
    /** Reports to the replica that all its writes are synced. */
    void sync()
    {
        replica.writesSynced(now, written);
        collect();
    }
    /** Makes the replica the leader of the next term and syncs its first entry. */
    void becomeLeader()
    {
        while (replica.role() != ReplicaRole::PreCandidate)
            advance(OneMillisecond);
        receive("b", VoteReply{true, replica.term() + 1, true}, replica.term());
        sync();
        receive("b", VoteReply{false, replica.term(), true}, replica.term());
        REQUIRE(replica.role() == ReplicaRole::Leader);
        sync();
    }
    /** Follower \a from acknowledges a heartbeat sent now and the log up to \a match. */
    void replyToHeartbeat(const std::string &from, std::uint64_t match)
    {
        AppendReply reply;
        reply.success = true;
        reply.matchIndex = match;
        reply.stamp = now.time_since_epoch().count();
        receive(from, reply, replica.term());
    }
    template<typename Body>
    std::vector<Body> sent() const
    {
        std::vector<Body> found;
        for (const OutgoingReplicaMessage &message : messages) {
            if (const auto *body = std::get_if<Body>(&message.message.body))
                found.push_back(*body);
        }
        return found;
    }
    void collect()
    {
        ReplicaOutput output = replica.takeOutput();
        messages.insert(messages.end(), output.messages.begin(), output.messages.end());
        committed.insert(committed.end(), output.committed.begin(), output.committed.end());
        reads.insert(reads.end(), output.reads.begin(), output.reads.end());
        if (output.restore)
            restored = output.restore->index;
        if (output.write)
            written = output.write->sequence;
    }

    TimePoint now = TimePoint(std::chrono::seconds(100));
    std::uint64_t written = 0;
    std::uint64_t restored = 0;
    std::vector<OutgoingReplicaMessage> messages;
    std::vector<CommittedEntry> committed;
    std::vector<ReadOutcome> reads;
    Replica replica;
};

VoteRequest voteRequest(std::uint64_t term, std::uint64_t lastIndex = 9)
{
    return {false, term, lastIndex, 1};
}

AppendRequest heartbeat(std::uint64_t previousIndex, std::uint64_t previousTerm)
{
    AppendRequest request;
    request.previousIndex = previousIndex;
    request.previousTerm = previousTerm;
    request.stamp = 1;
    return request;
}

} // namespace

TEST_CASE("A vote is sent only after it is synced, and only one is granted per term")
{
    ReplicaFixture fixture;
    fixture.advance(Timeout);
    fixture.receive("b", voteRequest(5), 5);
    CHECK(fixture.sent<VoteReply>().empty());
    fixture.sync();
    REQUIRE(fixture.sent<VoteReply>().size() == 1);
    CHECK(fixture.sent<VoteReply>()[0].granted);
    fixture.receive("c", voteRequest(5), 5);
    fixture.sync();
    CHECK_FALSE(fixture.sent<VoteReply>().back().granted);
}

TEST_CASE("A restarted replica grants no vote while a lease may depend on it")
{
    ReplicaFixture fixture;
    fixture.advance(Timeout - OneMillisecond);
    fixture.receive("b", voteRequest(5), 5);
    fixture.receive("b", VoteRequest{true, 5, 9, 1}, 4);
    fixture.sync();
    for (const VoteReply &reply : fixture.sent<VoteReply>())
        CHECK_FALSE(reply.granted);
    fixture.advance(OneMillisecond);
    fixture.receive("b", voteRequest(5), 5);
    fixture.sync();
    CHECK(fixture.sent<VoteReply>().back().granted);
}

TEST_CASE("A replica grants no vote for an election timeout after contact to a leader")
{
    ReplicaFixture fixture;
    fixture.advance(2 * Timeout);
    fixture.receive("b", heartbeat(1, 1), 4);
    fixture.sync();
    fixture.advance(Timeout - OneMillisecond);
    fixture.receive("c", voteRequest(9), 9);
    fixture.sync();
    CHECK(fixture.sent<VoteReply>().empty());
    CHECK(fixture.replica.term() == 4);
    fixture.advance(OneMillisecond);
    fixture.receive("c", voteRequest(9), 9);
    fixture.sync();
    REQUIRE(fixture.sent<VoteReply>().size() == 1);
    CHECK(fixture.sent<VoteReply>()[0].granted);
}

TEST_CASE("A vote requested from a lost incarnation is not granted")
{
    ReplicaFixture fixture;
    fixture.advance(2 * Timeout);
    fixture.receive("b", ReplicaMessage{IncarnationB, IncarnationA - 1, 5, voteRequest(5)});
    fixture.receive("b", ReplicaMessage{IncarnationB, 0, 6, voteRequest(6)});
    fixture.sync();
    for (const VoteReply &reply : fixture.sent<VoteReply>())
        CHECK_FALSE(reply.granted);
}

TEST_CASE("A candidate does not count votes of an incarnation that is not the voter's")
{
    ReplicaFixture fixture;
    while (fixture.replica.role() != ReplicaRole::PreCandidate)
        fixture.advance(OneMillisecond);
    fixture.receive("b",
                    ReplicaMessage{IncarnationB + 1, IncarnationA, 1, VoteReply{true, 2, true}});
    CHECK(fixture.replica.role() == ReplicaRole::PreCandidate);
    fixture.receive("b", VoteReply{true, 2, true}, 1);
    CHECK(fixture.replica.role() == ReplicaRole::Candidate);
    fixture.sync();
    fixture.receive("c",
                    ReplicaMessage{IncarnationC + 1, IncarnationA, 2, VoteReply{false, 2, true}});
    CHECK(fixture.replica.role() == ReplicaRole::Candidate);
    fixture.receive("c", VoteReply{false, 2, true}, 2);
    CHECK(fixture.replica.role() == ReplicaRole::Leader);
}

TEST_CASE("A candidate's own vote counts only once it is synced")
{
    ReplicaFixture fixture;
    while (fixture.replica.role() != ReplicaRole::PreCandidate)
        fixture.advance(OneMillisecond);
    fixture.receive("b", VoteReply{true, 2, true}, 1);
    CHECK(fixture.sent<VoteRequest>().size() == 2);
    fixture.receive("b", VoteReply{false, 2, true}, 2);
    CHECK(fixture.replica.role() == ReplicaRole::Candidate);
    fixture.sync();
    CHECK(fixture.replica.role() == ReplicaRole::Leader);
}

TEST_CASE("An entry of an older term commits only with one of the leader's own term")
{
    StoredReplica stored = ReplicaFixture::storedGroup();
    stored.hardState.term = 3;
    stored.entries.push_back({2, EntryKind::Command, "old"});
    ReplicaFixture fixture(stored);
    fixture.becomeLeader();
    fixture.replyToHeartbeat("b", 2);
    CHECK(fixture.replica.commitIndex() == 0);
    fixture.replyToHeartbeat("b", 3);
    CHECK(fixture.replica.commitIndex() == 3);
}

TEST_CASE("A leader counts its own copy only once it is synced")
{
    ReplicaFixture fixture;
    fixture.becomeLeader();
    fixture.replyToHeartbeat("b", 2);
    REQUIRE(fixture.replica.propose(fixture.now, "command").has_value());
    fixture.collect();
    fixture.replyToHeartbeat("b", 3);
    CHECK(fixture.replica.commitIndex() == 2);
    fixture.sync();
    CHECK(fixture.replica.commitIndex() == 3);
}

TEST_CASE("A follower reports only what it has synced")
{
    ReplicaFixture fixture;
    AppendRequest request = heartbeat(1, 1);
    request.entries = {{4, EntryKind::Command, "x"}};
    fixture.receive("b", heartbeat(1, 1), 4);
    fixture.sync();
    fixture.receive("b", request, 4);
    for (const AppendReply &reply : fixture.sent<AppendReply>())
        CHECK(reply.matchIndex <= 1);
    fixture.sync();
    CHECK(fixture.sent<AppendReply>().back().matchIndex == 2);
}

TEST_CASE("A leader's lease ends before any follower may vote, even with clock drift")
{
    ReplicaFixture fixture;
    fixture.becomeLeader();
    fixture.replyToHeartbeat("b", 2);
    const TimePoint answered = fixture.now;
    const Duration lease = Timeout * 9 / 10;
    CHECK(fixture.replica.holdsLease(answered + lease - OneMillisecond));
    CHECK_FALSE(fixture.replica.holdsLease(answered + lease));
    // The follower's clock may run a tenth faster than the leader's.
    CHECK(lease.count() * 11 / 10 < Timeout.count());
}

TEST_CASE("A leader that was frozen steps down before it appends or serves anything")
{
    for (int first = 0; first < 3; ++first) {
        ReplicaFixture fixture;
        fixture.becomeLeader();
        fixture.replyToHeartbeat("b", 2);
        fixture.now += std::chrono::seconds(30);
        const std::uint64_t last = fixture.replica.log().lastIndex();
        if (first == 0) {
            const auto refused = fixture.replica.propose(fixture.now, "late");
            REQUIRE_FALSE(refused.has_value());
            CHECK(refused.error().code == Failure::NotLeader);
        } else if (first == 1) {
            fixture.replica.read(fixture.now, 7);
            fixture.collect();
            REQUIRE(fixture.reads.size() == 1);
            CHECK_FALSE(fixture.reads[0].current);
        } else {
            // A reply that was queued in the socket during the freeze does not renew the lease.
            AppendReply old;
            old.success = true;
            old.stamp = (fixture.now - std::chrono::seconds(30)).time_since_epoch().count();
            fixture.receive("c", old, fixture.replica.term());
        }
        CHECK_FALSE(fixture.replica.holdsLease(fixture.now));
        CHECK(fixture.replica.role() == ReplicaRole::Follower);
        CHECK(fixture.replica.log().lastIndex() == last);
    }
}

TEST_CASE("A read without a lease waits for a quorum of replies to later heartbeats")
{
    ReplicaFixture fixture;
    fixture.becomeLeader();
    fixture.replyToHeartbeat("b", 2);
    fixture.now += Timeout;
    fixture.replica.read(fixture.now, 7);
    fixture.collect();
    CHECK(fixture.reads.empty());
    AppendReply earlier;
    earlier.success = true;
    earlier.stamp = (fixture.now - Timeout).time_since_epoch().count();
    fixture.receive("c", earlier, fixture.replica.term());
    CHECK(fixture.reads.empty());
    fixture.replyToHeartbeat("c", 0);
    REQUIRE(fixture.reads.size() == 1);
    CHECK(fixture.reads[0].current);
}

TEST_CASE("A new leader serves no read before its first entry is committed")
{
    ReplicaFixture fixture;
    fixture.becomeLeader();
    fixture.replyToHeartbeat("b", 1);
    fixture.replica.read(fixture.now, 7);
    fixture.collect();
    CHECK(fixture.reads.empty());
    fixture.replyToHeartbeat("b", 2);
    REQUIRE(fixture.reads.size() == 1);
    CHECK(fixture.reads[0].current);
}

TEST_CASE("A replica that lost its data folder is a learner until it has caught up")
{
    ReplicaFixture fixture;
    fixture.becomeLeader();
    fixture.replyToHeartbeat("b", 2);
    const std::uint64_t fresh = IncarnationC + 100;
    fixture.receive("c", ReplicaMessage{fresh, 0, 0, JoinRequest{true, {"a", "b", "c"}, {}}});
    REQUIRE(fixture.replica.membership().find("c")->incarnation == fresh);
    CHECK_FALSE(fixture.replica.membership().find("c")->voter);
    fixture.sync();
    fixture.replyToHeartbeat("b", 3);
    CHECK(fixture.replica.commitIndex() == 3);
    // Acknowledgements of the lost incarnation no longer count.
    fixture.replyToHeartbeat("c", 3);
    fixture.advance(OneMillisecond);
    CHECK_FALSE(fixture.replica.membership().find("c")->voter);
    AppendReply caughtUp;
    caughtUp.success = true;
    caughtUp.matchIndex = 3;
    caughtUp.stamp = fixture.now.time_since_epoch().count();
    fixture.receive("c", ReplicaMessage{fresh, IncarnationA, fixture.replica.term(), caughtUp});
    CHECK(fixture.replica.membership().isVoter("c", fresh));
}

TEST_CASE("Only one membership change is allowed at a time")
{
    ReplicaFixture fixture;
    fixture.becomeLeader();
    const auto early = fixture.replica.addReplica(fixture.now, "d");
    REQUIRE_FALSE(early.has_value());
    CHECK(early.error().code == Failure::Conflict);
    fixture.replyToHeartbeat("b", 2);
    REQUIRE(fixture.replica.addReplica(fixture.now, "d").has_value());
    const auto second = fixture.replica.removeReplica(fixture.now, "c");
    REQUIRE_FALSE(second.has_value());
    CHECK(second.error().code == Failure::Conflict);
    fixture.collect();
    fixture.sync();
    fixture.replyToHeartbeat("b", 3);
    CHECK(fixture.replica.removeReplica(fixture.now, "c").has_value());
}

TEST_CASE("A snapshot counts only once it is synced")
{
    ReplicaFixture fixture;
    SnapshotChunk chunk;
    chunk.index = 50;
    chunk.indexTerm = 4;
    chunk.membership = threeVoters();
    chunk.totalBytes = 4;
    chunk.bytes = "st";
    fixture.receive("b", chunk, 4);
    fixture.sync();
    CHECK(fixture.sent<SnapshotReply>().back().receivedBytes == 2);
    chunk.offset = 2;
    chunk.bytes = "ate";
    chunk.bytes.resize(2);
    fixture.receive("b", chunk, 4);
    fixture.receive("b", heartbeat(0, 0), 4);
    CHECK(fixture.restored == 0);
    for (const AppendReply &reply : fixture.sent<AppendReply>())
        CHECK(reply.matchIndex == 0);
    fixture.sync();
    CHECK(fixture.restored == 50);
    CHECK(fixture.replica.log().lastIndex() == 50);
    CHECK(fixture.sent<AppendReply>().back().matchIndex == 50);
}

TEST_CASE("A group is formed only if the folders of all initial replicas are empty")
{
    ReplicaFixture fixture{StoredReplica{}};
    fixture.sync();
    const JoinRequest joinRequest{true, {"a", "b", "c"}, {{"a", IncarnationA}}};
    const auto notFormedAfter = [&](const ReplicaMessage &fromB, const ReplicaMessage &fromC) {
        fixture.receive("b", fromB);
        fixture.receive("c", fromC);
        fixture.advance(Timeout);
        return fixture.replica.log().lastIndex() == 0;
    };
    CHECK(notFormedAfter({IncarnationB, 0, 0, joinRequest}, {IncarnationB, 0, 0, JoinRefusal{}}));
    // A folder with a term belongs to a group already.
    CHECK(notFormedAfter({IncarnationB, 0, 0, joinRequest}, {IncarnationC, 0, 7, joinRequest}));
    // A folder that was emptied because of damage may only join.
    CHECK(notFormedAfter(
        {IncarnationB, 0, 0, joinRequest},
        {IncarnationC, 0, 0, JoinRequest{false, {"a", "b", "c"}, joinRequest.knownIncarnations}}));
    // A join request that names an older incarnation of this replica may be outdated.
    CHECK(notFormedAfter(
        {IncarnationB, 0, 0, joinRequest},
        {IncarnationC, 0, 0, JoinRequest{true, {"a", "b", "c"}, {{"a", IncarnationA - 1}}}}));
    CHECK(notFormedAfter(
        {IncarnationB, 0, 0, joinRequest},
        {IncarnationC, 0, 0, JoinRequest{true, {"a", "c"}, joinRequest.knownIncarnations}}));
    CHECK_FALSE(
        notFormedAfter({IncarnationB, 0, 0, joinRequest}, {IncarnationC, 0, 0, joinRequest}));
    CHECK(fixture.replica.membership().voterCount() == 3);
}

TEST_CASE("A replica whose disk is full does not lead and accepts no entries")
{
    ReplicaFixture fixture;
    fixture.becomeLeader();
    fixture.replyToHeartbeat("b", 2);
    fixture.replica.setStorageStalled(fixture.now, true);
    fixture.collect();
    CHECK(fixture.replica.role() == ReplicaRole::Follower);
    CHECK_FALSE(fixture.replica.propose(fixture.now, "command").has_value());
    fixture.advance(4 * Timeout);
    CHECK(fixture.replica.role() == ReplicaRole::Follower);
    const std::uint64_t last = fixture.replica.log().lastIndex();
    AppendRequest request = heartbeat(2, 2);
    request.entries = {{9, EntryKind::Command, "x"}};
    fixture.receive("b", request, 9);
    CHECK(fixture.replica.log().lastIndex() == last);
    fixture.replica.setStorageStalled(fixture.now, false);
    fixture.receive("b", request, 9);
    CHECK(fixture.replica.log().lastIndex() == last + 1);
}

TEST_CASE("What follows a received snapshot is acknowledged only once it is synced")
{
    StoredReplica stored = ReplicaFixture::storedGroup();
    for (int i = 0; i < 9; ++i)
        stored.entries.push_back({1, EntryKind::Command, "old"});
    ReplicaFixture fixture(stored);
    SnapshotChunk chunk;
    chunk.index = 5;
    chunk.indexTerm = 2;
    chunk.membership = threeVoters();
    chunk.bytes = "state";
    chunk.totalBytes = chunk.bytes.size();
    fixture.receive("b", chunk, 2);
    const std::uint64_t install = fixture.written;
    // The term changes while the snapshot is written.
    fixture.receive("c", AppendRequest{}, 3);
    const std::uint64_t term = fixture.written;
    REQUIRE(term > install);
    fixture.replica.writesSynced(fixture.now, install);
    fixture.replica.writesSynced(fixture.now, term);
    fixture.collect();
    AppendRequest append;
    append.previousIndex = 5;
    append.previousTerm = 2;
    append.entries = {{3, EntryKind::Command, "new"}};
    fixture.receive("c", append, 3);
    REQUIRE(fixture.replica.log().lastIndex() == 6);
    for (const AppendReply &reply : fixture.sent<AppendReply>())
        CHECK(reply.matchIndex <= 5);
    fixture.sync();
    CHECK(fixture.sent<AppendReply>().back().matchIndex == 6);
}
