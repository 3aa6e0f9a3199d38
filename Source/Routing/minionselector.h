#pragma once

#include "Base/location.h"
#include "Routing/miniontable.h"

#include <random>
#include <string>
#include <vector>

namespace Oleander {

/**
 * \class MinionSelector
 * \brief Picks the minion for one attempt.
 *
 * Minions of the own failure domain come first while one of them has a free slot, since the links
 * between failure domains cost time and money. Among equals two are drawn at random and the
 * better one is taken, so that entries that know the same do not all rush to the same minion.
 */
class MinionSelector
{
public:
    MinionSelector(Location own, std::uint64_t seed) : ownLocation_(std::move(own)), random_(seed)
    {}

    /**
     * Returns the minion for an attempt, or nullptr when none of \a eligible has room; the \a tried
     * ones are never taken again.
     */
    Minion *select(const std::vector<Minion *> &eligible, const std::vector<const Minion *> &tried,
                   TimePoint now);

private:
    Minion *betterOfTwo(const std::vector<Minion *> &candidates, TimePoint now);
    bool isLocal(const Minion &minion) const;

    Location ownLocation_;
    std::mt19937_64 random_;
};

} // namespace Oleander
