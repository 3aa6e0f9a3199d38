#pragma once

#include "Settings/agentsettings.h"

namespace Oleander {

/** Runs an agent until SIGTERM or SIGINT; returns the exit code of the process. */
int runAgent(const AgentSettings &settings);

} // namespace Oleander
