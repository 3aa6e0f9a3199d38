#include "Fleet/leaderclient.h"

#include "Support/loopback.h"
#include "Support/rununtil.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <vector>

using namespace Oleander;
using namespace Oleander::Fleet;
using Oleander::Testing::Loopback;
using Oleander::Testing::runUntil;

namespace {

/** A control host whose answers the test chooses. */
struct ScriptedHost
{
    std::string address = Loopback::freeAddress(Loopback::nextHost());
    Messenger messenger;
    GroupView view;
    bool answers = true;
    std::size_t queries = 0;

    explicit ScriptedHost(EventLoop &loop) : messenger(loop, address, 1)
    {
        REQUIRE(messenger.listen(address).has_value());
        messenger.on<GroupQuery>([this](const Sender &from, GroupQuery &&) {
            asker_ = from.name;
            ++queries;
            if (answers)
                tell(view);
        });
    }
    void tell(const Message &told) { REQUIRE(messenger.send(asker_, told).has_value()); }

private:
    std::string asker_;
};

struct Search
{
    EventLoop loop;
    ScriptedHost seed{loop};
    ScriptedHost leader{loop};
    Messenger messenger{loop, "entry-1", 1};
    LeaderClient client{loop, messenger, {seed.address}};
    /** An address at which nobody listens. */
    std::string gone = Loopback::freeAddress(Loopback::nextHost());

    int leaderChanges = 0;

    Search()
    {
        leader.view = {3, leader.address, {leader.address}};
        client.leaderChanged.connect([this] { ++leaderChanges; });
        messenger.on<RequestCancel>([this](const Sender &, RequestCancel &&) { ++marks_; });
    }

    bool isPeer(const std::string &host) const
    {
        return std::ranges::count(messenger.peers(), host) > 0;
    }
    /** Has \a host send \a view and runs until it was received. */
    void receive(ScriptedHost &host, const GroupView &view)
    {
        const int target = marks_ + 1;
        host.tell(view);
        host.tell(RequestCancel{"mark"});
        runUntil(loop, [&] { return marks_ == target; });
    }
    void runUntilReachable()
    {
        runUntil(loop, [&] { return client.isLeaderReachable(); });
    }
    /** Runs until \a host has been asked \a count more times. */
    void runUntilAsked(ScriptedHost &host, std::size_t count)
    {
        const std::size_t target = host.queries + count;
        runUntil(loop, [&] { return host.queries >= target; });
    }

private:
    int marks_ = 0;
};

} // namespace

TEST_CASE("Hosts named by a seed that knows no leader and no term are asked for the leader")
{
    Search search;
    search.seed.view = {0, "", {search.leader.address}};
    search.client.start();
    search.runUntilReachable();
    CHECK(search.client.groupView().leader == search.leader.address);
}

TEST_CASE("A leader is reached although a host without a leader names a higher term")
{
    Search search;
    search.seed.view = {9, "", {search.leader.address}};
    search.client.start();
    search.runUntilReachable();
    CHECK(search.client.groupView().leader == search.leader.address);
}

TEST_CASE("A leader is reached that a seed names after it has named the same term without hosts")
{
    Search search;
    search.seed.view = {3, "", {}};
    search.client.start();
    search.runUntilAsked(search.seed, 2);
    search.seed.view = {3, search.leader.address, {search.leader.address}};
    search.runUntilReachable();
}

TEST_CASE("A view of an earlier term that comes late changes neither the leader nor the hosts")
{
    Search search;
    search.seed.answers = false;
    search.client.setSeeds({search.seed.address, search.leader.address});
    search.client.start();
    search.runUntilReachable();
    REQUIRE(search.seed.queries > 0);
    search.receive(search.seed, {2, search.gone, {search.gone}});
    search.receive(search.seed, {0, "", {search.gone}});
    CHECK(search.client.isLeaderReachable());
    CHECK(search.leaderChanges == 1);
    CHECK_FALSE(search.isPeer(search.gone));
}

