#pragma once

#include "Base/clock.h"

#include <map>
#include <string>
#include <vector>

namespace Oleander::Placement {

/** Bounds that leader and agents agree on. */
struct WorkerLeaseSettings
{
    Duration length = std::chrono::seconds(5);
    /** Each clock runs fast or slow by at most this share. */
    double maxDrift = 0.01;
    /** Added by the leader on top of the drift. */
    Duration slack = std::chrono::milliseconds(200);
};

/** Time that a leader's clock must show for \a lease to have passed on every agent's clock. */
Duration leaderHoldTime(Duration lease, const WorkerLeaseSettings &settings);

/**
 * \class WorkerLeases
 * \brief Tells the leader which workers' leases have surely run out.
 *
 * An agent counts its lease from the moment it made the heartbeat that the reply answers, which is
 * before the leader notes the promise. The leader adds the drift of both clocks, so the agent's
 * end always comes first. A new leader does not know what the one before it promised and waits a
 * whole lease first.
 */
class WorkerLeases
{
public:
    explicit WorkerLeases(const WorkerLeaseSettings &settings) : settings_(settings) {}

    /**
     * Starts over at \a now, the time of winning the election: every worker counts as leased, for
     * \a longestGrantedLease where that is longer than the own lease.
     */
    void startTerm(TimePoint now, Duration longestGrantedLease);
    /** Notes a promise before it is sent, and returns its length. */
    Duration grant(const std::string &worker, TimePoint now);
    /** Returns true when no promise to \a worker can still be in force. */
    bool hasExpired(const std::string &worker, TimePoint now) const;
    /** Earliest time at which hasExpired() can become true. */
    TimePoint expiresAt(const std::string &worker) const;

    const WorkerLeaseSettings &settings() const { return settings_; }

private:
    WorkerLeaseSettings settings_;
    TimePoint termHoldEnd_;
    std::map<std::string, TimePoint> expiries_;
};

} // namespace Oleander::Placement
