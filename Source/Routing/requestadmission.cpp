#include "Routing/requestadmission.h"

#include <fmt/format.h>

#include <algorithm>

namespace Oleander {

namespace {

/** Interval at which queued deadlines and announcements are checked for expiry. */
constexpr Duration TickPeriod = std::chrono::milliseconds(20);

std::string refusalText(AdmissionQueue::Verdict verdict, const std::string &minion)
{
    if (verdict == AdmissionQueue::Verdict::Full)
        return fmt::format("All slots and connections of the minion \"{}\" are in use.", minion);
    return fmt::format("The minion \"{}\" cannot answer before the deadline.", minion);
}

} // namespace

RequestAdmission::RequestAdmission(const Clock &clock, RequestAdmissionSettings settings,
                                   AdmissionPort &port)
    : clock_(clock)
    , settings_(std::move(settings))
    , port_(port)
    , duplicates_(settings_.maxTrackedAttempts)
{}

Result<void> RequestAdmission::announce(const MinionAnnouncement &announcement)
{
    auto found = minions_.find(announcement.name);
    if (found == minions_.end() && minions_.size() >= settings_.maxMinions) {
        return fail(Failure::Overloaded, Step::Join, announcement.name,
                    fmt::format("The agent already has {} minions, its limit.", minions_.size()));
    }
    const bool known = found != minions_.end();
    if (!known) {
        found = minions_
                    .emplace(announcement.name,
                             LocalMinion{.queue = AdmissionQueue(announcement.capacity)})
                    .first;
    }
    LocalMinion &minion = found->second;
    const MinionState state = isShuttingDown_ ? MinionState::Draining : MinionState::Serving;
    const bool changed =
        !known || minion.state != state || minion.announcement.service != announcement.service;
    minion.announcement = announcement;
    minion.state = state;
    minion.expiry = clock_.now() + announcement.timeToLive;
    minion.queue.setCapacity(announcement.capacity);
    if (announcement.busySlots)
        minion.queue.reportBusySlots(*announcement.busySlots);
    startNext(minion);
    if (changed)
        minionsChanged();
    return {};
}

Result<void> RequestAdmission::withdraw(const std::string &name)
{
    const auto found = minions_.find(name);
    if (found == minions_.end()) {
        return fail(Failure::NotFound, Step::Leave, name,
                    fmt::format("No minion \"{}\" is announced here.", name));
    }
    LocalMinion &minion = found->second;
    minion.state = MinionState::Draining;
    minion.expiry = clock_.now();
    refuseQueued(minion, "leaves");
    minionsChanged();
    return {};
}

void RequestAdmission::withdrawAll()
{
    isShuttingDown_ = true;
    for (auto &[name, minion] : minions_) {
        minion.state = MinionState::Draining;
        refuseQueued(minion, "leaves");
    }
    minionsChanged();
}

std::vector<MinionStatus> RequestAdmission::minions() const
{
    // While the gate is closed every request is refused, and each refusal costs the entry a retry.
    // Serving minions are therefore reported as draining.
    const bool isOpen = !settings_.gate || settings_.gate().has_value();
    std::vector<MinionStatus> result;
    result.reserve(minions_.size());
    for (const auto &[name, minion] : minions_) {
        MinionStatus status;
        status.name = name;
        status.service = minion.announcement.service;
        const bool isHeldBack = !isOpen && minion.state == MinionState::Serving;
        status.state = isHeldBack ? MinionState::Draining : minion.state;
        status.slots = minion.announcement.capacity.slots;
        status.connections = minion.announcement.capacity.connections;
        status.running = minion.queue.running() + minion.queue.orphanedSlots();
        status.queued = minion.queue.queued();
        result.push_back(std::move(status));
    }
    return result;
}

void RequestAdmission::dispatch(const std::string &entry, RequestDispatch message)
{
    const auto id = AttemptId::parse(message.request);
    if (!id || id->entry != entry) {
        answer(entry, message.minion,
               makeAnswer(message.request, Outcome::NotRun, Step::Admit,
                          fmt::format("\"{}\" is not an attempt of the entry \"{}\".",
                                      message.request, entry)));
        return;
    }
    switch (duplicates_.recordAttempt(*id)) {
    case DuplicateTable::Verdict::Fresh:
        admit(entry, std::move(message));
        return;
    case DuplicateTable::Verdict::Duplicate:
    case DuplicateTable::Verdict::Cancelled:
        // The first copy of a duplicate sends the answer; a cancelled attempt needs none.
        ++counters_.duplicates;
        return;
    case DuplicateTable::Verdict::TooOld:
        ++counters_.duplicates;
        answer(entry, message.minion,
               makeAnswer(
                   message.request, Outcome::Unknown, Step::Admit,
                   "The attempt is older than the duplicate history; a copy of it may have run."));
        return;
    }
}

void RequestAdmission::admit(const std::string &entry, RequestDispatch message)
{
    if (settings_.gate) {
        if (const auto open = settings_.gate(); !open) {
            refuse(entry, message, open.error().detail);
            return;
        }
    }
    const auto found = minions_.find(message.minion);
    if (found == minions_.end() || found->second.state != MinionState::Serving) {
        refuse(entry, message,
               fmt::format("The minion \"{}\" is not announced or is leaving.", message.minion));
        return;
    }
    LocalMinion &minion = found->second;
    const TimePoint now = clock_.now();
    const Deadline deadline(now, message.timeRemaining);
    const auto verdict = minion.queue.offer(message.request, deadline, now);
    if (verdict == AdmissionQueue::Verdict::Full || verdict == AdmissionQueue::Verdict::TooLate) {
        refuse(entry, message, refusalText(verdict, message.minion));
        return;
    }
    const std::string name = message.request;
    AdmittedRequest &admitted =
        admitted_.emplace(name, AdmittedRequest{entry, std::move(message), deadline}).first->second;
    ++counters_.admitted;
    if (verdict == AdmissionQueue::Verdict::Run)
        run(minion, admitted);
}

void RequestAdmission::run(LocalMinion &minion, AdmittedRequest &admitted)
{
    ++running_;
    admitted.running = true;
    admitted.address = minion.announcement.address;
    admitted.startedAt = clock_.now();
    port_.run(admitted.address, admitted.message, admitted.deadline.remaining(admitted.startedAt));
}

void RequestAdmission::startNext(LocalMinion &minion)
{
    const auto next = minion.queue.dequeue(clock_.now());
    for (const auto &request : next.expired) {
        const auto found = admitted_.find(request);
        if (found == admitted_.end())
            continue;
        const AdmittedRequest late = std::move(found->second);
        admitted_.erase(found);
        refuse(late.entry, late.message, "The deadline passed while the request was queued.");
    }
    for (const auto &request : next.ready)
        run(minion, admitted_.at(request));
}

void RequestAdmission::refuseQueued(LocalMinion &minion, const std::string &reason)
{
    for (const auto &request : minion.queue.clear()) {
        const auto found = admitted_.find(request);
        if (found == admitted_.end())
            continue;
        const AdmittedRequest queued = std::move(found->second);
        admitted_.erase(found);
        refuse(queued.entry, queued.message,
               fmt::format("The minion \"{}\" {}.", queued.message.minion, reason));
    }
}

void RequestAdmission::refuse(const std::string &entry, const RequestDispatch &message,
                              std::string detail)
{
    ++counters_.refused;
    answer(entry, message.minion,
           makeAnswer(message.request, Outcome::NotRun, Step::Admit, std::move(detail)));
}

RequestAnswer RequestAdmission::makeAnswer(const std::string &request, Outcome outcome, Step step,
                                           std::string detail) const
{
    RequestAnswer result;
    result.request = request;
    result.outcome = outcome;
    result.step = step;
    result.peer = settings_.agent;
    result.detail = std::move(detail);
    return result;
}

void RequestAdmission::answer(const std::string &entry, const std::string &minion,
                              RequestAnswer answer)
{
    const auto found = minions_.find(minion);
    if (found != minions_.end()) {
        answer.running = found->second.queue.running() + found->second.queue.orphanedSlots();
        answer.queued = found->second.queue.queued();
    }
    port_.answer(entry, std::move(answer));
}

void RequestAdmission::cancel(const RequestCancel &message)
{
    const auto id = AttemptId::parse(message.request);
    if (!id || !duplicates_.recordCancel(*id))
        return;
    const auto found = admitted_.find(message.request);
    if (found == admitted_.end())
        return;
    ++counters_.cancelled;
    const AdmittedRequest admitted = std::move(found->second);
    admitted_.erase(found);
    if (admitted.running) {
        port_.abort(admitted.address, message.request);
        releaseSlot(admitted, Outcome::Unknown);
        return;
    }
    const auto minion = minions_.find(admitted.message.minion);
    if (minion != minions_.end())
        minion->second.queue.remove(message.request);
}

void RequestAdmission::releaseSlot(const AdmittedRequest &admitted, Outcome outcome)
{
    --running_;
    const auto found = minions_.find(admitted.message.minion);
    if (found == minions_.end())
        return;
    LocalMinion &minion = found->second;
    const TimePoint now = clock_.now();
    if (outcome == Outcome::Ran) {
        minion.queue.finished(now - admitted.startedAt, now);
    } else {
        minion.queue.abandoned();
        // The minion may still be processing the request; its next announcements show when the
        // slot is free.
        if (outcome == Outcome::Unknown && minion.announcement.busySlots)
            minion.queue.addOrphanedSlot();
    }
    startNext(minion);
}

void RequestAdmission::finished(const std::string &request, RequestAnswer response)
{
    const auto found = admitted_.find(request);
    if (found == admitted_.end())
        return;
    const AdmittedRequest admitted = std::move(found->second);
    admitted_.erase(found);
    releaseSlot(admitted, Outcome::Ran);
    response.request = request;
    response.outcome = Outcome::Ran;
    answer(admitted.entry, admitted.message.minion, std::move(response));
}

void RequestAdmission::failed(const std::string &request, Outcome outcome, Step step,
                              std::string detail)
{
    const auto found = admitted_.find(request);
    if (found == admitted_.end())
        return;
    const AdmittedRequest admitted = std::move(found->second);
    admitted_.erase(found);
    releaseSlot(admitted, outcome);
    auto result = makeAnswer(request, outcome, step, std::move(detail));
    result.peer = admitted.message.minion;
    answer(admitted.entry, admitted.message.minion, std::move(result));
}

void RequestAdmission::tick()
{
    const TimePoint now = clock_.now();
    bool changed = false;
    for (auto &[name, minion] : minions_) {
        if (minion.state == MinionState::Serving && now >= minion.expiry) {
            minion.state = MinionState::Lapsed;
            refuseQueued(minion, "has not renewed its announcement");
            changed = true;
        }
        startNext(minion);
    }
    const auto forgotten = std::erase_if(minions_, [&](const auto &entry) {
        const LocalMinion &minion = entry.second;
        return minion.state != MinionState::Serving && minion.queue.running() == 0
               && now >= minion.expiry + settings_.forgetAfter;
    });
    if (changed || forgotten > 0)
        minionsChanged();
}

TimePoint RequestAdmission::nextWakeup() const
{
    return clock_.now() + TickPeriod;
}

void RequestAdmission::minionsChanged() const
{
    if (minionsChanged_)
        minionsChanged_();
}

} // namespace Oleander
