#pragma once

#include "Base/location.h"
#include "Routing/miniontable.h"

#include <random>
#include <string>
#include <vector>

namespace Oleander {

/**
 * \class MinionSelector
 * \brief Selects the minion for an attempt by locality and power of two choices.
 *
 * Minions in the same failure domain are preferred while one of them has a free slot, because links
 * between failure domains add latency and cost. Among the candidates, two are drawn at random and
 * the cheaper one is used, so that entries with the same view do not all select the same minion.
 */
class MinionSelector
{
public:
    MinionSelector(Location own, std::uint64_t seed) : ownLocation_(std::move(own)), random_(seed)
    {}

    /**
     * Returns the minion for an attempt, or nullptr when no minion in \a eligible that is not in
     * \a tried has capacity.
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
