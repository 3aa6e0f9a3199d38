#pragma once

#include "Base/clock.h"

#include <cstddef>
#include <cstdint>

namespace Oleander {

/** Settings for excluding failing minions from selection. */
struct OutlierSettings
{
    std::uint32_t consecutiveFailures = 5;
    Duration ejectionTime = std::chrono::seconds(1);
    Duration maxEjectionTime = std::chrono::seconds(30);
    /** Largest share of a service's minions that may be ejected at once. */
    double maxEjectedShare = 0.5;
};

/**
 * \class OutlierEjection
 * \brief Health of one minion, derived from the attempts of this entry.
 *
 * A minion is ejected after a number of consecutive failures. When the ejection time has elapsed,
 * one attempt at a time may probe it: a success restores it, a failure ejects it again for twice
 * as long.
 */
class OutlierEjection
{
public:
    enum class State { Healthy, Ejected, Probing };

    /** State at \a now. Probing means that a probe is allowed or in flight. */
    State state(TimePoint now) const;
    /** True when an attempt may be sent to the minion at \a now. */
    bool admits(TimePoint now) const;
    /** Records the start of an attempt. */
    void started(TimePoint now);
    void succeeded();
    /** Records a failure; \a mayEject is false when maxEjectedMinions() is reached. */
    void failed(const OutlierSettings &settings, bool mayEject, TimePoint now);
    /** Records the end of an attempt that says nothing about the health of the minion. */
    void abandoned();

private:
    std::uint32_t consecutiveFailures_ = 0;
    std::uint32_t ejections_ = 0;
    TimePoint ejectedUntil_{};
    bool ejected_ = false;
    bool isProbeInFlight_ = false;
};

/** How many of \a minions may be ejected at the same time; always leaves at least one. */
std::size_t maxEjectedMinions(const OutlierSettings &settings, std::size_t minions);

} // namespace Oleander
