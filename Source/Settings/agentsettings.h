#pragma once

#include "Base/clock.h"
#include "Base/location.h"
#include "Protocol/messages.h"
#include "Runtime/httpserver.h"
#include "Settings/entrysettings.h"
#include "Settings/settingsbinder.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Oleander {

/** The worker on the agent's host. */
struct WorkerSettings
{
    /** HTTP address of the worker's own interface; empty when the host runs no tasks. */
    std::string address;
    /** What the worker can hold. */
    Resources capacity;
    /** Time between two readings of usage. */
    Duration usageInterval = std::chrono::seconds(2);
    Duration callTimeout = std::chrono::seconds(5);
};

/** How an agent admits requests to its minions. */
struct AdmissionSettings
{
    /** Requests that wait for a slot, over all minions. */
    std::uint64_t maxQueued = 1024;
    /** Finished requests whose identifiers are remembered. */
    std::uint64_t rememberedRequests = 16'384;
    /** Longest time to live that a minion may announce. */
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
    /** Address on which the inbox listens. */
    std::string link;
    /** Address of the inbox as entries dial it. */
    std::string linkAdvertised;
    /** Address of the door at which minions announce themselves. */
    std::string minionDoor;
    /** Address of the door for the state dump and metrics; empty opens none. */
    std::string operatorDoor;
    HttpLimits minionLimits;
    HttpLimits operatorLimits;
    /** Entries to which this agent announces itself, with the addresses of their links. */
    std::vector<PeerAddress> entries;
    WorkerSettings worker;
    AdmissionSettings admission;
    Duration heartbeatInterval = std::chrono::milliseconds(500);
    /** Time for which a confirmed configuration version counts as current. */
    Duration configurationLease = std::chrono::seconds(3);
};

/** Checks the whole of \a file and fills the settings of an agent. */
CheckedSettings<AgentSettings> parseAgentSettings(IniFile file);

} // namespace Oleander
