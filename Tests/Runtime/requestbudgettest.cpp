#include "Runtime/requestbudget.h"

#include "Runtime/requesthead.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace Oleander;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct FakeConnection final : BudgetedConnection
{
    void evict(RefusalReason reason, RequestPhase phase) override
    {
        isEvicted = true;
        evictedFor = reason;
        phaseBefore = phase;
    }

    bool isEvicted = false;
    RefusalReason evictedFor{};
    RequestPhase phaseBefore{};
};

struct Fixture
{
    RequestBudget budget{{.maxBytes = 4'000, .maxConnections = 8}};
    std::size_t callers = budget.addDoor(4);
    std::size_t operators = budget.addDoor(4);
    std::deque<FakeConnection> connections;
    TimePoint start = TimePoint(seconds(1'000));

    FakeConnection &open(std::size_t door, Duration at)
    {
        connections.emplace_back();
        budget.open(connections.back(), door, start + at);
        return connections.back();
    }
    bool receive(FakeConnection &connection, std::size_t bytes, Duration at)
    {
        return budget.receive(connection, bytes, 0, start + at);
    }
    /** Handles a request of \a bytes at \a door that gets no response. */
    FakeConnection &handle(std::size_t door, std::size_t bytes, Duration at)
    {
        FakeConnection &connection = open(door, at);
        REQUIRE(receive(connection, 10, at));
        REQUIRE(budget.admit(connection, bytes, start + at));
        return connection;
    }
    void answer(FakeConnection &connection, Duration at)
    {
        REQUIRE(budget.admit(connection, 1, start + at));
        budget.startSending(connection, 1, 0, start + at);
        budget.finishSending(connection, 0, start + at);
    }
};

RequestHead headOf(std::string_view bytes)
{
    RequestHead head;
    // One byte at a time, as a client may send it.
    for (const char byte : bytes)
        head.feed({&byte, 1});
    return head;
}

} // namespace

TEST_CASE("Over the budget a request that stopped goes before a faster one and a small one")
{
    // Guards against refusing everybody, or large legal requests, because of stopped senders.
    Fixture f;
    auto &stopped = f.open(f.callers, seconds(0));
    auto &small = f.open(f.callers, seconds(0));
    auto &fast = f.open(f.callers, seconds(9));
    CHECK(f.receive(stopped, 1'000, seconds(0)));
    CHECK(f.receive(small, 10, seconds(0)));
    CHECK(f.receive(fast, 1'900, seconds(9)));
    CHECK(f.receive(fast, 500, seconds(10)));
    CHECK(stopped.isEvicted);
    CHECK(stopped.evictedFor == RefusalReason::Budget);
    CHECK(stopped.phaseBefore == RequestPhase::Receiving);
    CHECK_FALSE(small.isEvicted);
    CHECK_FALSE(fast.isEvicted);
    CHECK(f.budget.heldBytes() == 2'410);
    CHECK(f.budget.refusals(RefusalReason::Budget) == 1);
}

TEST_CASE("A request that is being handled is never closed; a new one is refused")
{
    // Guards against an "unknown" outcome of jobs because of load, and against more handled
    // requests than the budget holds.
    Fixture f;
    auto &handled = f.handle(f.callers, 2'900, seconds(0));
    auto &next = f.open(f.callers, seconds(1));
    auto &incomplete = f.open(f.callers, seconds(1));
    CHECK(f.receive(next, 50, seconds(1)));
    CHECK(f.receive(incomplete, 10, seconds(1)));
    CHECK_FALSE(f.budget.admit(next, 200, f.start + seconds(1)));
    CHECK_FALSE(handled.isEvicted);
    // Closing it would not have made enough room.
    CHECK_FALSE(incomplete.isEvicted);
}

TEST_CASE("A request that needs more than the budget is handled while no other is")
{
    // Guards against a legal request that is refused however often it is sent.
    Fixture f;
    f.handle(f.callers, 10'000, seconds(0));
    CHECK(f.budget.heldBytes() == 10'000);
}

TEST_CASE("Callers leave a quarter of the budget to the other doors")
{
    Fixture f;
    f.handle(f.callers, 3'000, seconds(0));
    auto &caller = f.open(f.callers, seconds(1));
    CHECK_FALSE(f.receive(caller, 1, seconds(1)));
    CHECK(caller.isEvicted);
    f.handle(f.operators, 900, seconds(1));
}

TEST_CASE("A response that is not read is closed before one that just began")
{
    // Guards against memory held by readers that take nothing.
    Fixture f;
    auto &unread = f.handle(f.callers, 1, seconds(0));
    f.budget.startSending(unread, 1'500, 0, f.start);
    auto &fresh = f.handle(f.callers, 1, seconds(2));
    f.budget.startSending(fresh, 1'600, 0, f.start + seconds(2));
    CHECK(unread.isEvicted);
    CHECK(unread.phaseBefore == RequestPhase::Sending);
    CHECK_FALSE(fresh.isEvicted);
}

TEST_CASE("A full door closes the oldest silent connection and keeps those that were served")
{
    // Guards against silent connections that shut out everybody until they time out.
    Fixture f;
    auto &served = f.open(f.callers, seconds(0));
    CHECK(f.receive(served, 10, seconds(0)));
    f.answer(served, seconds(8));
    auto &older = f.open(f.callers, seconds(1));
    auto &newer = f.open(f.callers, seconds(2));
    f.handle(f.callers, 10, seconds(3));
    f.open(f.callers, seconds(9));
    CHECK(older.isEvicted);
    CHECK(older.evictedFor == RefusalReason::Connections);
    CHECK_FALSE(newer.isEvicted);
    CHECK_FALSE(served.isEvicted);
    CHECK(f.budget.openConnections() == 4);
    CHECK(f.budget.closingConnections(f.callers) == 1);
    // Otherwise a crowd at one door would stop the others from accepting.
    CHECK(f.budget.closingConnections(f.operators) == 0);
}

TEST_CASE("A full door refuses a connection while all others are being handled")
{
    Fixture f;
    for (int i = 0; i < 4; ++i)
        f.handle(f.callers, 10, seconds(0));
    FakeConnection refused;
    CHECK_FALSE(f.budget.open(refused, f.callers, f.start + seconds(60)));
    CHECK(f.budget.openConnections() == 4);
    FakeConnection other;
    CHECK(f.budget.open(other, f.operators, f.start));
    f.budget.close(refused);
    f.budget.close(other);
    CHECK(f.budget.openConnections() == 4);
    CHECK(f.budget.closingConnections(f.callers) == 0);
}

TEST_CASE("A request has a second before it is closed in favour of a new connection")
{
    // Among clients that do not read their answers, an ordinary upload was the first to be closed.
    Fixture f;
    for (int i = 0; i < 3; ++i)
        f.handle(f.callers, 10, seconds(0));
    auto &upload = f.open(f.callers, seconds(0));
    CHECK(f.receive(upload, 100, seconds(0)));
    FakeConnection refused;
    CHECK_FALSE(f.budget.open(refused, f.callers, f.start + milliseconds(900)));
    CHECK_FALSE(upload.isEvicted);
    f.open(f.callers, seconds(2));
    CHECK(upload.isEvicted);
    f.budget.close(refused);
}

TEST_CASE("The bytes of closed connections are released")
{
    // Guards against a budget that shrinks with every connection.
    Fixture f;
    f.budget.close(f.handle(f.callers, 500, seconds(0)));
    auto &incomplete = f.open(f.callers, seconds(0));
    CHECK(f.receive(incomplete, 100, seconds(0)));
    f.budget.close(incomplete);
    CHECK(f.budget.heldBytes() == 0);
    CHECK(f.budget.openConnections() == 0);
    // With nobody in handling, the door admits a request of any size again.
    f.handle(f.callers, 10'000, seconds(1));
}

TEST_CASE("A request head is followed in single bytes")
{
    const auto head =
        headOf("PUT /a/b?c=d HTTP/1.1\r\nHost: a\r\ncontent-length: 70000\r\n\r\nabc");
    CHECK(head.isComplete());
    CHECK(head.method() == "PUT");
    CHECK(head.path() == "/a/b");
    CHECK(head.fields() == 2);
    CHECK(head.bodyBytes() == 70'000);
    CHECK_FALSE(headOf("GET / HTTP/1.1\r\nHost: a\r\n").isComplete());
    CHECK(headOf("GET /" + std::string(2'000, 'a') + " HTTP/1.1\r\n\r\n").path().empty());
}

TEST_CASE("Trailer fields count and data of chunks does not")
{
    // Guards against many fields behind the body, and against refusing bodies of short lines.
    const std::string head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    CHECK(headOf(head + "8\r\na\r\nb\r\nc\n\r\n3\r\nx\n\n\r\n").fields() == 1);
    CHECK(headOf(head + "8\r\na\r\nb\r\nc\n\r\n3\r\nx\n\n\r\n").bodyBytes() == 11);
    CHECK(headOf(head + "1\r\na\r\n0\r\nA: 1\r\nB: 2\r\n\r\nC: 3\r\n").fields() == 3);
    // evhttp needs no line end behind a chunk. Fields that are taken for the size of a chunk, as
    // hexadecimal numbers, would not be counted.
    CHECK(headOf(head + "1\r\na0\r\nFF: x\r\nFF: x\r\n").fields() == 3);
}
