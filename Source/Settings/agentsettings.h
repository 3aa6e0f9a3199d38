#pragma once

#include "Base/clock.h"
#include "Base/location.h"
#include "Protocol/messages.h"
#include "Settings/commonsettings.h"
#include "Settings/entrysettings.h"
#include "Settings/settingsbinder.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Oleander {

/** The worker process on the host of the agent. */
struct WorkerSettings
{
    /** HTTP address of the worker's API; empty if the host runs no tasks. */
    std::string address;
    /** Resources of the worker that tasks may use. */
    Resources capacity;
    /** Interval between two usage samples. */
    Duration usageInterval = std::chrono::seconds(2);
    /** Timeout of a call to the worker. */
    Duration callTimeout = std::chrono::seconds(5);
};

/** How an agent admits requests to its minions. */
struct AdmissionSettings
{
    /** Maximum number of requests that wait for a slot, over all minions. */
    std::uint64_t maxQueued = 1024;
    /** Maximum number of finished requests whose identifiers are stored. */
    std::uint64_t rememberedRequests = 16'384;
    /** Maximum time to live that a minion may announce. */
    Duration maxMinionLifetime = std::chrono::seconds(30);
};

/**
 * \struct AgentSettings
 * \brief Settings of one agent process (`oleander-agent`).
 */
struct AgentSettings
{
    std::string name;
    Location location;
    /** Address on which the messenger of this process listens. */
    std::string link;
    /** Address to which entries connect to reach the messenger. */
    std::string linkAdvertised;
    /** Address of the HTTP server to which minions announce themselves. */
    std::string minionDoor;
    /** Address of the HTTP server for state dump and metrics; disabled if empty. */
    std::string operatorDoor;
    HttpLimits minionLimits = DocumentLimits;
    HttpLimits operatorLimits;
    HttpSettings http = AgentHttpSettings;
    /** Entries to which this agent announces itself, with the addresses of their messengers. */
    std::vector<PeerAddress> entries;
    WorkerSettings worker;
    AdmissionSettings admission;
    /** Interval of the heartbeats to the entries. */
    Duration heartbeatInterval = std::chrono::milliseconds(500);
    /** Time for which a confirmed configuration version is considered current. */
    Duration configurationLease = std::chrono::seconds(3);
};

/** Validates \a file completely and returns the settings of an agent. */
CheckedSettings<AgentSettings> parseAgentSettings(IniFile file);

} // namespace Oleander
