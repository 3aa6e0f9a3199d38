#include "Routing/outlierejection.h"

#include <algorithm>

namespace Oleander {

namespace {

/** Limits the exponential growth of the ejection time so that the shift cannot overflow. */
constexpr std::uint32_t MaxDoublings = 16;

} // namespace

OutlierEjection::State OutlierEjection::state(TimePoint now) const
{
    if (!ejected_)
        return State::Healthy;
    return now < ejectedUntil_ ? State::Ejected : State::Probing;
}

bool OutlierEjection::admits(TimePoint now) const
{
    switch (state(now)) {
    case State::Healthy:
        return true;
    case State::Ejected:
        return false;
    case State::Probing:
        return !isProbeInFlight_;
    }
    return false;
}

void OutlierEjection::started(TimePoint now)
{
    if (state(now) == State::Probing)
        isProbeInFlight_ = true;
}

void OutlierEjection::succeeded()
{
    *this = OutlierEjection();
}

void OutlierEjection::failed(const OutlierSettings &settings, bool mayEject, TimePoint now)
{
    ++consecutiveFailures_;
    const bool probeFailed = ejected_ && isProbeInFlight_;
    isProbeInFlight_ = false;
    if (!probeFailed
        && (ejected_ || consecutiveFailures_ < settings.consecutiveFailures || !mayEject))
        return;
    const Duration time = settings.ejectionTime * (1U << std::min(ejections_, MaxDoublings));
    ejectedUntil_ = now + std::min(time, settings.maxEjectionTime);
    ejected_ = true;
    ++ejections_;
}

void OutlierEjection::abandoned()
{
    isProbeInFlight_ = false;
}

std::size_t maxEjectedMinions(const OutlierSettings &settings, std::size_t minions)
{
    if (minions < 2)
        return 0;
    const auto share =
        static_cast<std::size_t>(static_cast<double>(minions) * settings.maxEjectedShare);
    return std::min(std::max<std::size_t>(share, 1), minions - 1);
}

} // namespace Oleander
