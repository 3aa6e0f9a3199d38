#include "Entry/schedulertask.h"

namespace Oleander {

namespace {

Placement::SchedulerSettings withLeader(Placement::SchedulerSettings settings,
                                        const std::string &name)
{
    settings.leader = name;
    return settings;
}

} // namespace

SchedulerTask::SchedulerTask(EventLoop &loop, Messenger &messenger, SchedulerTaskOptions options)
    : loop_(loop)
    , messenger_(messenger)
    , options_(std::move(options))
    , scheduler_(options_.book(), *this, withLeader(options_.scheduler, messenger_.name()))
    , timer_(loop, [this] { scheduler_.tick(loop_.clock().now(), loop_.clock().wallNow()); })
{
    messenger_.on<Heartbeat>([this](const Sender &sender, Heartbeat &&heartbeat) {
        if (!options_.isLeader())
            return;
        pendingHeartbeats_.push_back({sender.name, sender.incarnation, std::move(heartbeat)});
        confirmAndAnswer();
    });
    messenger_.on<TaskReport>([this](const Sender &sender, TaskReport &&report) {
        if (options_.isLeader())
            scheduler_.handleReports(sender.name, report.attempts, loop_.clock().now(),
                                     loop_.clock().wallNow());
    });
    timer_.startEvery(options_.tickInterval);
}

void SchedulerTask::roleChanged()
{
    if (!options_.isLeader()) {
        scheduler_.stepDown();
        pendingHeartbeats_.clear();
        return;
    }
    confirmAndAnswer();
}

void SchedulerTask::confirmAndAnswer()
{
    if (isConfirming_)
        return;
    isConfirming_ = true;
    // Heartbeats received from now on need a later confirmation: a lease starts at its heartbeat
    // and must end before the next leader has waited out the leases of its predecessor.
    options_.confirmLeadership(
        [this, batch = std::move(pendingHeartbeats_)](const Result<void> &confirmed) {
            isConfirming_ = false;
            const bool leads = confirmed.has_value() && options_.isLeader();
            if (leads && !scheduler_.isLeading())
                scheduler_.lead(loop_.clock().now());
            if (leads) {
                for (const ReceivedHeartbeat &received : batch)
                    answerHeartbeat(received);
            }
            const bool mustRetry = options_.isLeader() && !scheduler_.isLeading();
            if (!pendingHeartbeats_.empty() || (!confirmed && mustRetry))
                confirmAndAnswer();
        });
    pendingHeartbeats_.clear();
}

void SchedulerTask::answerHeartbeat(const ReceivedHeartbeat &received)
{
    incarnations_[received.agent] = received.incarnation;
    messenger_.addPeer(received.agent, received.heartbeat.inbox);
    HeartbeatReply reply = scheduler_.heartbeat(received.agent, received.heartbeat,
                                                loop_.clock().now(), loop_.clock().wallNow());
    reply.leader = messenger_.name();
    // A lost reply only skips one lease renewal; the next heartbeat gets another reply.
    static_cast<void>(messenger_.send(received.agent, std::move(reply), received.incarnation));
}

void SchedulerTask::propose(Placement::TaskCommand command,
                            std::function<void(const Placement::TaskOutcome *)> done)
{
    if (!options_.isLeader()) {
        // A former leader cannot propose. The outcome of an earlier attempt is unknown.
        loop_.post([done = std::move(done)] { done(nullptr); });
        return;
    }
    options_.propose(std::move(command),
                     [done = std::move(done)](const Result<Placement::TaskOutcome> &outcome) {
                         done(outcome ? &*outcome : nullptr);
                     });
}

void SchedulerTask::send(const std::string &worker, TaskOrder order)
{
    const auto incarnation = incarnations_.find(worker);
    if (incarnation == incarnations_.end())
        return;
    // Orders are resent until a report shows their effect.
    static_cast<void>(messenger_.send(worker, std::move(order), incarnation->second));
}

} // namespace Oleander
