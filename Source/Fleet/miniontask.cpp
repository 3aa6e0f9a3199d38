#include "Fleet/miniontask.h"

#include "Runtime/log.h"

#include <algorithm>

namespace Oleander::Fleet {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(25);
/** Longest wait of a look for an end; the figures for pacing cover half a second. */
constexpr Duration LookWait = std::chrono::milliseconds(400);
/** Pause after a look that brought nothing new and did not wait. */
constexpr Duration LookPause = std::chrono::milliseconds(30);
/** Pause after a look that failed. */
constexpr Duration LookRetry = std::chrono::milliseconds(100);
/** Time for an answer of the minion, which is on the same machine. */
constexpr Duration CallTimeout = std::chrono::milliseconds(400);
constexpr Duration StartRetry = std::chrono::milliseconds(50);
/** Refused connections in a row after which the process of the minion is gone. */
constexpr unsigned RefusedForGone = 3;
/** Time for a minion that has said farewell to end. */
constexpr Duration DepartureTime = std::chrono::milliseconds(800);
/** Least time that a lease must have left for a start to be worth sending, in milliseconds. */
constexpr std::uint64_t LeastLeaseMs = 200;
/** One waits for ends, so that it never holds up an order. */
constexpr std::size_t LookConnections = 1;
constexpr std::size_t OrderConnections = 4;

Jobs::RunKey keyOf(const StartOrder &order)
{
    return {order.task, order.run};
}

/** True when the peer's machine answered that nobody listens. */
bool refusedConnection(const HttpCallError &error)
{
    return !error.mayHaveBeenSent && error.error.code == Failure::Unavailable;
}

RunEnd namedRun(const Jobs::RunKey &key, RunEndKind kind)
{
    return {0, key.first, key.second, kind, {}};
}

} // namespace

MinionTask::MinionTask(EventLoop &loop, const FleetWire &wire, const std::string &address)
    : loop_(loop), wire_(wire), ticker_(loop, [this] { tick(); })
{
    looks_ = std::make_unique<HttpClient>(loop, address, LookConnections);
    orders_ = std::make_unique<HttpClient>(loop, address, OrderConnections);
    ticker_.startEvery(TickInterval);
}

void MinionTask::announce(const MinionAnnouncement &announcement)
{
    const MinionLife &life = announcement.minion.life;
    const bool later =
        life.bornMs > std::max(present_ ? minion_.life.bornMs : 0, latestEnded_.bornMs);
    if (present_ && life == minion_.life) {
        // A delayed announcement of this life tells nothing new.
        if (announcement.sequence <= announcementSequence_)
            return;
        const bool wasDraining = minion_.draining;
        const bool reachable = minion_.reachable;
        minion_ = announcement.minion;
        minion_.reachable = reachable;
        announcementSequence_ = announcement.sequence;
        if (minion_.draining != wasDraining) {
            logEvent(LogEvent::MinionDraining, Step::Leave, life.name, {});
            changed.emit();
        }
    } else if (later) {
        endLife("another life was announced");
        startLife(announcement);
    }
}

void MinionTask::startLife(const MinionAnnouncement &announcement)
{
    ++lifeNumber_;
    present_ = true;
    minion_ = announcement.minion;
    announcementSequence_ = announcement.sequence;
    clockMs_ = announcement.clockMs;
    nextLook_ = {};
    logEvent(LogEvent::MinionAnnounced, Step::Join, minion_.life.name,
             {{"born_ms", minion_.life.bornMs}, {"milli_cores", minion_.milliCores}});
    changed.emit();
}

void MinionTask::endLife(const char *why)
{
    if (!present_)
        return;
    logEvent(LogEvent::MinionLapsed, Step::Leave, minion_.life.name,
             {{"born_ms", minion_.life.bornMs}, {"why", why}, {"runs", running_.size()}});
    present_ = false;
    ended_.push_back(minion_.life);
    latestEnded_ = minion_.life;
    departedAt_.reset();
    clockMs_ = 0;
    holdUntilMs_ = 0;
    acknowledgedEnd_ = 0;
    listed_ = false;
    refusedLooks_ = 0;
    highestEnd_ = 0;
    running_.clear();
    finished_.clear();
    described_.clear();
    starts_.clear();
    unanswered_.clear();
    stopping_.clear();
    refusals_.clear();
    pace_ = {};
    changed.emit();
}

void MinionTask::depart(const MinionDeparture &departure)
{
    if (present_ && departure.name == minion_.life.name && !departedAt_) {
        departedAt_ = loop_.clock().now();
        minion_.draining = true;
        changed.emit();
    }
}

