#include "Placement/workerleases.h"

#include <algorithm>
#include <cmath>

namespace Oleander::Placement {

Duration leaderHoldTime(Duration lease, const WorkerLeaseSettings &settings)
{
    // On a slow agent clock the lease lasts lease / (1 - drift) of true time, and a fast leader
    // clock advances by (1 + drift) times that.
    const double factor = (1.0 + settings.maxDrift) / (1.0 - settings.maxDrift);
    const double counted = std::ceil(static_cast<double>(lease.count()) * factor);
    return Duration(static_cast<Duration::rep>(counted)) + settings.slack;
}

void WorkerLeases::startTerm(TimePoint now, Duration longestGrantedLease)
{
    expiries_.clear();
    termHoldEnd_ = now + leaderHoldTime(std::max(settings_.length, longestGrantedLease), settings_);
}

Duration WorkerLeases::grant(const std::string &worker, TimePoint now)
{
    TimePoint &end = expiries_[worker];
    end = std::max(end, now + leaderHoldTime(settings_.length, settings_));
    return settings_.length;
}

bool WorkerLeases::hasExpired(const std::string &worker, TimePoint now) const
{
    return now > expiresAt(worker);
}

TimePoint WorkerLeases::expiresAt(const std::string &worker) const
{
    const auto end = expiries_.find(worker);
    return end == expiries_.end() ? termHoldEnd_ : std::max(termHoldEnd_, end->second);
}

} // namespace Oleander::Placement
