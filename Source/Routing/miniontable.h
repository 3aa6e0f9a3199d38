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

/** How the table of minions ages and judges. */
struct MinionTableSettings
{
    /** Silence of an agent after which its minions get no new work. */
    Duration agentTimeout = std::chrono::milliseconds(1500);
    /** Silence of an agent after which its minions are forgotten. */
    Duration forgetAfter = std::chrono::minutes(5);
    Duration latencyHalfLife = std::chrono::seconds(10);
    OutlierSettings outlier;
};

/**
 * \struct Minion
 * \brief What one entry knows of one minion: its agent's last report and the entry's own attempts.
 */
struct Minion
{
    std::string agent;
    /** Incarnation of the agent; a dispatch is meant for this one only. */
    std::uint64_t agentIncarnation = 0;
    Location location;
    MinionStatus status;
    /** Attempts of this entry that have no answer yet. */
    std::uint32_t inFlight = 0;
    /** Value of inFlight when \a status was reported; the report already counts these. */
    std::uint32_t inFlightAtReport = 0;
    DecayedLatency latency;
    OutlierEjection health;

    /** Estimated requests at the minion, running and queued. */
    std::uint32_t load() const;
    /** True when a slot is estimated free. */
    bool hasFreeSlot() const { return load() < status.slots; }
    /** True when the minion has room for one more request, running or queued. */
    bool hasCapacity() const { return load() < std::max(status.connections, status.slots); }
};

/**
 * \class MinionTable
 * \brief The minions of every service, as the agents' heartbeats tell them.
 *
 * There is no list of minions in the settings: a minion is known from the first heartbeat that
 * names it, and gets no new work once its agent is silent, it drains, or its announcement lapsed.
 */
class MinionTable
{
public:
    explicit MinionTable(MinionTableSettings settings) : settings_(settings) {}

    /**
     * Takes over a heartbeat. Returns false, and changes nothing, when it is older than one that
     * was already taken over: of an earlier incarnation, or a lower stamp of the same one.
     */
    bool update(const std::string &agent, std::uint64_t incarnation, const Heartbeat &heartbeat,
                TimePoint now);
    /** Takes over the load that an answer of the agent carried. */
    void updateLoad(Minion &minion, std::uint32_t running, std::uint32_t queued);
    /** Forgets agents that have been silent for very long. */
    void expire(TimePoint now);

    /** Minions of \a service that may get new work at \a now. */
    std::vector<Minion *> eligible(const std::string &service, TimePoint now);
    /** True when any agent ever announced a minion of \a service that is not yet forgotten. */
    bool knowsService(const std::string &service) const { return services_.contains(service); }
    Minion *find(const std::string &agent, const std::string &minion);
    /** Time since the last heartbeat of \a agent, or nothing when it is not known. */
    std::optional<Duration> timeSinceHeartbeat(const std::string &agent, TimePoint now) const;
    /** Incarnation of \a agent, or 0 when it is not known. */
    std::uint64_t incarnation(const std::string &agent) const;
    /** Every minion, for the dump. */
    std::vector<const Minion *> all() const;

    /** Counts the start of an attempt at \a minion. */
    void started(Minion &minion, TimePoint now);
    /** Counts a whole answer after \a latency. */
    void succeeded(Minion &minion, Duration latency, TimePoint now);
    /** Counts a failure of the minion or of the way to it. */
    void failed(Minion &minion, TimePoint now);
    /** Counts an attempt that ended without telling anything of the minion's health. */
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
