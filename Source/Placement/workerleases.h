#pragma once

#include "Base/clock.h"

#include <map>
#include <string>
#include <vector>

namespace Oleander::Placement {

/** Lease parameters that the leader and the agents share. */
struct WorkerLeaseSettings
{
    Duration length = std::chrono::seconds(5);
    /** Maximum rate error of each clock. */
    double maxDrift = 0.01;
    /** Safety margin that the leader adds to the drift allowance. */
    Duration slack = std::chrono::milliseconds(200);
};

/** Returns the time by the leader's clock in which \a lease passes on every agent's clock. */
Duration leaderHoldTime(Duration lease, const WorkerLeaseSettings &settings);

/**
 * \class WorkerLeases
 * \brief Tracks granted leases and determines which have expired for certain.
 *
 * An agent counts its lease from the time when it created the heartbeat that the reply answers,
 * which is before the leader records the grant. The leader also allows for the drift of both
 * clocks, so the lease always ends on the agent first. A new leader does not know the grants of its
 * predecessor and therefore waits for a full lease first.
 */
class WorkerLeases
{
public:
    explicit WorkerLeases(const WorkerLeaseSettings &settings) : settings_(settings) {}

    /**
     * Resets at \a now, the start of the term: every worker counts as leased from then on, for the
     * configured lease length or \a longestGrantedLease, whichever is longer.
     */
    void startTerm(TimePoint now, Duration longestGrantedLease);
    /** Records a grant, before it is sent, and returns its length. */
    Duration grant(const std::string &worker, TimePoint now);
    /** Returns true when no lease granted to \a worker can still be valid. */
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
