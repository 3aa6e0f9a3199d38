#pragma once

#include "Base/clock.h"

#include <cstdint>

namespace Oleander {

/**
 * Makes the incarnation number of a process that starts now.
 *
 * A process without a disk has nothing but calendar time to be higher after a restart; messages
 * that name an incarnation compare for equality, so a calendar that was set back confuses no two.
 */
inline std::uint64_t newIncarnation(const Clock &clock)
{
    return static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
}

} // namespace Oleander
