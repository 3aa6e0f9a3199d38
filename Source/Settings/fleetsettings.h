#pragma once

#include "Base/clock.h"
#include "Settings/commonsettings.h"
#include "Settings/settingsbinder.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Oleander {

/** Bootstrap addresses of the control hosts. */
struct GroupSettings
{
    /** Addresses of some control hosts; they may be outdated, wrong or unreachable. */
    std::vector<std::string> seeds;
};

/**
 * \struct ControlHostSettings
 * \brief Settings of a control host (`oleander control`).
 */
struct ControlHostSettings
{
    /** Address for other processes of the group; also the name of this process in the group. */
    std::string link;
    /** Address of the HTTP server for operators. */
    std::string operatorDoor;
    /** Data folder of the replica; empty if this control host only forwards requests. */
    std::string dataFolder;
    /** Allows creating a new control group; true only for the first start of the system. */
    bool mayForm = false;
    /** Number of control hosts that may fail at the same time. */
    std::uint64_t toleratedLosses = 1;
    /** Maximum lease duration of a minion. */
    Duration longestLease = std::chrono::seconds(10);
    /** Estimated memory of the stored jobs above which submissions are refused. */
    std::uint64_t jobMemory = std::uint64_t{96} << 20U;
    /** Starts on a cold minion as a multiple of the average on a warm one; 0 for no limit. */
    double coldOverage = 0;
    /** Starts on a cold minion in one second in addition; 0 for no limit. */
    std::uint64_t coldSlack = 0;
    /** Reserves resources for large tasks that small ones would keep waiting. */
    bool backfill = false;
    /** Address of the HTTP server for metrics; disabled if empty. */
    std::string metricsDoor;
    /** Failure domains that operators may evacuate; evacuations are not offered if empty. */
    std::vector<std::string> failureDomains;
    GroupSettings group;
    HttpLimits limits = DocumentLimits;
    HttpSettings http;
};

/**
 * \struct JobEntrySettings
 * \brief Settings of an entry for jobs (`oleander entry`).
 */
struct JobEntrySettings
{
    std::string name;
    /** Address of the HTTP server for callers. */
    std::string callerDoor;
    /** Address of the HTTP server for health checks. */
    std::string healthDoor;
    /** Time after SIGTERM during which requests are still accepted, so that the load balancer can
     * remove this entry. */
    Duration drainDelay = std::chrono::milliseconds(3'200);
    /** Address of the HTTP server for metrics; disabled if empty. */
    std::string metricsDoor;
    GroupSettings group;
    HttpLimits limits;
    HttpSettings http;
};

/**
 * \struct MachineAgentSettings
 * \brief Settings of an agent that runs beside one minion (`oleander-agent machine`).
 */
struct MachineAgentSettings
{
    std::string name;
    /** Address of the HTTP server to which the minion announces itself. */
    std::string minionDoor;
    /** Address of the minion. */
    std::string minion;
    /** Time after the acknowledgement of a job's cancelling within which its tasks may still start.
     */
    Duration cancelTime = std::chrono::seconds(3);
    /** Time after the acknowledgement of an evacuation within which tasks may still start in the
     * failure domain; empty if evacuations are not offered. */
    std::optional<Duration> evacuationTime;

    /** Age at which a confirmation of a start is too old for all of these times. */
    Duration confirmationTime() const
    {
        return std::min(cancelTime, evacuationTime.value_or(cancelTime));
    }
    /** Address of the HTTP server for metrics; disabled if empty. */
    std::string metricsDoor;
    GroupSettings group;
    HttpLimits limits = DocumentLimits;
    HttpSettings http = AgentHttpSettings;
};

CheckedSettings<ControlHostSettings> parseControlHostSettings(IniFile file);
CheckedSettings<JobEntrySettings> parseJobEntrySettings(IniFile file);
CheckedSettings<MachineAgentSettings> parseMachineAgentSettings(IniFile file);

} // namespace Oleander
