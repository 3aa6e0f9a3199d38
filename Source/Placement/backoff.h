#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <random>

namespace Oleander::Placement {

/**
 * \class Backoff
 * \brief Draws growing, bounded delays with jitter.
 */
class Backoff
{
public:
    Backoff(Duration base, Duration max, std::uint32_t seed) : base_(base), max_(max), random_(seed)
    {}

    /** Returns a delay between half and all of base times 2 to the power of \a failures. */
    Duration next(std::uint32_t failures);

private:
    Duration base_;
    Duration max_;
    std::minstd_rand random_;
};

} // namespace Oleander::Placement
