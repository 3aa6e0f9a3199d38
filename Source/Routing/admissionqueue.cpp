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
    if (running_ + strays_ + queue_.size() >= capacity_.connections)
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
    return std::erase_if(queue_, [&](const Waiting &w) { return w.request == request; }) > 0;
}

AdmissionQueue::Next AdmissionQueue::next(TimePoint now)
{
    Next result;
    // A request whose deadline passed in the queue leaves it wherever it stands.
    std::erase_if(queue_, [&](const Waiting &waiting) {
        const bool late = waiting.deadline.expired(now);
        if (late)
            result.tooLate.push_back(waiting.request);
        return late;
    });
    while (hasFreeSlot() && !queue_.empty()) {
        result.start.push_back(queue_.front().request);
        queue_.pop_front();
        ++running_;
    }
    return result;
}

std::vector<std::string> AdmissionQueue::clear()
{
    std::vector<std::string> requests;
    for (auto &waiting : queue_)
        requests.push_back(std::move(waiting.request));
    queue_.clear();
    return requests;
}

void AdmissionQueue::announceBusy(std::uint32_t busy)
{
    const std::uint32_t notOurs = busy > running_ ? busy - running_ : 0;
    // An announcement and an answer may cross on the way, so only the first announcement may raise
    // the count; later ones show which of the strays have ended.
    strays_ = announced_ ? std::min(strays_, notOurs) : notOurs;
    announced_ = true;
}

} // namespace Oleander
