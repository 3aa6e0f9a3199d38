#include "Control/replica.h"

#include "Protocol/codec.h"

#include <catch2/catch.hpp>

using namespace Oleander;

namespace {

constexpr Duration Timeout = std::chrono::milliseconds(400);
constexpr Duration Moment = std::chrono::milliseconds(1);
constexpr std::uint64_t Own = 11;
constexpr std::uint64_t OfB = 22;
constexpr std::uint64_t OfC = 33;

Membership threeVoters()
{
    return {{{"a", Own, true}, {"b", OfB, true}, {"c", OfC, true}}};
}

LogEntry membershipEntry(const Membership &membership)
{
    return {1, EntryKind::Membership, encode(membership)};
}

/** Replica "a" of a group of three, whose peers and disk are played by the test. */
class Bench
{
public:
    explicit Bench(StoredReplica stored = storedGroup())
        : replica(options(), std::move(stored), now)
    {
        collect();
    }

    static StoredReplica storedGroup()
    {
        StoredReplica stored;
        stored.hardState = {1, {}, Own};
        stored.entries = {membershipEntry(threeVoters())};
        return stored;
    }
    static ReplicaOptions options()
    {
        ReplicaOptions result;
        result.name = "a";
        result.freshIncarnation = Own;
        result.initialReplicas = {"a", "b", "c"};
        result.electionTimeout = Timeout;
        return result;
    }

