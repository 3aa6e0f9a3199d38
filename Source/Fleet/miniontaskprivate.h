#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <limits>

namespace Oleander::Fleet {

/** Timeout of a call to the minion, which runs on the same machine. */
constexpr Duration CallTimeout = std::chrono::milliseconds(400);
/** In place of the number of a report while an event waits for the next one. */
constexpr std::uint64_t NotYetReported = std::numeric_limits<std::uint64_t>::max();

} // namespace Oleander::Fleet
