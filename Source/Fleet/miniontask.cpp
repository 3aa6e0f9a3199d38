#include "Fleet/miniontask.h"

#include "Fleet/miniontaskprivate.h"
#include "Runtime/log.h"

#include <algorithm>
#include <utility>

namespace Oleander::Fleet {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(25);
/** Timeout of the check of a new connection. The lists are answered at once; a minion that leaves
 * calls unanswered should cost the call behind the check little time. */
constexpr Duration CheckTimeout = std::chrono::milliseconds(150);
/** Polls wait for ends of runs, so they use a connection of their own and never delay an order. */
constexpr ConnectionLimits PollConnections{1, 0};
/** Starts never occupy the connections that are reserved for stops. */
constexpr ConnectionLimits OrderConnections{4, 4};
/** Ends of ended instances that are reported; bounds the reports of an agent that finds no leader
 * while its minion starts again and again. */
constexpr std::size_t MaxLastEnds = 1'000;
/** Share of the confirmation time for which a start may be sent after the report that the leader's
 * order is based on. The rest covers the wait of the call and the start of the task. */
constexpr int StartValidityPercent = 66;
constexpr int Hundred = 100;
/** Fences in one term, far more than instances start at one address. With any realistic term, the
 * fence stays within the integers that JSON carries exactly. */
constexpr std::uint64_t FencesPerTerm = 1024;

RunEnd makeRunEnd(const Jobs::RunKey &key, RunEndKind kind)
{
    return {0, key.first, key.second, kind, {}};
}

} // namespace

MinionTask::MinionTask(EventLoop &loop, const FleetCodec &codec, const std::string &address,
                       Duration confirmationTime)
    : loop_(loop)
    , codec_(codec)
    , address_(address)
    , startValidity_(confirmationTime * StartValidityPercent / Hundred)
    , verifier_(loop, codec, address, [this](const std::string &name) { return makeProbe(name); })
    , connectProbe_(loop, address)
    , tickTimer_(loop, [this] { tick(); })
{
    verifier_.confirmed.connect(
        [this](const MinionAnnouncement &announcement) { replaceInstance(announcement); });
    verifier_.fenceRefused.connect([this] { raiseFence(probeFence_); });
    tickTimer_.startEvery(TickInterval);
}

void MinionTask::handleAnnouncement(const MinionAnnouncement &announcement)
{
    if (hasMinion_ && announcement.minion.life == minion_.life)
        updateInstance(announcement);
    else
        verifier_.verify(announcement);
}

void MinionTask::updateInstance(const MinionAnnouncement &announcement)
{
    // An announcement that arrives out of order is ignored.
    if (announcement.sequence <= announcementSequence_)
        return;
    const MinionReport previous = std::exchange(minion_, announcement.minion);
    minion_.reachable = previous.reachable;
    announcementSequence_ = announcement.sequence;
    if (minion_.draining != previous.draining)
        logEvent(LogEvent::MinionDraining, Step::Leave, minion_.life.name, {});
    const bool hasShrunk = !minion_.hasCapacityOf(previous);
    // The leader has decided the starts for a minion that stays and has the previous capacity.
    if (minion_.draining || hasShrunk)
        withdrawStarts(minion_.draining ? "the minion drains" : "the minion has shrunk");
    if (minion_.draining != previous.draining || hasShrunk || !previous.hasCapacityOf(minion_))
        reportNeeded.emit();
}

void MinionTask::replaceInstance(const MinionAnnouncement &announcement)
{
    const MinionLife &life = announcement.minion.life;
    // The process refused connections for a while. Until the leader has committed the end of its
    // runs, the reports cannot distinguish runs that are started from now on.
    if (std::ranges::find(endedInstances_, life) != endedInstances_.end()) {
        return logEvent(
            LogEvent::MinionUnconfirmed, Step::Join, life.name,
            {{"born_ms", life.bornMs}, {"why", "the end of its runs is not committed yet"}});
    }
    endInstance("another instance answered at its address");
    startInstance(announcement);
}

void MinionTask::startInstance(const MinionAnnouncement &announcement)
{
    ++instanceNumber_;
    // Verifications keep the previous fence, since they may reach the previous instance.
    instanceFence_ = std::min(instanceFence_ + 1, FencesPerTerm - 1);
    hasMinion_ = true;
    minion_ = announcement.minion;
    announcementSequence_ = announcement.sequence;
    minionClockMs_ = announcement.clockMs;
    nextPollAt_ = {};
    pollClient_ = makeClient(PollConnections);
    orderClient_ = makeClient(OrderConnections);
    logEvent(LogEvent::MinionAnnounced, Step::Join, minion_.life.name,
             {{"born_ms", minion_.life.bornMs}, {"milli_cores", minion_.milliCores}});
    reportNeeded.emit();
}

