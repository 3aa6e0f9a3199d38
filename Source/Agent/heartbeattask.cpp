#include "Agent/heartbeattask.h"

namespace Oleander {

namespace {

// Changes that come together leave in one heartbeat.
constexpr Duration GatherTime = std::chrono::milliseconds(5);

} // namespace

HeartbeatTask::HeartbeatTask(EventLoop &loop, Messenger &messenger, RequestTask &requests,
                             WorkerTask &worker, HeartbeatTaskOptions options)
    : messenger_(messenger)
    , requests_(requests)
    , worker_(worker)
    , options_(std::move(options))
    , timer_(loop, [this] { sendToAll(); })
    , soon_(loop, [this] { sendToAll(); })
{}

void HeartbeatTask::start()
{
    requests_.minionsChanged.connect([this] { sendSoon(); });
    timer_.startEvery(options_.interval);
    sendSoon();
}

Heartbeat HeartbeatTask::makeHeartbeat()
{
    Heartbeat heartbeat;
    heartbeat.stamp = ++lastStamp_;
    heartbeat.inbox = options_.inbox;
    heartbeat.location = options_.location;
    heartbeat.minions = requests_.minions();
    // Until the worker was listed once, nobody knows what it still runs, so it offers no room.
    if (worker_.isReady()) {
        heartbeat.capacity = options_.capacity;
        heartbeat.attempts = worker_.attempts();
        heartbeat.usage = worker_.usage();
    }
    return heartbeat;
}

void HeartbeatTask::sendToAll()
{
    const Heartbeat heartbeat = makeHeartbeat();
    worker_.heartbeatMade(heartbeat.stamp);
    for (const auto &entry : options_.entries) {
        // A heartbeat that cannot leave is replaced by the next one.
        (void)messenger_.send(entry, heartbeat);
    }
}

void HeartbeatTask::sendSoon()
{
    soon_.startOnce(GatherTime);
}

} // namespace Oleander
