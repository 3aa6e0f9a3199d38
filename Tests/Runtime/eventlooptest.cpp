#include "Runtime/eventloop.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace Oleander;

TEST_CASE("Posted work runs on the loop in order, also from another thread")
{
    EventLoop loop;
    std::string order;
    std::thread other([&] {
        loop.post([&] { order += 'a'; });
        loop.post([&] { order += 'b'; });
        loop.post([&] { loop.stop(); });
    });
    loop.run();
    other.join();
    CHECK(order == "ab");
}

TEST_CASE("A timer fires, repeats and can be cancelled")
{
    EventLoop loop;
    int fired = 0;
    Timer never(loop, [&] { fired = -100; });
    Timer timer(loop, [&] {
        if (++fired == 3)
            loop.stop();
    });
    never.startOnce(std::chrono::milliseconds(1));
    never.cancel();
    timer.startEvery(std::chrono::milliseconds(1));
    loop.run();
    CHECK(fired == 3);
}

TEST_CASE("Work that posts itself again does not starve timers")
{
    EventLoop loop;
    bool fired = false;
    // Stops the loop if the timer never fires.
    int turnsLeft = 10'000'000;
    std::function<void()> again = [&] {
        if (--turnsLeft == 0)
            loop.stop();
        else
            loop.post(again);
    };
    Timer timer(loop, [&] {
        fired = true;
        loop.stop();
    });
    timer.startOnce(std::chrono::milliseconds(1));
    loop.post(again);
    loop.run();
    CHECK(fired);
}
