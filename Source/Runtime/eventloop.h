#pragma once

#include "Base/clock.h"

#include <functional>
#include <memory>

struct event_base;

namespace Oleander {

/**
 * \class EventLoop
 * \brief Runs the tasks of one process on one thread, over libevent.
 *
 * Everything but post() and stop() belongs to the loop's own thread.
 */
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** Runs until stop(). */
    void run();
    /** Ends run(); callable from any thread. */
    void stop();
    /** Runs \a work on the loop's thread soon, in the order of posting; callable from any thread.
     */
    void post(std::function<void()> work);
    /** Calls \a handler on the loop's thread for each delivery of \a signalNumber. */
    void onSignal(int signalNumber, std::function<void()> handler);

    const Clock &clock() const;
    event_base *base() const;

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

/**
 * \class Timer
 * \brief Calls a function once or again and again on the loop's thread; stops when destroyed.
 */
class Timer
{
public:
    Timer(EventLoop &loop, std::function<void()> handler);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    void startOnce(Duration delay);
    void startEvery(Duration period);
    void cancel();

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace Oleander
