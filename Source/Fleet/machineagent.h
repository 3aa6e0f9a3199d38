#pragma once

#include "Fleet/fleetwire.h"
#include "Settings/fleetsettings.h"

namespace Oleander::Fleet {

/** Runs the agent beside one minion until it is told to stop; returns the exit code. */
int runMachineAgent(const MachineAgentSettings &settings, const FleetWire &wire);

} // namespace Oleander::Fleet
