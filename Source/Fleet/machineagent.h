#pragma once

#include "Fleet/fleetcodec.h"
#include "Settings/fleetsettings.h"

namespace Oleander::Fleet {

/**
 * Runs the agent of one minion until SIGTERM or SIGINT and returns the exit code. \a path is the
 * settings file, which is reloaded when it changes.
 */
int runMachineAgent(const MachineAgentSettings &settings, const std::string &path,
                    const FleetCodec &codec);

} // namespace Oleander::Fleet
