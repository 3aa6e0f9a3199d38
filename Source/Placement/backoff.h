#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <random>

namespace Oleander::Placement {

/**
 * \class Backoff
 * \brief Exponential backoff with jitter and an upper bound.
 */
class Backoff
{
public:
    Backoff(Duration base, Duration max, std::uint32_t seed) : base_(base), max_(max), random_(seed)
    {}

    /** Returns a random delay between half and all of base * 2^failures, bounded by the maximum. */
    Duration next(std::uint32_t failures);

private:
    Duration base_;
    Duration max_;
    std::minstd_rand random_;
};

} // namespace Oleander::Placement
