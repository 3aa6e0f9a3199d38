#include "Fleet/instanceverifier.h"

#include "Fleet/miniontaskprivate.h"
#include "Runtime/log.h"

#include <utility>
#include <vector>

namespace Oleander::Fleet {

namespace {

constexpr Duration RetryInterval = std::chrono::milliseconds(100);
/** Minions announce themselves again after about this time. */
constexpr Duration VerificationTime = std::chrono::milliseconds(1'500);
/** Instances that are verified at the same time; only one of them can run at the address. */
constexpr std::size_t MaxCandidates = 4;
constexpr std::size_t Connections = 1;

} // namespace

InstanceVerifier::InstanceVerifier(EventLoop &loop, const FleetCodec &codec,
                                   const std::string &address, MakePoll makePoll)
    : loop_(loop)
    , codec_(codec)
    , makePoll_(std::move(makePoll))
    , client_(loop, address, Connections)
    , retryTimer_(loop, [this] { pollAll(); })
{}

void InstanceVerifier::verify(const MinionAnnouncement &announcement)
{
    const MinionLife &life = announcement.minion.life;
    const auto found = candidates_.find(life);
    const bool isNew = found == candidates_.end();
    if (!isNew && announcement.sequence <= found->second.announcement.sequence)
        return;
    if (isNew && candidates_.size() >= MaxCandidates) {
        return logEvent(LogEvent::MinionUnconfirmed, Step::Join, life.name,
                        {{"born_ms", life.bornMs}, {"why", "too many other announcements"}});
    }
    Candidate &candidate = candidates_[life];
    candidate.announcement = announcement;
    candidate.announcedAt = loop_.clock().now();
    if (isNew)
        poll(life);
}

void InstanceVerifier::forget(const std::string &name)
{
    std::erase_if(candidates_, [&](const auto &item) { return item.first.name == name; });
}

void InstanceVerifier::poll(const MinionLife &life)
{
    candidates_.at(life).isInFlight = true;
    client_.call(makePoll_(life.name), CallTimeout,
                 [this, life](const HttpCallResult &result) { onAnswer(life, result); });
}

void InstanceVerifier::onAnswer(const MinionLife &life, const HttpCallResult &result)
{
    const auto found = candidates_.find(life);
    if (found == candidates_.end())
        return;
    Candidate &candidate = found->second;
    candidate.isInFlight = false;
    bool isOther = false;
    if (result) {
        const auto lists = codec_.decodeRunLists(*result);
        if (lists && lists->bornMs == life.bornMs) {
            const MinionAnnouncement announcement = std::move(candidate.announcement);
            candidates_.erase(found);
            return confirmed.emit(announcement);
        }
        isOther = lists.has_value();
        if (codec_.isFenceRefusal(*result))
            fenceRefused.emit();
    }
    if (isOther || loop_.clock().now() > candidate.announcedAt + VerificationTime) {
        logEvent(LogEvent::MinionUnconfirmed, Step::Join, life.name,
                 {{"born_ms", life.bornMs},
                  {"why", isOther ? "another instance answers at the minion's address"
                                  : "it does not answer at the minion's address"}});
        candidates_.erase(found);
        return;
    }
    retryTimer_.startOnce(RetryInterval);
}

void InstanceVerifier::pollAll()
{
    std::vector<MinionLife> lives;
    for (const auto &[life, candidate] : candidates_) {
        if (!candidate.isInFlight)
            lives.push_back(life);
    }
    for (const MinionLife &life : lives)
        poll(life);
}

} // namespace Oleander::Fleet