void MinionTask::direct(const MachineDirective &directive)
{
    // Orders of a leader that has been replaced are void.
    if (directive.term < term_)
        return;
    term_ = directive.term;
    if (directive.acknowledgedReport > 0 && directive.acknowledgedReport >= toldIn_) {
        ended_.clear();
        std::erase_if(refusals_, [](const auto &item) { return item.second.confirmed; });
    }
    if (!present_ || directive.life != minion_.life)
        return;
    holdUntilMs_ = std::max(holdUntilMs_, directive.holdUntilMs);
    if (directive.acknowledgedEnd > acknowledgedEnd_) {
        acknowledgedEnd_ = directive.acknowledgedEnd;
        nextLook_ = {};
    }
    for (const ImageInterference &press : directive.interference)
        pace_.learn(press);
    for (const JobWeight &job : directive.weights) {
        for (auto &[key, order] : described_) {
            if (key.first.job == job.job)
                order.weight = job.weight;
        }
    }
    for (const StopOrder &order : directive.stops)
        stop(order);
    for (const StartOrder &order : directive.starts) {
        const Jobs::RunKey key = keyOf(order);
        described_.insert_or_assign(key, order);
        const bool known = std::ranges::any_of(running_, [&](const RunStatus &status) {
            return status.task == order.task && status.run == order.run;
        });
        if (known || refusals_.contains(key) || stopping_.contains(key))
            continue;
        if (minion_.draining && !starts_.contains(key)) {
            refusals_[key] = {lookNumber_, false};
            continue;
        }
        Start &start = starts_[key];
        start.order = order;
        start.validUntilMs = std::max(start.validUntilMs, directive.holdUntilMs);
        deliver(key);
    }
    tick();
}

void MinionTask::deliver(const Jobs::RunKey &key)
{
    Start &start = starts_.at(key);
    if (start.calling || loop_.clock().now() < start.retryAt)
        return;
    if (start.validUntilMs < clockMs_ + LeastLeaseMs)
        return giveUpStart(key);
    start.calling = true;
    orders_->call(wire_.startRequest(minion_.life.name, start.order, term_, start.validUntilMs),
                  CallTimeout, [this, key, life = lifeNumber_](const HttpCallResult &result) {
                      onStartAnswer(key, life, result);
                  });
}

void MinionTask::onStartAnswer(const Jobs::RunKey &key, std::uint64_t life,
                               const HttpCallResult &result)
{
    const auto found = starts_.find(key);
    if (!alive(life) || found == starts_.end())
        return;
    found->second.calling = false;
    found->second.retryAt = loop_.clock().now() + StartRetry;
    // Without an answer the order may have been carried out; the same again is safe.
    if (!result) {
        if (result.error().mayHaveBeenSent)
            unanswered_[key] = found->second.validUntilMs;
        return;
    }
    switch (wire_.orderResult(*result)) {
    case OrderResult::Done:
        starts_.erase(found);
        unanswered_.erase(key);
        break;
    case OrderResult::Refused:
    case OrderResult::Busy:
        logEvent(LogEvent::TaskOrderRefused, Step::Start, minion_.life.name,
                 {{"job", key.first.job},
                  {"step", key.first.step},
                  {"index", key.first.index},
                  {"run", key.second},
                  {"status", result->status},
                  {"answer", result->body}});
        giveUpStart(key);
        break;
    case OrderResult::Unclear:
        break;
    }
}

void MinionTask::giveUpStart(const Jobs::RunKey &key)
{
    starts_.erase(key);
    // A minion never begins a run after it has stopped it.
    if (unanswered_.contains(key))
        return stop({key.first, key.second});
    refusals_[key] = {lookNumber_, false};
}

void MinionTask::stop(const StopOrder &order)
{
    const Jobs::RunKey key{order.task, order.run};
    if (!stopping_.insert(key).second)
        return;
    orders_->call(wire_.stopRequest(minion_.life.name, order, term_), CallTimeout,
                  [this, key, life = lifeNumber_](const HttpCallResult &result) {
                      if (alive(life))
                          onStopAnswer(key, result);
                  });
}

void MinionTask::onStopAnswer(const Jobs::RunKey &key, const HttpCallResult &result)
{
    // The leader orders the stop again while the run shows in the reports.
    stopping_.erase(key);
    if (!result || wire_.orderResult(*result) != OrderResult::Done)
        return;
    starts_.erase(key);
    unanswered_.erase(key);
    refusals_[key] = {lookNumber_, false};
}

void MinionTask::tick()
{
    const TimePoint now = loop_.clock().now();
    if (departedAt_ && now > *departedAt_ + DepartureTime)
        endLife("the minion said farewell");
    if (!present_)
        return;
    std::vector<Jobs::RunKey> waiting;
    for (const auto &[key, start] : starts_)
        waiting.push_back(key);
    for (const Jobs::RunKey &key : waiting)
        deliver(key);
    if (!looking_ && now >= nextLook_)
        look();
}

void MinionTask::look()
{
    looking_ = true;
    lookStarted_ = loop_.clock().now();
    LookOrder order;
    order.acknowledgedEnd = acknowledgedEnd_;
    order.holdUntilMs = holdUntilMs_;
    order.wait = listed_ ? LookWait : Duration{};
    const std::uint64_t number = ++lookNumber_;
    looks_->call(wire_.lookRequest(minion_.life.name, order, term_), order.wait + CallTimeout,
                 [this, number, life = lifeNumber_](const HttpCallResult &result) {
                     looking_ = false;
                     if (alive(life))
                         onLook(number, result);
                 });
}

