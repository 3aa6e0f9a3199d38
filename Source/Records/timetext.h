#pragma once

#include "Base/clock.h"

#include <string>

namespace Oleander::Records {

/** Calendar time as answers show it: RFC 3339 in UTC, to the second. */
std::string timeText(WallTime time);

} // namespace Oleander::Records
