#pragma once

#include "Base/clock.h"

#include <string>

namespace Oleander::Records {

/** Formats \a time as RFC 3339 in UTC with a precision of one second. */
std::string timeText(WallTime time);

} // namespace Oleander::Records
