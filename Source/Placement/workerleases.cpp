#include "Placement/workerleases.h"

#include <algorithm>
#include <cmath>

namespace Oleander::Placement {

Duration holdFor(Duration lease, const WorkerLeaseSettings &settings)
{
    // A slow agent needs lease / (1 - drift) of true time, and a fast leader clock shows that
    // time as (1 + drift) times as much.
    const double factor = (1.0 + settings.maxDrift) / (1.0 - settings.maxDrift);
    const double counted = std::ceil(static_cast<double>(lease.count()) * factor);
    return Duration(static_cast<Duration::rep>(counted)) + settings.slack;
}

void WorkerLeases::startTerm(TimePoint now, Duration longestPromise)
{
    ends_.clear();
    termHold_ = now + holdFor(std::max(settings_.length, longestPromise), settings_);
}

Duration WorkerLeases::grant(const std::string &worker, TimePoint now)
{
    TimePoint &end = ends_[worker];
    end = std::max(end, now + holdFor(settings_.length, settings_));
    return settings_.length;
}

bool WorkerLeases::surelyOver(const std::string &worker, TimePoint now) const
{
    return now > overAt(worker);
}

TimePoint WorkerLeases::overAt(const std::string &worker) const
{
    const auto end = ends_.find(worker);
    return end == ends_.end() ? termHold_ : std::max(termHold_, end->second);
}

} // namespace Oleander::Placement
