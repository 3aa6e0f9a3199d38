#pragma once

#include "Base/clock.h"

#include <algorithm>

namespace Oleander {

/**
 * \class Deadline
 * \brief End of a caller's patience on this process's own time line.
 *
 * Processes never compare their clocks: a deadline crosses a process boundary as the time that
 * remains, and becomes a Deadline again where it arrives.
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
