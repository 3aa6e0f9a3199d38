#include "Support/forwarder.h"

#include "Support/childprocess.h"
#include "Support/loopback.h"
#include "Support/socket.h"
#include "Support/waitfor.h"

#include <catch2/catch.hpp>
#include <poll.h>
#include <sys/socket.h>

#include <memory>
#include <set>
#include <string>

using namespace Oleander::Testing;

namespace {

/** Reads from \a socket; returns an empty string if no bytes arrive within the limit. */
std::string received(const Socket &socket, int limitMilliseconds)
{
    pollfd wait{socket.descriptor(), POLLIN, 0};
    char buffer[64];
    if (poll(&wait, 1, limitMilliseconds) <= 0)
        return {};
    const ssize_t count = recv(socket.descriptor(), buffer, sizeof(buffer), 0);
    return count > 0 ? std::string(buffer, static_cast<std::size_t>(count)) : std::string();
}

constexpr int LongWaitMilliseconds = 60'000;
constexpr int ShortWaitMilliseconds = 100;

} // namespace

TEST_CASE("A forwarder passes bytes both ways, holds them while cut and delivers them when healed")
{
    const std::string host = Loopback::nextHost();
    const Socket listener = Socket::listeningOn(host + ":0");
    Forwarder forwarder(host, listener.address());
    const Socket dialer = Socket::connectedTo(forwarder.address());
    const Socket target(accept(listener.descriptor(), nullptr, nullptr));
    REQUIRE(dialer.valid());
    REQUIRE(target.valid());

    CHECK(dialer.sendAll("ask"));
    CHECK(received(target, LongWaitMilliseconds) == "ask");
    forwarder.cut(Direction::ToTarget);
    CHECK(dialer.sendAll("held"));
    CHECK(target.sendAll("answer"));
    CHECK(received(dialer, LongWaitMilliseconds) == "answer");
    CHECK(received(target, ShortWaitMilliseconds).empty());
    forwarder.heal();
    CHECK(received(target, LongWaitMilliseconds) == "held");
    // The forwarder counts bytes after sending them, so the target may receive them first.
    CHECK(waitFor([&] { return forwarder.forwardedBytes() == 13; }));

    forwarder.setDelay(std::chrono::milliseconds(50));
    const auto start = std::chrono::steady_clock::now();
    CHECK(dialer.sendAll("late"));
    CHECK(received(target, LongWaitMilliseconds) == "late");
    CHECK(std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(50));
}

TEST_CASE("No forwarder takes a port that was handed out to a process that has not started yet")
{
    // Most of the ports that the kernel assigns, so that a forwarder without this rule takes one.
    constexpr std::size_t HandedOut = 10'000;
    const std::string host = Loopback::nextHost();
    std::set<std::string> handedOut;
    while (handedOut.size() < HandedOut)
        handedOut.insert(Loopback::freeAddress(host));
    for (int i = 0; i < 20; ++i) {
        const Forwarder forwarder(host, host + ":1");
        INFO(forwarder.address());
        CHECK_FALSE(handedOut.contains(forwarder.address()));
    }
}

TEST_CASE("The hosts of a killed test program are not handed out while its processes run")
{
    const HostBlock own(0);
    auto killed = std::make_unique<HostBlock>(0);
    const std::string host = killed->host(0);
    CHECK(host != own.host(0));
    const ChildProcess left({"/bin/sleep", "600"});
    killed.reset();
    CHECK(HostBlock(0).host(0) != host);
}

TEST_CASE("Test programs get hosts of 127.0.0.0/8 and free ports")
{
    const auto first = Loopback::nextHost();
    const auto second = Loopback::nextHost();
    CHECK(first.starts_with("127."));
    CHECK(first != second);
    CHECK(Socket::listeningOn(Loopback::freeAddress(first)).valid());
}