TEST_CASE("A leader that changes while the answer about the earlier one is on its way is reached")
{
    Search search;
    search.seed.view = {2, search.gone, {search.gone, search.leader.address}};
    search.client.start();
    search.runUntilReachable();
    search.receive(search.seed, {2, search.gone, {search.gone}});
    CHECK(search.client.isLeaderReachable());
    CHECK(search.client.groupView().leader == search.leader.address);
}

TEST_CASE("A process names no leader that has stopped confirming, but still its hosts")
{
    Search search;
    search.seed.view = search.leader.view;
    search.client.start();
    search.runUntilReachable();
    search.leader.answers = false;
    runUntil(search.loop, [&] { return search.client.groupView().leader.empty(); });
    CHECK(search.client.groupView().term == 0);
    CHECK(search.client.groupView().hosts == std::vector{search.leader.address});
    // The word of another host does not count as a confirmation.
    search.runUntilAsked(search.seed, 2);
    CHECK(search.client.groupView().leader.empty());
}

TEST_CASE("The leader stays connected when the seeds change to hosts that do not answer")
{
    Search search;
    search.seed.view = {3, search.leader.address, {}};
    search.leader.view.hosts.clear();
    search.client.start();
    search.runUntilReachable();
    search.client.setSeeds({search.gone});
    search.runUntilAsked(search.leader, 2);
    CHECK(search.client.isLeaderReachable());
    CHECK_FALSE(search.isPeer(search.seed.address));
}

namespace {

/** A search whose seed leads, with one call to it. */
struct PendingSubmission : Search
{
    std::vector<JobCall> received;
    std::optional<JobAnswer> answer;

    PendingSubmission()
    {
        seed.view = {3, seed.address, {seed.address}};
        seed.messenger.on<JobCall>(
            [this](const Sender &, JobCall &&call) { received.push_back(std::move(call)); });
        client.start();
        runUntilReachable();
        client.call(StateCall{"press.example", "/press/1"}, std::chrono::milliseconds(400),
                    [this](JobAnswer outcome) { answer = std::move(outcome); });
        runUntil(loop, [this] { return !received.empty(); });
    }
    void reply(JobAnswerKind kind)
    {
        JobAnswer reply;
        reply.id = received.front().id;
        reply.kind = kind;
        seed.tell(reply);
    }
    JobAnswerKind outcome()
    {
        runUntil(loop, [this] { return answer.has_value(); });
        return answer->kind;
    }
};

} // namespace

// The call counted as possibly executed for ever, so that its client was not told that it can retry
// with another entry.
TEST_CASE("A call that its only receiver refused has not run")
{
    PendingSubmission call;
    call.seed.answers = false;
    call.reply(JobAnswerKind::NotLeader);
    call.seed.messenger.on<JobCall>([&](const Sender &, JobCall &&again) {
        JobAnswer refusal;
        refusal.id = again.id;
        refusal.kind = JobAnswerKind::NotLeader;
        call.seed.tell(refusal);
    });
    CHECK(call.outcome() == JobAnswerKind::Overloaded);
    CHECK(call.answer->retryAfterMs > 0);
}

TEST_CASE("A call that was sent again is unknown although one of the sends was refused")
{
    PendingSubmission call;
    call.reply(JobAnswerKind::NotLeader);
    runUntil(call.loop, [&] { return call.received.size() >= 2; });
    CHECK(call.outcome() == JobAnswerKind::Unknown);
}

TEST_CASE("A call of unknown outcome stays unknown when it is refused afterwards")
{
    PendingSubmission call;
    call.reply(JobAnswerKind::Unknown);
    runUntil(call.loop, [&] { return call.received.size() >= 2; });
    call.reply(JobAnswerKind::NotLeader);
    CHECK(call.outcome() == JobAnswerKind::Unknown);
}
