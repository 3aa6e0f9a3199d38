#pragma once

#include "Base/clock.h"

#include <cstddef>
#include <cstdint>

namespace Oleander {

/** When a failing minion is left out of the choice. */
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
 * \brief Health of one minion as this entry's own attempts saw it.
 *
 * After enough failures in a row the minion is ejected. When its time is over one attempt at a
 * time may probe it: a success brings it back, a failure ejects it for twice as long.
 */
class OutlierEjection
{
public:
    enum class State { Healthy, Ejected, Probing };

    /** State at \a now: Probing means that a probe may go out or is on its way. */
    State state(TimePoint now) const;
    /** True when an attempt may go to the minion at \a now. */
    bool admits(TimePoint now) const;
    /** Counts an attempt that goes to the minion. */
    void started(TimePoint now);
    void succeeded();
    /** Counts a failure; \a mayEject is false when the service's cap is reached. */
    void failed(const OutlierSettings &settings, bool mayEject, TimePoint now);
    /** Counts an attempt that ended without telling anything of the minion's health. */
    void abandoned();

private:
    std::uint32_t consecutiveFailures_ = 0;
    std::uint32_t ejections_ = 0;
    TimePoint ejectedUntil_{};
    bool ejected_ = false;
    bool isProbeInFlight_ = false;
};

/** How many of \a minions may be ejected at once; the last one never is. */
std::size_t maxEjectedMinions(const OutlierSettings &settings, std::size_t minions);

} // namespace Oleander
