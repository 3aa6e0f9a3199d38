#include "Runtime/eventloop.h"

#include <event2/event.h>
#include <event2/thread.h>

#include <csignal>
#include <ctime>
#include <list>
#include <mutex>
#include <utility>
#include <vector>

namespace Oleander {

namespace {

class SystemClock final : public Clock
{
public:
    TimePoint now() const override
    {
        // Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME includes the time during which the machine is
        // suspended, so that leases expire during a suspension.
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return TimePoint(std::chrono::duration_cast<Duration>(
            std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
    }
    WallTime wallNow() const override
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
    }
};

timeval toTimeval(Duration duration)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    timeval value{};
    value.tv_sec = seconds.count();
    value.tv_usec = (duration - seconds).count();
    return value;
}

void runHandler(evutil_socket_t, short, void *argument)
{
    (*static_cast<std::function<void()> *>(argument))();
}

} // namespace

struct EventLoop::Private
{
    struct SignalHandler
    {
        std::function<void()> handler;
        event *native = nullptr;
    };

    SystemClock clock;
    event_base *base = nullptr;
    // Posted work runs when this timer fires, in the loop iteration after the posting. libevent
    // polls sockets and timers between iterations, so work that posts itself again cannot starve
    // them.
    event *wake = nullptr;
    std::function<void()> wakeHandler;
    std::mutex mutex;
    std::vector<std::function<void()>> posted;
    std::list<SignalHandler> signals;
    bool stopping = false;

    void scheduleWake()
    {
        const timeval now{};
        event_add(wake, &now);
    }

    void runPosted()
    {
        std::vector<std::function<void()>> batch;
        {
            const std::lock_guard lock(mutex);
            batch.swap(posted);
        }
        for (auto &work : batch)
            work();
        const std::lock_guard lock(mutex);
        if (stopping)
            event_base_loopbreak(base);
    }
};

EventLoop::EventLoop() : private_(std::make_unique<Private>())
{
    static const bool ThreadingEnabled = evthread_use_pthreads() == 0;
    (void)ThreadingEnabled;
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler)
    private_->base = event_base_new();
    private_->wakeHandler = [this] { private_->runPosted(); };
    private_->wake = evtimer_new(private_->base, runHandler, &private_->wakeHandler);
}

EventLoop::~EventLoop()
{
    // Pending work may own sockets of this loop, so it is destroyed before the event base.
    while (!private_->posted.empty())
        std::exchange(private_->posted, {}).clear();
    for (auto &registered : private_->signals)
        event_free(registered.native);
    event_free(private_->wake);
    event_base_free(private_->base);
}

void EventLoop::run()
{
    event_base_loop(private_->base, EVLOOP_NO_EXIT_ON_EMPTY);
    const std::lock_guard lock(private_->mutex);
    private_->stopping = false;
}

void EventLoop::stop()
{
    {
        const std::lock_guard lock(private_->mutex);
        private_->stopping = true;
    }
    private_->scheduleWake();
}

void EventLoop::post(std::function<void()> work)
{
    bool first = false;
    {
        const std::lock_guard lock(private_->mutex);
        first = private_->posted.empty();
        private_->posted.push_back(std::move(work));
    }
    if (first)
        private_->scheduleWake();
}

void EventLoop::onSignal(int signalNumber, std::function<void()> handler)
{
    auto &registered = private_->signals.emplace_back();
    registered.handler = std::move(handler);
    registered.native = evsignal_new(private_->base, signalNumber, runHandler, &registered.handler);
    event_add(registered.native, nullptr);
}

const Clock &EventLoop::clock() const
{
    return private_->clock;
}

event_base *EventLoop::base() const
{
    return private_->base;
}

struct Timer::Private
{
    std::function<void()> handler;
    event_base *base = nullptr;
    event *timer = nullptr;

    void start(Duration duration, short flags)
    {
        event_del(timer);
        event_assign(timer, base, -1, flags, runHandler, &handler);
        const timeval delay = toTimeval(std::max(duration, Duration::zero()));
        event_add(timer, &delay);
    }
};

Timer::Timer(EventLoop &loop, std::function<void()> handler) : private_(std::make_unique<Private>())
{
    private_->handler = std::move(handler);
    private_->base = loop.base();
    private_->timer = event_new(loop.base(), -1, 0, runHandler, &private_->handler);
}

Timer::~Timer()
{
    event_free(private_->timer);
}

void Timer::startOnce(Duration delay)
{
    private_->start(delay, 0);
}

void Timer::startEvery(Duration period)
{
    private_->start(period, EV_PERSIST);
}

void Timer::cancel()
{
    event_del(private_->timer);
}

} // namespace Oleander
