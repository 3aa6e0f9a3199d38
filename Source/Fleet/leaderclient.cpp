#include "Fleet/leaderclient.h"

#include "Runtime/log.h"

#include <algorithm>

namespace Oleander::Fleet {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
/** Age of the leader's latest word at which the hosts are asked again. */
constexpr Duration ConfirmEvery = std::chrono::seconds(1);
/** Silence after which the leader no longer counts as reachable. */
constexpr Duration ReachableFor = std::chrono::milliseconds(2'500);
/** Time after which an unanswered call is sent again; above a commit on a slow disk. */
constexpr Duration ResendAfter = std::chrono::milliseconds(900);
/** A call that reached no leader is given up after this time, so that its caller can go on. */
constexpr Duration UnsentPatience = std::chrono::milliseconds(1'500);
/** When a refused caller should come back: the time of an election and some more. */
constexpr std::uint32_t RetryAfterMs = 1'000;

} // namespace

LeaderClient::LeaderClient(EventLoop &loop, Messenger &messenger, std::vector<std::string> seeds)
    : loop_(loop)
    , messenger_(messenger)
    , seeds_(std::move(seeds))
    , ticker_(loop, [this] { tick(); })
{
    messenger_.on<GroupView>(
        [this](const Sender &from, GroupView &&view) { onView(from.name, view); });
    messenger_.on<JobAnswer>(
        [this](const Sender &, JobAnswer &&answer) { onAnswer(std::move(answer)); });
    messenger_.connectionChanged.connect([this](const std::string &peer, bool up) {
        if (up)
            return askForGroup(peer);
        for (auto &[id, pending] : pending_) {
            if (pending.sentTo == peer)
                pending.sentTo.clear();
        }
        if (peer == leader_)
            confirmedAt_ = {};
    });
}

void LeaderClient::setSeeds(std::vector<std::string> seeds)
{
    seeds_ = std::move(seeds);
    followHosts({hosts_.begin(), hosts_.end()});
}

void LeaderClient::start()
{
    followHosts({});
    ticker_.startEvery(TickInterval);
}

void LeaderClient::followHosts(const std::vector<std::string> &hosts)
{
    std::set<std::string> wanted(hosts.begin(), hosts.end());
    hosts_ = wanted;
    wanted.insert(seeds_.begin(), seeds_.end());
    wanted.erase(messenger_.name());
    for (const std::string &host : wanted)
        messenger_.addPeer(host, host);
    // A control host keeps the links of its replica; others drop hosts that left the group.
    if (local_)
        return;
    for (const std::string &peer : messenger_.peers()) {
        if (!wanted.contains(peer))
            messenger_.removePeer(peer);
    }
}

void LeaderClient::askForGroup(const std::string &host)
{
    // Whoever does not get through is asked again at a later tick.
    static_cast<void>(messenger_.send(host, GroupQuery{local_ ? messenger_.name() : ""}));
}

void LeaderClient::onView(const std::string &from, const GroupView &view)
{
    const TimePoint now = loop_.clock().now();
    if (view.leader == from && view.term >= term_)
        confirmedAt_ = now;
    if (view.term < term_ || (view.leader.empty() && !leader_.empty()))
        return;
    if (!view.hosts.empty() && (view.term > term_ || view.leader == from))
        followHosts(view.hosts);
    term_ = view.term;
    if (view.leader.empty() || view.leader == leader_)
        return sendWaiting();
    leader_ = view.leader;
    confirmedAt_ = now;
    logEvent(LogEvent::LeaderFollowed, Step::Connect, leader_,
             {{"term", term_}, {"told_by", from}});
    leaderChanged.emit();
    sendWaiting();
}

bool LeaderClient::leaderReachable() const
{
    if (leader_ == messenger_.name())
        return true;
    return !leader_.empty() && messenger_.connected(leader_)
           && loop_.clock().now() < confirmedAt_ + ReachableFor;
}

bool LeaderClient::sendToLeader(const Message &message)
{
    return !leader_.empty() && messenger_.send(leader_, message).has_value();
}

void LeaderClient::call(JobCallBody body, Duration patience, Callback callback)
{
    const TimePoint now = loop_.clock().now();
    Pending pending;
    pending.body = std::move(body);
    pending.callback = std::move(callback);
    pending.deadline = now + patience;
    pending.unsentDeadline = std::min(pending.deadline, now + UnsentPatience);
    const std::uint64_t id = nextId_++;
    pending_.emplace(id, std::move(pending));
    trySend(id);
}

void LeaderClient::trySend(std::uint64_t id)
{
    Pending &pending = pending_.at(id);
    if (local_ && local_(pending.body, [this, id](JobAnswer answer) {
            answer.id = id;
            onAnswer(std::move(answer));
        })) {
        const auto found = pending_.find(id);
        if (found != pending_.end()) {
            found->second.everSent = true;
            found->second.sentTo = messenger_.name();
            found->second.sentAt = loop_.clock().now();
        }
        return;
    }
    if (leader_.empty() || leader_ == messenger_.name())
        return;
    if (!messenger_.send(leader_, JobCall{id, pending.body}))
        return;
    pending.everSent = true;
    pending.sentTo = leader_;
    pending.sentAt = loop_.clock().now();
}

void LeaderClient::sendWaiting()
{
    const TimePoint now = loop_.clock().now();
    std::vector<std::uint64_t> waiting;
    for (const auto &[id, pending] : pending_) {
        if (pending.sentTo.empty() || (!leader_.empty() && pending.sentTo != leader_)
            || now > pending.sentAt + ResendAfter)
            waiting.push_back(id);
    }
    for (const std::uint64_t id : waiting) {
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
        return;
    }
    // Whether the call took effect shows when it is sent again.
    if (answer.kind == JobAnswerKind::Unknown) {
        found->second.sentTo.clear();
        found->second.everSent = true;
        return;
    }
    confirmedAt_ = loop_.clock().now();
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
    std::vector<std::uint64_t> unsent;
    std::vector<std::uint64_t> unknown;
    for (const auto &[id, pending] : pending_) {
        if (now >= pending.deadline)
            (pending.everSent ? unknown : unsent).push_back(id);
        else if (!pending.everSent && now >= pending.unsentDeadline)
            unsent.push_back(id);
    }
    for (const std::uint64_t id : unsent) {
        JobAnswer answer;
        answer.kind = JobAnswerKind::Overloaded;
        answer.detail = "No leader could be reached, and nothing was sent.";
        answer.retryAfterMs = RetryAfterMs;
        finish(id, std::move(answer));
    }
    for (const std::uint64_t id : unknown) {
        JobAnswer answer;
        answer.detail = "The answer did not come in time; the call may have taken effect.";
        finish(id, std::move(answer));
    }
    sendWaiting();
    const Duration every = leaderReachable() ? ConfirmEvery : TickInterval;
    if (now < askedAt_ + every)
        return;
    askedAt_ = now;
    if (leaderReachable() && leader_ != messenger_.name())
        return askForGroup(leader_);
    if (leader_ == messenger_.name())
        return;
    for (const std::string &peer : messenger_.peers())
        askForGroup(peer);
}

} // namespace Oleander::Fleet
