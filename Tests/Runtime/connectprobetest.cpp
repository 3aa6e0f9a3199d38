#include "Runtime/connectprobe.h"

#include "Support/descriptorlimit.h"
#include "Support/loopback.h"
#include "Support/resettinglistener.h"
#include "Support/rununtil.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace Oleander;
using Testing::DescriptorLimit;
using Testing::Loopback;
using Testing::ResettingListener;

namespace {

/** An address at which nobody listens yet, and a probe of it. */
struct Fixture
{
    EventLoop loop;
    std::string address = Loopback::freeAddress(Loopback::nextHost());
    ConnectProbe probe{loop, address};

    /** Returns the outcome of an attempt to connect. */
    std::error_code connect()
    {
        std::optional<std::error_code> outcome;
        probe.start([&](std::error_code error) { outcome = error; });
        CHECK_FALSE(outcome);
        Testing::runUntil(loop, [&] { return outcome.has_value(); });
        return *outcome;
    }
};

} // namespace

TEST_CASE("A connection attempt tells whether a process listens, also if it resets connections")
{
    Fixture fixture;
    CHECK(fixture.connect() == std::errc::connection_refused);
    {
        ResettingListener listener(fixture.loop, fixture.address);
        const std::error_code outcome = fixture.connect();
        CHECK((!outcome || outcome == std::errc::connection_reset));
    }
    CHECK(fixture.connect() == std::errc::connection_refused);
}

TEST_CASE("A connection attempt without a free file descriptor is not one that was refused")
{
    Fixture fixture;
    const DescriptorLimit limit;
    CHECK(fixture.connect() == std::errc::too_many_files_open);
}

TEST_CASE("A cancelled connection attempt has no outcome, and a later one has its own")
{
    Fixture fixture;
    bool isCalled = false;
    fixture.probe.start([&](std::error_code) { isCalled = true; });
    fixture.probe.cancel();
    fixture.probe.start([&](std::error_code) { isCalled = true; });
    CHECK(fixture.connect() == std::errc::connection_refused);
    CHECK_FALSE(isCalled);
}
