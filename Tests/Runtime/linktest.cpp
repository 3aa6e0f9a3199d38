#include "Runtime/messenger.h"
#include "Support/rununtil.h"

#include <catch2/catch.hpp>

using namespace Oleander;
using Testing::runUntil;

namespace {} // namespace

TEST_CASE("A burst of frames to one peer arrives completely and in order")
{
    constexpr std::uint64_t Count = 3000;
    EventLoop loop;
    Messenger receiver(loop, "entry-1", 1);
    Messenger sender(loop, "agent-1", 9);
    const auto address = receiver.listen("127.0.0.1:0");
    REQUIRE(address.has_value());
    sender.addPeer("entry-1", *address);
    std::vector<std::uint64_t> stamps;
    receiver.on<Heartbeat>([&](const Sender &from, Heartbeat &&heartbeat) {
        CHECK(from.name == "agent-1");
        CHECK(from.incarnation == 9);
        stamps.push_back(heartbeat.stamp);
    });
    runUntil(loop, [&] { return sender.connected("entry-1"); });
    for (std::uint64_t i = 0; i < Count; ++i) {
        Heartbeat heartbeat;
        heartbeat.stamp = i;
        REQUIRE(sender.send("entry-1", heartbeat).has_value());
    }
    runUntil(loop, [&] { return stamps.size() == Count; });
    CHECK(std::is_sorted(stamps.begin(), stamps.end()));
}

TEST_CASE("Sending to a peer without a connection fails before anything is sent")
{
    EventLoop loop;
    Messenger sender(loop, "agent-1", 1);
    CHECK(sender.send("entry-1", RequestCancel{"r"}).error().code == Failure::Unavailable);
    sender.addPeer("entry-1", "127.0.0.1:1");
    const auto refused = sender.send("entry-1", RequestCancel{"r"});
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().peer == "entry-1");
    CHECK(refused.error().step == Step::Send);
}

TEST_CASE("A frame meant for an earlier incarnation is dropped and counted")
{
    EventLoop loop;
    Messenger receiver(loop, "agent-1", 2);
    Messenger sender(loop, "entry-1", 1);
    const auto address = receiver.listen("127.0.0.1:0");
    REQUIRE(address.has_value());
    sender.addPeer("agent-1", *address);
    std::vector<std::string> seen;
    receiver.on<RequestCancel>(
        [&](const Sender &, RequestCancel &&cancel) { seen.push_back(cancel.request); });
    runUntil(loop, [&] { return sender.connected("agent-1"); });
    REQUIRE(sender.send("agent-1", RequestCancel{"old"}, 1).has_value());
    REQUIRE(sender.send("agent-1", RequestCancel{"new"}, 2).has_value());
    runUntil(loop, [&] { return !seen.empty(); });
    CHECK(seen == std::vector<std::string>{"new"});
    CHECK(receiver.wrongIncarnationFrames() == 1);
}