    void receive(const std::string &from, ReplicaBody body, std::uint64_t term)
    {
        const std::uint64_t incarnation = from == "b" ? OfB : OfC;
        receive(from, {incarnation, Own, term, std::move(body)});
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
    /** Tells the replica that all its writes are synced. */
    void sync()
    {
        replica.writesSynced(now, written);
        collect();
    }
    /** Makes the replica leader of the term after its own, with a synced first entry. */
    void lead()
    {
        while (replica.role() != ReplicaRole::PreCandidate)
            advance(Moment);
        receive("b", VoteReply{true, replica.term() + 1, true}, replica.term());
        sync();
        receive("b", VoteReply{false, replica.term(), true}, replica.term());
        REQUIRE(replica.role() == ReplicaRole::Leader);
        sync();
    }
    /** Follower \a from answers a heartbeat sent now and holds the log up to \a match. */
    void answer(const std::string &from, std::uint64_t match)
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

TEST_CASE("A vote leaves only after it is synced, and only one is given in a term")
{
    Bench bench;
    bench.advance(Timeout);
    bench.receive("b", voteRequest(5), 5);
    CHECK(bench.sent<VoteReply>().empty());
    bench.sync();
    REQUIRE(bench.sent<VoteReply>().size() == 1);
    CHECK(bench.sent<VoteReply>()[0].granted);
    bench.receive("c", voteRequest(5), 5);
    bench.sync();
    CHECK_FALSE(bench.sent<VoteReply>().back().granted);
}

TEST_CASE("A replica that restarted gives no vote while a lease may rest on it")
{
    Bench bench;
    bench.advance(Timeout - Moment);
    bench.receive("b", voteRequest(5), 5);
    bench.receive("b", VoteRequest{true, 5, 9, 1}, 4);
    bench.sync();
    for (const VoteReply &reply : bench.sent<VoteReply>())
        CHECK_FALSE(reply.granted);
    bench.advance(Moment);
    bench.receive("b", voteRequest(5), 5);
    bench.sync();
    CHECK(bench.sent<VoteReply>().back().granted);
}

TEST_CASE("A replica that heard from a leader gives no vote for an election timeout")
{
    Bench bench;
    bench.advance(2 * Timeout);
    bench.receive("b", heartbeat(1, 1), 4);
    bench.sync();
    bench.advance(Timeout - Moment);
    bench.receive("c", voteRequest(9), 9);
    bench.sync();
    CHECK(bench.sent<VoteReply>().empty());
    CHECK(bench.replica.term() == 4);
    bench.advance(Moment);
    bench.receive("c", voteRequest(9), 9);
    bench.sync();
    REQUIRE(bench.sent<VoteReply>().size() == 1);
    CHECK(bench.sent<VoteReply>()[0].granted);
}

TEST_CASE("A vote meant for a folder that was lost is not given")
{
    Bench bench;
    bench.advance(2 * Timeout);
    bench.receive("b", ReplicaMessage{OfB, Own - 1, 5, voteRequest(5)});
    bench.receive("b", ReplicaMessage{OfB, 0, 6, voteRequest(6)});
    bench.sync();
    for (const VoteReply &reply : bench.sent<VoteReply>())
        CHECK_FALSE(reply.granted);
}

TEST_CASE("A candidate counts no vote of a folder that is not the voter's")
{
    Bench bench;
    while (bench.replica.role() != ReplicaRole::PreCandidate)
        bench.advance(Moment);
    bench.receive("b", ReplicaMessage{OfB + 1, Own, 1, VoteReply{true, 2, true}});
    CHECK(bench.replica.role() == ReplicaRole::PreCandidate);
    bench.receive("b", VoteReply{true, 2, true}, 1);
    CHECK(bench.replica.role() == ReplicaRole::Candidate);
    bench.sync();
    bench.receive("c", ReplicaMessage{OfC + 1, Own, 2, VoteReply{false, 2, true}});
    CHECK(bench.replica.role() == ReplicaRole::Candidate);
    bench.receive("c", VoteReply{false, 2, true}, 2);
    CHECK(bench.replica.role() == ReplicaRole::Leader);
}

TEST_CASE("A candidate's own vote counts only once it is synced")
{
    Bench bench;
    while (bench.replica.role() != ReplicaRole::PreCandidate)
        bench.advance(Moment);
    bench.receive("b", VoteReply{true, 2, true}, 1);
    CHECK(bench.sent<VoteRequest>().size() == 2);
    bench.receive("b", VoteReply{false, 2, true}, 2);
    CHECK(bench.replica.role() == ReplicaRole::Candidate);
    bench.sync();
    CHECK(bench.replica.role() == ReplicaRole::Leader);
}

TEST_CASE("An entry of an older term commits only with one of the leader's own term")
{
    StoredReplica stored = Bench::storedGroup();
    stored.hardState.term = 3;
    stored.entries.push_back({2, EntryKind::Command, "old"});
    Bench bench(stored);
    bench.lead();
    bench.answer("b", 2);
    CHECK(bench.replica.commitIndex() == 0);
    bench.answer("b", 3);
    CHECK(bench.replica.commitIndex() == 3);
}

TEST_CASE("A leader counts its own copy only once it is synced")
{
    Bench bench;
    bench.lead();
    bench.answer("b", 2);
    REQUIRE(bench.replica.propose(bench.now, "command").has_value());
    bench.collect();
    bench.answer("b", 3);
    CHECK(bench.replica.commitIndex() == 2);
    bench.sync();
    CHECK(bench.replica.commitIndex() == 3);
}

TEST_CASE("A follower reports only what it has synced")
{
    Bench bench;
    AppendRequest request = heartbeat(1, 1);
    request.entries = {{4, EntryKind::Command, "x"}};
    bench.receive("b", heartbeat(1, 1), 4);
    bench.sync();
    bench.receive("b", request, 4);
    for (const AppendReply &reply : bench.sent<AppendReply>())
        CHECK(reply.matchIndex <= 1);
    bench.sync();
    CHECK(bench.sent<AppendReply>().back().matchIndex == 2);
}

TEST_CASE("A leader's lease ends before any follower may vote, drift included")
{
    Bench bench;
    bench.lead();
    bench.answer("b", 2);
    const TimePoint answered = bench.now;
    const Duration lease = Timeout * 9 / 10;
    CHECK(bench.replica.holdsLease(answered + lease - Moment));
    CHECK_FALSE(bench.replica.holdsLease(answered + lease));
    // The follower's clock may be a tenth faster than the leader's.
    CHECK(lease.count() * 11 / 10 < Timeout.count());
}

TEST_CASE("A leader that was frozen steps down before it appends or serves anything")
{
    for (int first = 0; first < 3; ++first) {
        Bench bench;
        bench.lead();
        bench.answer("b", 2);
        bench.now += std::chrono::seconds(30);
        const std::uint64_t last = bench.replica.log().lastIndex();
        if (first == 0) {
            const auto refused = bench.replica.propose(bench.now, "late");
            REQUIRE_FALSE(refused.has_value());
            CHECK(refused.error().code == Failure::NotLeader);
        } else if (first == 1) {
            bench.replica.read(bench.now, 7);
            bench.collect();
            REQUIRE(bench.reads.size() == 1);
            CHECK_FALSE(bench.reads[0].current);
        } else {
            // An answer that waited in the socket all the time renews nothing.
            AppendReply old;
            old.success = true;
            old.stamp = (bench.now - std::chrono::seconds(30)).time_since_epoch().count();
            bench.receive("c", old, bench.replica.term());
        }
        CHECK_FALSE(bench.replica.holdsLease(bench.now));
        CHECK(bench.replica.role() == ReplicaRole::Follower);
        CHECK(bench.replica.log().lastIndex() == last);
    }
}

TEST_CASE("A read without the lease waits for a quorum that answers after it")
{
    Bench bench;
    bench.lead();
    bench.answer("b", 2);
    bench.now += Timeout;
    bench.replica.read(bench.now, 7);
    bench.collect();
    CHECK(bench.reads.empty());
    AppendReply earlier;
    earlier.success = true;
    earlier.stamp = (bench.now - Timeout).time_since_epoch().count();
    bench.receive("c", earlier, bench.replica.term());
    CHECK(bench.reads.empty());
    bench.answer("c", 0);
    REQUIRE(bench.reads.size() == 1);
    CHECK(bench.reads[0].current);
}

TEST_CASE("A new leader serves no read before its first entry is committed")
{
    Bench bench;
    bench.lead();
    bench.answer("b", 1);
    bench.replica.read(bench.now, 7);
    bench.collect();
    CHECK(bench.reads.empty());
    bench.answer("b", 2);
    REQUIRE(bench.reads.size() == 1);
    CHECK(bench.reads[0].current);
}

TEST_CASE("A lost folder makes its replica a learner until it has caught up")
{
    Bench bench;
    bench.lead();
    bench.answer("b", 2);
    const std::uint64_t fresh = OfC + 100;
    bench.receive("c", ReplicaMessage{fresh, 0, 0, Hello{true, {"a", "b", "c"}, {}}});
    REQUIRE(bench.replica.membership().find("c")->incarnation == fresh);
    CHECK_FALSE(bench.replica.membership().find("c")->voter);
    bench.sync();
    bench.answer("b", 3);
    CHECK(bench.replica.commitIndex() == 3);
    // What the lost folder promised counts for nothing any more.
    bench.answer("c", 3);
    bench.advance(Moment);
    CHECK_FALSE(bench.replica.membership().find("c")->voter);
    AppendReply caughtUp;
    caughtUp.success = true;
    caughtUp.matchIndex = 3;
    caughtUp.stamp = bench.now.time_since_epoch().count();
    bench.receive("c", ReplicaMessage{fresh, Own, bench.replica.term(), caughtUp});
    CHECK(bench.replica.membership().isVoter("c", fresh));
}

TEST_CASE("Membership changes one at a time")
{
    Bench bench;
    bench.lead();
    const auto early = bench.replica.addReplica(bench.now, "d");
    REQUIRE_FALSE(early.has_value());
    CHECK(early.error().code == Failure::Conflict);
    bench.answer("b", 2);
    REQUIRE(bench.replica.addReplica(bench.now, "d").has_value());
    const auto second = bench.replica.removeReplica(bench.now, "c");
    REQUIRE_FALSE(second.has_value());
    CHECK(second.error().code == Failure::Conflict);
    bench.collect();
    bench.sync();
    bench.answer("b", 3);
    CHECK(bench.replica.removeReplica(bench.now, "c").has_value());
}

TEST_CASE("A snapshot counts only once it is synced")
{
    Bench bench;
    SnapshotChunk chunk;
    chunk.index = 50;
    chunk.indexTerm = 4;
    chunk.membership = threeVoters();
    chunk.totalBytes = 4;
    chunk.bytes = "st";
    bench.receive("b", chunk, 4);
    bench.sync();
    CHECK(bench.sent<SnapshotReply>().back().receivedBytes == 2);
    chunk.offset = 2;
    chunk.bytes = "ate";
    chunk.bytes.resize(2);
    bench.receive("b", chunk, 4);
    bench.receive("b", heartbeat(0, 0), 4);
    CHECK(bench.restored == 0);
    for (const AppendReply &reply : bench.sent<AppendReply>())
        CHECK(reply.matchIndex == 0);
    bench.sync();
    CHECK(bench.restored == 50);
    CHECK(bench.replica.log().lastIndex() == 50);
    CHECK(bench.sent<AppendReply>().back().matchIndex == 50);
}

TEST_CASE("Empty folders form a group only when all are empty")
{
    Bench bench{StoredReplica{}};
    bench.sync();
    const Hello hello{true, {"a", "b", "c"}, {{"a", Own}}};
    const auto notFormedAfter = [&](const ReplicaMessage &fromB, const ReplicaMessage &fromC) {
        bench.receive("b", fromB);
        bench.receive("c", fromC);
        bench.advance(Timeout);
        return bench.replica.log().lastIndex() == 0;
    };
    CHECK(notFormedAfter({OfB, 0, 0, hello}, {OfB, 0, 0, HelloRefusal{}}));
    // A folder that has seen a term belongs to a group.
    CHECK(notFormedAfter({OfB, 0, 0, hello}, {OfC, 0, 7, hello}));
    // One that was emptied because of damage may only join.
    CHECK(notFormedAfter({OfB, 0, 0, hello},
                         {OfC, 0, 0, Hello{false, {"a", "b", "c"}, hello.heard}}));
    // Greetings from before this folder was made tell nothing of what their senders hold now.
    CHECK(notFormedAfter({OfB, 0, 0, hello},
                         {OfC, 0, 0, Hello{true, {"a", "b", "c"}, {{"a", Own - 1}}}}));
    CHECK(notFormedAfter({OfB, 0, 0, hello}, {OfC, 0, 0, Hello{true, {"a", "c"}, hello.heard}}));
    CHECK_FALSE(notFormedAfter({OfB, 0, 0, hello}, {OfC, 0, 0, hello}));
    CHECK(bench.replica.membership().voterCount() == 3);
}

TEST_CASE("A replica whose disk is full does not lead and takes no entries")
{
    Bench bench;
    bench.lead();
    bench.answer("b", 2);
    bench.replica.setStorageStalled(bench.now, true);
    bench.collect();
    CHECK(bench.replica.role() == ReplicaRole::Follower);
    CHECK_FALSE(bench.replica.propose(bench.now, "command").has_value());
    bench.advance(4 * Timeout);
    CHECK(bench.replica.role() == ReplicaRole::Follower);
    const std::uint64_t last = bench.replica.log().lastIndex();
    AppendRequest request = heartbeat(2, 2);
    request.entries = {{9, EntryKind::Command, "x"}};
    bench.receive("b", request, 9);
    CHECK(bench.replica.log().lastIndex() == last);
    bench.replica.setStorageStalled(bench.now, false);
    bench.receive("b", request, 9);
    CHECK(bench.replica.log().lastIndex() == last + 1);
}
