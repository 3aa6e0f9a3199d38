#include "Routing/admissionqueue.h"

#include <algorithm>

namespace Oleander {

namespace {

constexpr Duration RunTimeHalfLife = std::chrono::seconds(2);

} // namespace

AdmissionQueue::AdmissionQueue(MinionCapacity capacity)
    : capacity_(capacity), runTime_(RunTimeHalfLife)
{}

bool AdmissionQueue::canMeet(const Deadline &deadline, Duration wait, TimePoint now) const
{
    const Duration remaining = deadline.remaining(now);
    return remaining > Duration::zero() && wait < remaining;
}

Duration AdmissionQueue::expectedWait(TimePoint now) const
{
    if (hasFreeSlot() && queue_.empty())
        return Duration::zero();
    const auto ahead = static_cast<Duration::rep>(queue_.size() + 1);
    return runTime_.value(now) * ahead / std::max(capacity_.slots, 1U);
}

AdmissionQueue::Verdict AdmissionQueue::offer(const std::string &request, Deadline deadline,
                                              TimePoint now)
{
    if (hasFreeSlot() && queue_.empty()) {
        if (!canMeet(deadline, Duration::zero(), now))
            return Verdict::TooLate;
        ++running_;
        return Verdict::Run;
    }
    if (running_ + orphanedSlots_ + queue_.size() >= capacity_.connections)
        return Verdict::Full;
    if (!canMeet(deadline, expectedWait(now), now))
        return Verdict::TooLate;
    queue_.push_back({request, deadline});
    return Verdict::Queued;
}

void AdmissionQueue::finished(Duration runTime, TimePoint now)
{
    runTime_.observe(runTime, now);
    abandoned();
}

void AdmissionQueue::abandoned()
{
    if (running_ > 0)
        --running_;
}

bool AdmissionQueue::remove(const std::string &request)
{
    return std::erase_if(queue_,
                         [&](const QueuedRequest &entry) { return entry.request == request; })
           > 0;
}

AdmissionQueue::DequeueResult AdmissionQueue::dequeue(TimePoint now)
{
    DequeueResult result;
    // Remove expired requests at any position first, so that no slot is allocated to them.
    std::erase_if(queue_, [&](const QueuedRequest &queued) {
        const bool isLate = queued.deadline.isExpired(now);
        if (isLate)
            result.expired.push_back(queued.request);
        return isLate;
    });
    while (hasFreeSlot() && !queue_.empty()) {
        result.ready.push_back(queue_.front().request);
        queue_.pop_front();
        ++running_;
    }
    return result;
}

std::vector<std::string> AdmissionQueue::clear()
{
    std::vector<std::string> requests;
    for (auto &queued : queue_)
        requests.push_back(std::move(queued.request));
    queue_.clear();
    return requests;
}

void AdmissionQueue::reportBusySlots(std::uint32_t busy)
{
    const std::uint32_t orphaned = busy > running_ ? busy - running_ : 0;
    // A report may have been sent before requests that were started or answered in the meantime.
    // Only the first report may therefore raise the count; later ones can only lower it.
    orphanedSlots_ = hasBusyReport_ ? std::min(orphanedSlots_, orphaned) : orphaned;
    hasBusyReport_ = true;
}

} // namespace Oleander
