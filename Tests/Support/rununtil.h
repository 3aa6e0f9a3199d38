#pragma once

#include "Runtime/eventloop.h"

#include <catch2/catch.hpp>

#include <functional>

namespace Oleander::Testing {

/** Longer than anything should take on a busy machine. */
constexpr Duration RunLimit = std::chrono::seconds(20);

/** Runs \a loop until \a done; fails the test when that takes longer than anything should. */
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