void MinionTask::onLook(std::uint64_t number, const HttpCallResult &result)
{
    if (!result)
        return lookFailed(result.error());
    auto lists = wire_.lists(*result);
    if (!lists) {
        logEvent(LogEvent::FrameMalformed, lists.error());
        nextLook_ = loop_.clock().now() + LookRetry;
        return;
    }
    refusedLooks_ = 0;
    if (!minion_.reachable) {
        minion_.reachable = true;
        changed.emit();
    }
    // Another life answers; its announcement is on its way.
    if (lists->bornMs != minion_.life.bornMs) {
        nextLook_ = loop_.clock().now() + LookRetry;
        if (lists->bornMs > minion_.life.bornMs)
            endLife("another life answers at its address");
        return;
    }
    onLists(number, std::move(*lists));
}

void MinionTask::lookFailed(const HttpCallError &error)
{
    nextLook_ = loop_.clock().now() + LookRetry;
    refusedLooks_ = refusedConnection(error) ? refusedLooks_ + 1 : 0;
    if (refusedLooks_ >= RefusedForGone)
        return endLife("nobody listens at its address");
    if (minion_.reachable) {
        logEvent(LogEvent::WorkerUnreachable, error.error);
        minion_.reachable = false;
        changed.emit();
    }
}

void MinionTask::onLists(std::uint64_t number, MinionLists lists)
{
    const TimePoint now = loop_.clock().now();
    clockMs_ = std::max(clockMs_, lists.clockMs);
    bool news = !listed_ || lists.running.size() != running_.size();
    for (const RunEnd &end : lists.finished) {
        news = news || end.number > highestEnd_;
        highestEnd_ = std::max(highestEnd_, end.number);
    }
    running_ = std::move(lists.running);
    finished_ = std::move(lists.finished);
    listed_ = true;
    std::set<Jobs::RunKey> present;
    for (const RunStatus &status : running_)
        present.insert({status.task, status.run});
    for (const RunEnd &end : finished_)
        present.insert({end.task, end.run});
    for (const Jobs::RunKey &key : present)
        starts_.erase(key);
    std::erase_if(unanswered_, [this](const auto &item) {
        return item.second < clockMs_ && !starts_.contains(item.first);
    });
    for (auto it = refusals_.begin(); it != refusals_.end();) {
        auto &[key, refusal] = *it;
        if (present.contains(key)) {
            it = refusals_.erase(it);
            continue;
        }
        if (!refusal.confirmed && number > refusal.afterLook) {
            refusal.confirmed = true;
            news = true;
        }
        ++it;
    }
    std::erase_if(described_, [&](const auto &item) {
        return !present.contains(item.first) && !starts_.contains(item.first);
    });
    for (RunStatus &status : running_)
        status.hasStartOrder = described_.contains({status.task, status.run});
    pace();
    const bool waited = now - lookStarted_ > LookPause;
    nextLook_ = news || waited ? now : now + LookPause;
    if (news)
        changed.emit();
    tick();
}

void MinionTask::pace()
{
    std::vector<Jobs::PacedRun> runs;
    for (const RunStatus &status : running_) {
        const Jobs::RunKey key{status.task, status.run};
        const auto order = described_.find(key);
        if (order == described_.end())
            continue;
        const StartOrder &known = order->second;
        runs.push_back({key, known.filling, known.image, known.milliCores, known.targetLatencyMs,
                        status.latencyOrMilliCores, known.weight});
    }
    for (const Jobs::PaceOrder &order : pace_.update(loop_.clock().now(), runs)) {
        const auto &[task, run] = order.key;
        orders_->call(wire_.paceRequest(minion_.life.name, {task, run}, order.percent, term_),
                      CallTimeout,
                      [this, key = order.key, life = lifeNumber_](const HttpCallResult &result) {
                          if (alive(life) && (!result || result->status >= 300))
                              pace_.orderFailed(key);
                      });
    }
}

MachineReport MinionTask::report(std::uint64_t sequence)
{
    MachineReport report;
    report.sequence = sequence;
    report.ended = ended_;
    report.hasMinion = present_;
    if (!present_)
        toldIn_ = ended_.empty() ? toldIn_ : sequence;
    if (!present_)
        return report;
    report.minion = minion_;
    report.minionClockMs = clockMs_;
    report.hasRunList = listed_;
    report.running = running_;
    report.finished = finished_;
    report.fillingPercent = pace_.fillingPercent();
    for (const auto &[key, start] : starts_)
        report.undelivered.push_back(namedRun(key, RunEndKind::Lost));
    for (const auto &[key, refusal] : refusals_) {
        if (refusal.confirmed)
            report.refused.push_back(namedRun(key, RunEndKind::Refused));
    }
    if (!ended_.empty() || !report.refused.empty())
        toldIn_ = sequence;
    return report;
}

} // namespace Oleander::Fleet
