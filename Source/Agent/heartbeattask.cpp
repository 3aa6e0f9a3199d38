#include "Agent/heartbeattask.h"

namespace Oleander {

namespace {

// Changes within this time are sent in one heartbeat.
constexpr Duration CoalescingDelay = std::chrono::milliseconds(5);
// Changes of attempts are reported immediately, so most heartbeats need not repeat the attempts.
constexpr std::uint64_t HeartbeatsPerTaskList = 4;

} // namespace

HeartbeatTask::HeartbeatTask(EventLoop &loop, Messenger &messenger, RequestTask &requests,
                             WorkerTask &worker, HeartbeatTaskOptions options)
    : messenger_(messenger)
    , requests_(requests)
    , worker_(worker)
    , options_(std::move(options))
    , timer_(loop, [this] { sendToAll(); })
    , coalescingTimer_(loop, [this] { sendToAll(); })
{}

void HeartbeatTask::start()
{
    requests_.minionsChanged.connect([this] { scheduleSend(); });
    timer_.startEvery(options_.interval);
    scheduleSend();
}

Heartbeat HeartbeatTask::makeHeartbeat()
{
    Heartbeat heartbeat;
    heartbeat.stamp = ++lastStamp_;
    heartbeat.inbox = options_.inbox;
    heartbeat.location = options_.location;
    heartbeat.minions = requests_.minions();
    // No capacity is offered before the first task list of the worker, since it may still run
    // tasks.
    heartbeat.attemptsOmitted = true;
    if (worker_.isReady())
        heartbeat.capacity = options_.capacity;
    return heartbeat;
}

void HeartbeatTask::addTasks(Heartbeat &heartbeat) const
{
    if (!worker_.isReady())
        return;
    heartbeat.attemptsOmitted = false;
    heartbeat.attempts = worker_.attempts();
    heartbeat.usage = worker_.usage();
}

void HeartbeatTask::sendToAll()
{
    const Heartbeat brief = makeHeartbeat();
    Heartbeat full = brief;
    addTasks(full);
    worker_.recordHeartbeat(brief.stamp);
    // A new leader gets the attempts with the first heartbeat after this agent learns of it.
    const std::string &leader = worker_.leader();
    const bool isTaskListDue = leader != lastLeader_ || brief.stamp % HeartbeatsPerTaskList == 0;
    lastLeader_ = leader;
    for (const auto &entry : options_.entries) {
        const bool isForLeader = leader.empty() || (isTaskListDue && entry == leader);
        // If sending fails, the next heartbeat makes up for it.
        static_cast<void>(messenger_.send(entry, isForLeader ? full : brief));
    }
}

void HeartbeatTask::scheduleSend()
{
    coalescingTimer_.startOnce(CoalescingDelay);
}

} // namespace Oleander
