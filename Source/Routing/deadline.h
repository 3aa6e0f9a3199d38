#pragma once

#include "Base/clock.h"

#include <algorithm>

namespace Oleander {

/**
 * \class Deadline
 * \brief Deadline of a request, measured by the monotonic clock of this process.
 *
 * Clocks of different processes are not comparable, so a deadline is sent as the remaining time and
 * converted back to a Deadline by the receiver.
 */
class Deadline
{
public:
    Deadline(TimePoint now, Duration remaining) : end_(now + remaining) {}

    TimePoint end() const { return end_; }
    bool isExpired(TimePoint now) const { return now >= end_; }
    /** Time left at \a now; never negative. */
    Duration remaining(TimePoint now) const { return std::max(end_ - now, Duration::zero()); }

private:
    TimePoint end_;
};

} // namespace Oleander
