#pragma once

#include "Fleet/fleetwire.h"
#include "Settings/fleetsettings.h"

namespace Oleander::Fleet {

/** Runs an entry for jobs until it is told to stop; returns the exit code. */
int runJobEntry(const JobEntrySettings &settings, const FleetWire &wire);

} // namespace Oleander::Fleet
