#pragma once

#include "Fleet/fleetcodec.h"
#include "Settings/fleetsettings.h"

namespace Oleander::Fleet {

/**
 * Runs a control host until SIGTERM or SIGINT and returns the exit code. \a path is the settings
 * file, which is reloaded when it changes.
 */
int runControlHost(const ControlHostSettings &settings, const std::string &path,
                   const FleetCodec &codec);

} // namespace Oleander::Fleet
