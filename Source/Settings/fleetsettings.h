#pragma once

#include "Base/clock.h"
#include "Runtime/httpserver.h"
#include "Settings/settingsbinder.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Oleander {

/** How a process finds the control hosts. */
struct GroupSettings
{
    /** Link addresses of some control hosts; they may be late, wrong or down. */
    std::vector<std::string> seeds;
};

/**
 * \struct ControlHostSettings
 * \brief Settings of a control host (`oleander control`).
 */
struct ControlHostSettings
{
    /** Address of the link; also the name of the process within the group. */
    std::string link;
    std::string operatorDoor;
    /** Empty for a control host that keeps no replica and only forwards. */
    std::string dataFolder;
    /** True only when the whole system starts for the first time. */
    bool mayForm = false;
    /** Control hosts that may be lost at the same time. */
    std::uint64_t toleratedLosses = 1;
    /** Longest lease that a minion takes. */
    Duration longestLease = std::chrono::seconds(10);
    /** Door of the metrics; empty for none. */
    std::string metricsDoor;
    GroupSettings group;
    HttpLimits limits;
};

/**
 * \struct JobEntrySettings
 * \brief Settings of an entry for jobs (`oleander entry`).
 */
struct JobEntrySettings
{
    std::string name;
    std::string callerDoor;
    std::string healthDoor;
    /** Time after SIGTERM in which requests are still taken, so that the balancer can leave. */
    Duration drainDelay = std::chrono::milliseconds(3'200);
    /** Door of the metrics; empty for none. */
    std::string metricsDoor;
    GroupSettings group;
    HttpLimits limits;
};

/**
 * \struct MachineAgentSettings
 * \brief Settings of an agent beside one minion (`oleander-agent machine`).
 */
struct MachineAgentSettings
{
    std::string name;
    /** Door at which the minion announces itself. */
    std::string minionDoor;
    /** Address at which the minion takes calls. */
    std::string minion;
    /** Door of the metrics; empty for none. */
    std::string metricsDoor;
    GroupSettings group;
    HttpLimits limits;
};

CheckedSettings<ControlHostSettings> parseControlHostSettings(IniFile file);
CheckedSettings<JobEntrySettings> parseJobEntrySettings(IniFile file);
CheckedSettings<MachineAgentSettings> parseMachineAgentSettings(IniFile file);

} // namespace Oleander
