#include "Fleet/leaderclient.h"

#include "Runtime/log.h"

#include <algorithm>

namespace Oleander::Fleet {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
/** Interval of the group queries while the leader is reachable, and longest interval otherwise. */
constexpr Duration ConfirmInterval = std::chrono::seconds(1);
/** Time without a confirmation after which the leader counts as unreachable. */
constexpr Duration ReachableTimeout = std::chrono::milliseconds(2'500);
/** Time after which an unanswered call is sent again; longer than a commit on a slow disk takes. */
constexpr Duration ResendTimeout = std::chrono::milliseconds(900);
/** Time after which a call that could not be sent to any leader fails, so that its caller can
 * retry. */
constexpr Duration UnsentTimeout = std::chrono::milliseconds(1'500);
/** Delay after which a refused caller should retry: the duration of an election plus a margin. */
constexpr std::uint32_t RetryAfterMs = 1'000;
/** Time without a reachable leader that is reported; longer than an election takes. */
constexpr Duration UnreachableReportTime = std::chrono::seconds(3);

} // namespace

LeaderClient::LeaderClient(EventLoop &loop, Messenger &messenger, std::vector<std::string> seeds)
    : loop_(loop)
    , messenger_(messenger)
    , seeds_(std::move(seeds))
    , searchInterval_(TickInterval)
    , nextReportAfter_(UnreachableReportTime)
    , tickTimer_(loop, [this] { tick(); })
{
    messenger_.on<GroupView>(
        [this](const Sender &from, GroupView &&view) { onGroupView(from.name, view); });
    messenger_.on<JobAnswer>(
        [this](const Sender &, JobAnswer &&answer) { onAnswer(std::move(answer)); });
    messenger_.connectionChanged.connect([this](const std::string &peer, bool up) {
        if (up)
            return queryGroup(peer);
        for (auto &[id, pending] : pending_) {
            if (pending.sentTo == peer)
                pending.sentTo.clear();
        }
        if (peer == leader_)
            leaderConfirmedAt_ = {};
    });
}

void LeaderClient::setSeeds(std::vector<std::string> seeds)
{
    seeds_ = std::move(seeds);
    updatePeers();
}

void LeaderClient::start()
{
    reachableAt_ = loop_.clock().now();
    updatePeers();
    tickTimer_.startEvery(TickInterval);
}

void LeaderClient::setHosts(const std::vector<std::string> &hosts)
{
    hosts_ = {hosts.begin(), hosts.end()};
    updatePeers();
}

void LeaderClient::addHosts(const std::vector<std::string> &hosts)
{
    hosts_.insert(hosts.begin(), hosts.end());
    updatePeers();
}

void LeaderClient::updatePeers()
{
    std::set<std::string> targetHosts = hosts_;
    targetHosts.insert(seeds_.begin(), seeds_.end());
    if (!leader_.empty())
        targetHosts.insert(leader_);
    targetHosts.erase(messenger_.name());
    for (const std::string &host : targetHosts)
        messenger_.addPeer(host, host);
    // The replica of a control host manages its own connections; other processes disconnect from
    // hosts that left the group.
    if (localService_)
        return;
    for (const std::string &peer : messenger_.peers()) {
        if (!targetHosts.contains(peer))
            messenger_.removePeer(peer);
    }
}

void LeaderClient::queryGroup(const std::string &host)
{
    // A host that cannot be reached is queried again by a later tick.
    static_cast<void>(messenger_.send(host, GroupQuery{localService_ ? messenger_.name() : ""}));
}

void LeaderClient::onGroupView(const std::string &from, const GroupView &view)
{
    const TimePoint now = loop_.clock().now();
    lastAnswerFrom_ = from;
    lastAnswer_ = view;
    if (view.leader == from && view.term >= term_)
        leaderConfirmedAt_ = now;
    if (view.leader.empty() || view.term < term_) {
        // Its hosts may be outdated, but one of them may know the leader.
        if (view.leader.empty() && !isLeaderReachable())
            addHosts(view.hosts);
        return;
    }
    const bool isChange = view.leader != leader_;
    const bool isNewer = view.term > term_;
    term_ = view.term;
    leader_ = view.leader;
    if (isChange)
        leaderConfirmedAt_ = now;
    // Within a term only the leader knows which hosts have left.
    if (!view.hosts.empty() && (isNewer || view.leader == from))
        setHosts(view.hosts);
    else if (isChange || !isLeaderReachable())
        addHosts(view.hosts);
    if (isChange) {
        logEvent(LogEvent::LeaderFollowed, Step::Connect, leader_,
                 {{"term", term_}, {"told_by", from}});
        leaderChanged.emit();
    }
    sendPending();
}

GroupView LeaderClient::groupView() const
{
    GroupView view;
    if (leader_ != messenger_.name() && isLeaderConfirmed()) {
        view.term = term_;
        view.leader = leader_;
    }
    view.hosts = {hosts_.begin(), hosts_.end()};
    return view;
}

bool LeaderClient::isLeaderConfirmed() const
{
    return !leader_.empty() && loop_.clock().now() < leaderConfirmedAt_ + ReachableTimeout;
}

bool LeaderClient::isLeaderReachable() const
{
    if (leader_ == messenger_.name())
        return true;
    return messenger_.connected(leader_) && isLeaderConfirmed();
}

bool LeaderClient::sendToLeader(const Message &message)
{
    return !leader_.empty() && messenger_.send(leader_, message).has_value();
}

void LeaderClient::call(JobCallBody body, Duration timeout, Callback callback)
{
    const TimePoint now = loop_.clock().now();
    PendingCall pending;
    pending.body = std::move(body);
    pending.callback = std::move(callback);
    pending.deadline = now + timeout;
    pending.unsentDeadline = std::min(pending.deadline, now + UnsentTimeout);
    const std::uint64_t id = nextId_++;
    pending_.emplace(id, std::move(pending));
    trySend(id);
}

void LeaderClient::trySend(std::uint64_t id)
{
    PendingCall &pending = pending_.at(id);
    if (localService_) {
        // The service may answer before it returns.
        ++pending.unrefusedSends;
        const bool isServed = localService_(pending.body, [this, id](JobAnswer answer) {
            answer.id = id;
            onAnswer(std::move(answer));
        });
        if (isServed) {
            const auto found = pending_.find(id);
            if (found != pending_.end()) {
                found->second.sentTo = messenger_.name();
                found->second.sentAt = loop_.clock().now();
            }
            return;
        }
        --pending.unrefusedSends;
    }
    if (leader_.empty() || leader_ == messenger_.name())
        return;
    if (!messenger_.send(leader_, JobCall{id, pending.body}))
        return;
    ++pending.unrefusedSends;
    pending.sentTo = leader_;
    pending.sentAt = loop_.clock().now();
}

void LeaderClient::sendPending()
{
    const TimePoint now = loop_.clock().now();
    std::vector<std::uint64_t> toSend;
    for (const auto &[id, pending] : pending_) {
        if (now >= pending.deadline)
            continue;
        if (pending.sentTo.empty() || (!leader_.empty() && pending.sentTo != leader_)
            || now > pending.sentAt + ResendTimeout)
            toSend.push_back(id);
    }
    for (const std::uint64_t id : toSend) {
        if (pending_.contains(id))
            trySend(id);
    }
}

void LeaderClient::onAnswer(JobAnswer &&answer)
{
    const auto found = pending_.find(answer.id);
    if (found == pending_.end())
        return;
    if (answer.kind == JobAnswerKind::NotLeader) {
        found->second.sentTo.clear();
        if (found->second.unrefusedSends > 0)
            --found->second.unrefusedSends;
        return;
    }
    // The call is idempotent: sending it again shows whether it took effect.
    if (answer.kind == JobAnswerKind::Unknown) {
        found->second.sentTo.clear();
        return;
    }
    leaderConfirmedAt_ = loop_.clock().now();
    const std::uint64_t id = answer.id;
    finish(id, std::move(answer));
}

void LeaderClient::finish(std::uint64_t id, JobAnswer answer)
{
    auto node = pending_.extract(id);
    if (!node.empty())
        node.mapped().callback(std::move(answer));
}

void LeaderClient::tick()
{
    const TimePoint now = loop_.clock().now();
    // A call that was refused is sent to a new leader before its time counts as over.
    sendPending();
    std::vector<std::uint64_t> unsent;
    std::vector<std::uint64_t> unknown;
    for (const auto &[id, pending] : pending_) {
        const bool mayHaveActed = pending.unrefusedSends > 0;
        if (now >= pending.deadline)
            (mayHaveActed ? unknown : unsent).push_back(id);
        else if (!mayHaveActed && now >= pending.unsentDeadline)
            unsent.push_back(id);
    }
    for (const std::uint64_t id : unsent) {
        JobAnswer answer;
        answer.kind = JobAnswerKind::Overloaded;
        answer.detail = "No leader could be reached, and no process acted on the call.";
        answer.retryAfterMs = RetryAfterMs;
        finish(id, std::move(answer));
    }
    for (const std::uint64_t id : unknown) {
        JobAnswer answer;
        answer.detail = "The answer did not come in time; the call may have taken effect.";
        finish(id, std::move(answer));
    }
    reportUnreachableLeader();
    if (isLeaderReachable())
        searchInterval_ = TickInterval;
    const Duration interval = isLeaderReachable() ? ConfirmInterval : searchInterval_;
    if (now < lastQueryAt_ + interval)
        return;
    lastQueryAt_ = now;
    if (isLeaderReachable() && leader_ != messenger_.name())
        return queryGroup(leader_);
    if (leader_ == messenger_.name())
        return;
    for (const std::string &peer : messenger_.peers())
        queryGroup(peer);
    // A host that has been asked sends every change of the leader by itself.
    searchInterval_ = std::min(2 * searchInterval_, ConfirmInterval);
}

void LeaderClient::reportUnreachableLeader()
{
    const TimePoint now = loop_.clock().now();
    const std::vector<std::string> peers = messenger_.peers();
    // The only control host of a group asks nobody.
    if (isLeaderReachable() || peers.empty()) {
        reachableAt_ = now;
        nextReportAfter_ = UnreachableReportTime;
        return;
    }
    if (now < reachableAt_ + nextReportAfter_)
        return;
    const auto connected = std::ranges::count_if(
        peers, [this](const std::string &peer) { return messenger_.connected(peer); });
    const auto silence =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - reachableAt_).count();
    logEvent(LogEvent::LeaderUnreachable, Step::Connect, lastAnswerFrom_,
             {{"for_ms", silence},
              {"term", term_},
              {"leader", leader_},
              {"hosts", hosts_.size()},
              {"connected", connected},
              {"said_term", lastAnswer_.term},
              {"said_leader", lastAnswer_.leader},
              {"said_hosts", lastAnswer_.hosts.size()}});
    nextReportAfter_ *= 2;
}

} // namespace Oleander::Fleet
