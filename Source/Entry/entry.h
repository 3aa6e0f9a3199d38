#pragma once

#include "Settings/entrysettings.h"

namespace Oleander {

/** Runs an entry until SIGTERM or SIGINT; returns the exit code of the process. */
int runEntry(const EntrySettings &settings);

} // namespace Oleander