std::unique_ptr<HttpClient> MinionTask::makeClient(ConnectionLimits limits)
{
    ConnectionCheck check;
    check.timeout = CheckTimeout;
    // The lease and the acknowledged ends are valid for one instance only.
    check.request = [this] { return makeProbe(minion_.life.name); };
    check.accepts = [this, instance = instanceNumber_](const HttpResponse &response) {
        return isCurrentInstance(instance) && isFromInstance(response);
    };
    return std::make_unique<HttpClient>(loop_, address_, limits, std::move(check));
}

bool MinionTask::isFromInstance(const HttpResponse &response)
{
    const auto lists = codec_.decodeRunLists(response);
    const bool isCurrent = lists && lists->bornMs == minion_.life.bornMs;
    if (lists && !isCurrent)
        endInstance("another instance answered at its address");
    if (codec_.isFenceRefusal(response))
        raiseFence(probeFence_);
    return isCurrent;
}

std::uint64_t MinionTask::fence() const
{
    return term_ * FencesPerTerm + instanceFence_;
}

HttpRequest MinionTask::makeProbe(const std::string &name)
{
    probeFence_ = fence();
    return codec_.pollRequest(name, PollOrder{}, probeFence_);
}

void MinionTask::raiseFence(std::uint64_t refused)
{
    // A call of an earlier term or instance may be refused. Otherwise an earlier process of the
    // agent has used a higher fence; without a term, nothing is known of the leader's fences.
    if (refused != fence() || term_ == 0 || instanceFence_ + 1 == FencesPerTerm)
        return;
    instanceFence_ = std::min(2 * instanceFence_ + 1, FencesPerTerm - 1);
    logEvent(LogEvent::MinionFenceRaised, Step::Join, minion_.life.name,
             {{"term", term_}, {"fence", fence()}});
}

void MinionTask::endInstance(const char *why)
{
    if (!hasMinion_)
        return;
    const bool isCrash = !minion_.draining;
    MinionCrash crash;
    if (isCrash) {
        crash = crashAttribution_.describe(
            loop_.clock().now(), minion_.life,
            [&](const Jobs::RunKey &key) { return !undeliveredStarts_.contains(key); });
        crashes_.push_back(crash);
    }
    const std::size_t listedEnds = finished_.size();
    const std::size_t droppedEnds = keepLastEnds();
    logEvent(LogEvent::MinionLapsed, Step::Leave, minion_.life.name,
             {{"born_ms", minion_.life.bornMs},
              {"why", why},
              {"runs", running_.size()},
              {"ends", listedEnds},
              {"ends_dropped", droppedEnds},
              {"crash", isCrash ? 1 : 0},
              {"suspects", crash.suspects.size()},
              {"immediate", crash.isImmediate ? 1 : 0}});
    hasMinion_ = false;
    // This function may be called by a callback of a client.
    for (auto *client : {&pollClient_, &orderClient_})
        loop_.post([ended = std::shared_ptr<HttpClient>(std::move(*client))] {});
    isPolling_ = false;
    latestEventReport_ = NotYetReported;
    endedInstances_.push_back(minion_.life);
    minionClockMs_ = 0;
    holdUntilMs_ = 0;
    acknowledgedEnd_ = 0;
    hasRunList_ = false;
    hasMoreEnds_ = false;
    forgetPollFailures();
    crashAttribution_ = {};
    highestEndNumber_ = 0;
    running_.clear();
    finished_.clear();
    startOrders_.clear();
    undeliveredStarts_.clear();
    unansweredStarts_.clear();
    pendingStops_.clear();
    stopRetries_.clear();
    refusals_.clear();
    paceController_ = {};
    reportNeeded.emit();
}

std::size_t MinionTask::keepLastEnds()
{
    std::erase_if(finished_, [this](const RunEnd &end) { return end.number <= acknowledgedEnd_; });
    std::size_t room = MaxLastEnds;
    for (const ListedEnds &listed : lastEnds_)
        room -= listed.ends.size();
    const std::size_t dropped = finished_.size() - std::min(finished_.size(), room);
    finished_.resize(finished_.size() - dropped);
    if (!finished_.empty())
        lastEnds_.push_back({minion_.life, finished_});
    return dropped;
}

