#pragma once

#include "Fleet/fleetcodec.h"
#include "Settings/fleetsettings.h"

namespace Oleander::Fleet {

/**
 * Runs the agent beside one minion until it is told to stop; returns the exit code. \a path
 * is that of the settings file, which is read again when it changes.
 */
int runMachineAgent(const MachineAgentSettings &settings, const std::string &path,
                    const FleetCodec &codec);

} // namespace Oleander::Fleet
