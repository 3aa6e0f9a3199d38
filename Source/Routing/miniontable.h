#pragma once

#include "Base/location.h"
#include "Protocol/messages.h"
#include "Routing/decayedlatency.h"
#include "Routing/outlierejection.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Oleander {

/** Timeouts and outlier detection of a MinionTable. */
struct MinionTableSettings
{
    /** Time without a heartbeat after which the minions of an agent get no new requests. */
    Duration agentTimeout = std::chrono::milliseconds(1500);
    /** Time without a heartbeat after which an agent and its minions are removed. */
    Duration forgetAfter = std::chrono::minutes(5);
    Duration latencyHalfLife = std::chrono::seconds(10);
    OutlierSettings outlier;
};

/**
 * \struct Minion
 * \brief An entry's view of a minion: its last reported status and the entry's own attempts.
 */
struct Minion
{
    std::string agent;
    /** Incarnation of the agent that reported the minion; dispatches are valid for it only. */
    std::uint64_t agentIncarnation = 0;
    Location location;
    MinionStatus status;
    /** Outstanding attempts of this entry. */
    std::uint32_t inFlight = 0;
    /** Value of inFlight when \a status was received; the status already includes these. */
    std::uint32_t inFlightAtReport = 0;
    DecayedLatency latency;
    OutlierEjection health;

    /** Estimated number of running and queued requests. */
    std::uint32_t load() const;
    /** True when the estimated load leaves a slot free. */
    bool hasFreeSlot() const { return load() < status.slots; }
    /** True when the minion can run or queue one more request. */
    bool hasCapacity() const { return load() < std::max(status.connections, status.slots); }
};

/**
 * \class MinionTable
 * \brief Minions of all services, discovered through the heartbeats of the agents.
 *
 * Minions are not configured: a minion is added by the first heartbeat that contains it. It gets no
 * new requests while it is draining, its announcement has lapsed, or its agent has timed out.
 */
class MinionTable
{
public:
    explicit MinionTable(MinionTableSettings settings) : settings_(settings) {}

    /**
     * Applies a heartbeat. Returns false without any change when the heartbeat is stale: it has an
     * earlier incarnation than the last one, or the same incarnation and a lower stamp.
     */
    bool update(const std::string &agent, std::uint64_t incarnation, const Heartbeat &heartbeat,
                TimePoint now);
    /** Updates the load of \a minion from the figures that an agent sent with an answer. */
    void updateLoad(Minion &minion, std::uint32_t running, std::uint32_t queued);
    /** Removes agents without a heartbeat for MinionTableSettings::forgetAfter. */
    void expire(TimePoint now);

    /** Minions of \a service that may get new requests at \a now. */
    std::vector<Minion *> eligible(const std::string &service, TimePoint now);
    /** True when the table contains a minion of \a service, eligible or not. */
    bool knowsService(const std::string &service) const { return services_.contains(service); }
    Minion *find(const std::string &agent, const std::string &minion);
    /** Time since the last heartbeat of \a agent, or nothing when the agent is unknown. */
    std::optional<Duration> timeSinceHeartbeat(const std::string &agent, TimePoint now) const;
    /** Incarnation of \a agent, or 0 when the agent is unknown. */
    std::uint64_t incarnation(const std::string &agent) const;
    /** All minions, for the dump. */
    std::vector<const Minion *> all() const;

    /** Records the start of an attempt at \a minion. */
    void started(Minion &minion, TimePoint now);
    /** Records a complete response with \a latency. */
    void succeeded(Minion &minion, Duration latency, TimePoint now);
    /** Records a failure of the minion or of the connection to it. */
    void failed(Minion &minion, TimePoint now);
    /** Records the end of an attempt that says nothing about the health of the minion. */
    void abandoned(Minion &minion);

private:
    struct Agent
    {
        std::uint64_t incarnation = 0;
        std::uint64_t stamp = 0;
        TimePoint lastHeartbeatAt{};
        std::map<std::string, std::unique_ptr<Minion>> minions;
    };

    void rebuildServices();
    std::size_t ejectedCount(const std::string &service, TimePoint now) const;

    MinionTableSettings settings_;
    std::map<std::string, Agent> agents_;
    std::map<std::string, std::vector<Minion *>> services_;
};

} // namespace Oleander
