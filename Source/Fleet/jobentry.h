#pragma once

#include "Fleet/fleetcodec.h"
#include "Settings/fleetsettings.h"

namespace Oleander::Fleet {

/**
 * Runs an entry for job calls until SIGTERM or SIGINT and returns the exit code. \a path is the
 * settings file, which is reloaded when it changes.
 */
int runJobEntry(const JobEntrySettings &settings, const std::string &path, const FleetCodec &codec);

} // namespace Oleander::Fleet
