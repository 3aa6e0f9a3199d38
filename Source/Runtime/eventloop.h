#pragma once

#include "Base/clock.h"

#include <functional>
#include <memory>

struct event_base;

namespace Oleander {

/**
 * \class EventLoop
 * \brief Single-threaded event loop of one process, based on libevent.
 *
 * Only post() and stop() are thread-safe.
 */
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** Processes events until stop() is called. */
    void run();
    /** Makes run() return; thread-safe. */
    void stop();
    /** Queues \a work to run on the loop's thread, in the order of posting; thread-safe. */
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
 * \brief One-shot or periodic timer on the loop's thread; cancelled when destroyed.
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