void MinionTask::handleDeparture(const MinionDeparture &departure)
{
    verifier_.forget(departure.name);
    if (!hasMinion_ || departure.name != minion_.life.name || minion_.draining)
        return;
    // Without an acknowledgement the minion goes on for some time, so its runs end with its
    // process.
    minion_.draining = true;
    logEvent(LogEvent::MinionDraining, Step::Leave, minion_.life.name, {});
    withdrawStarts("the minion leaves");
    reportNeeded.emit();
}

void MinionTask::handleDirective(const MachineDirective &directive)
{
    // Directives of a replaced leader are ignored.
    if (directive.term < term_)
        return;
    if (directive.term > term_)
        instanceFence_ = 0;
    term_ = directive.term;
    if (directive.acknowledgedReport > 0 && directive.acknowledgedReport >= latestEventReport_) {
        endedInstances_.clear();
        crashes_.clear();
        lastEnds_.clear();
        std::erase_if(refusals_, [](const auto &item) { return item.second.isConfirmed; });
    }
    if (!hasMinion_ || directive.life != minion_.life)
        return;
    directedAt_ = loop_.clock().now();
    stopRetries_.clear();
    holdUntilMs_ = std::max(holdUntilMs_, directive.holdUntilMs);
    if (directive.acknowledgedEnd > acknowledgedEnd_) {
        acknowledgedEnd_ = directive.acknowledgedEnd;
        nextPollAt_ = {};
    }
    for (const ImageInterference &pair : directive.interference)
        paceController_.learn(pair);
    for (const JobWeight &job : directive.weights) {
        for (auto &[key, order] : startOrders_) {
            if (key.first.job == job.job)
                order.weight = job.weight;
        }
    }
    const TimePoint sendUntil = startExpiry(directive);
    for (const StartRenewal &renewal : directive.renewals) {
        const auto start = undeliveredStarts_.find({renewal.task, renewal.run});
        if (start != undeliveredStarts_.end())
            start->second.sendUntil = std::max(start->second.sendUntil, sendUntil);
    }
    for (const StopOrder &order : directive.stops) {
        const Jobs::RunKey key{order.task, order.run};
        if (undeliveredStarts_.contains(key))
            withdrawStart(key, "its stop was ordered");
        else
            sendStop(key);
    }
    for (const StartOrder &order : directive.starts)
        handleStartOrder(order, sendUntil, directive.holdUntilMs);
    tick();
}

void MinionTask::tick()
{
    if (!hasMinion_)
        return;
    const TimePoint now = loop_.clock().now();
    std::vector<Jobs::RunKey> keys;
    for (const auto &[key, start] : undeliveredStarts_) {
        if (now >= start.retryAt)
            keys.push_back(key);
    }
    for (const Jobs::RunKey &key : keys) {
        const auto start = undeliveredStarts_.find(key);
        if (start == undeliveredStarts_.end())
            continue;
        if (start->second.isWithdrawn)
            stopWithdrawn(key);
        else
            sendStart(key);
    }
    for (const auto &[key, retryAt] : std::map(stopRetries_)) {
        if (now >= retryAt)
            sendStop(key);
    }
    if (!isPolling_ && now >= nextPollAt_)
        pollRuns();
}

MachineReport MinionTask::makeReport(std::uint64_t sequence)
{
    MachineReport report;
    report.sequence = sequence;
    report.stamp = loop_.clock().now().time_since_epoch().count();
    report.ended = endedInstances_;
    report.crashes = crashes_;
    report.lastEnds = lastEnds_;
    report.hasMinion = hasMinion_;
    if (!hasMinion_)
        latestEventReport_ = endedInstances_.empty() ? latestEventReport_ : sequence;
    if (!hasMinion_)
        return report;
    report.minion = minion_;
    report.minionClockMs = minionClockMs_;
    report.hasRunList = hasRunList_;
    report.running = running_;
    report.finished = finished_;
    report.hasMoreEnds = hasMoreEnds_;
    report.fillingPercent = paceController_.fillingPercent();
    for (const auto &[key, start] : undeliveredStarts_)
        report.undelivered.push_back(makeRunEnd(key, RunEndKind::Lost));
    for (const auto &[key, refusal] : refusals_) {
        if (refusal.isConfirmed)
            report.refused.push_back(makeRunEnd(key, RunEndKind::Refused));
    }
    if (!endedInstances_.empty() || !report.refused.empty())
        latestEventReport_ = sequence;
    return report;
}

} // namespace Oleander::Fleet
