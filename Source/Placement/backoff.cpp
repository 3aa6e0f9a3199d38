#include "Placement/backoff.h"

#include <algorithm>

namespace Oleander::Placement {

Duration Backoff::next(std::uint32_t failures)
{
    constexpr std::uint32_t MaxDoublings = 20;
    const Duration full =
        std::min(max_, base_ * (std::int64_t(1) << std::min(failures, MaxDoublings)));
    std::uniform_int_distribution<Duration::rep> draw(full.count() / 2, full.count());
    return Duration(draw(random_));
}

} // namespace Oleander::Placement
