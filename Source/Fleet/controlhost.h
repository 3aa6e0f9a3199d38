#pragma once

#include "Fleet/fleetwire.h"
#include "Settings/fleetsettings.h"

namespace Oleander::Fleet {

/** Runs a control host until it is told to stop; returns the exit code. */
int runControlHost(const ControlHostSettings &settings, const FleetWire &wire);

} // namespace Oleander::Fleet
