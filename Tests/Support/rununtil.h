#pragma once

#include "Runtime/eventloop.h"

#include <catch2/catch.hpp>

#include <functional>

namespace Oleander::Testing {

/** Time limit of runUntil(), long enough for a busy machine. */
constexpr Duration RunLimit = std::chrono::seconds(20);

/** Runs \a loop until \a done returns true; fails the test after RunLimit. */
inline void runUntil(EventLoop &loop, const std::function<bool()> &done)
{
    const TimePoint start = loop.clock().now();
    Timer poll(loop, [&] {
        if (done() || loop.clock().now() - start > RunLimit)
            loop.stop();
    });
    poll.startEvery(std::chrono::milliseconds(1));
    loop.run();
    REQUIRE(done());
}

} // namespace Oleander::Testing
