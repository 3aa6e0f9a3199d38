#pragma once

#include "Base/clock.h"

#include <cstdint>

namespace Oleander {

/**
 * Returns the incarnation number for a process that starts now.
 *
 * Wall-clock time is used because a process without a disk has no other number that is higher after
 * a restart. Messages that target an incarnation are matched by equality, so they do not reach the
 * wrong incarnation even if the clock was set back.
 */
inline std::uint64_t newIncarnation(const Clock &clock)
{
    return static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
}

} // namespace Oleander
