#include "Jobs/unobservedpairs.h"

#include <algorithm>

namespace Oleander::Jobs {

void UnobservedPairs::add(const MinionUse &use)
{
    for (const auto &[filling, cores] : use.filling) {
        for (const std::string &serving : use.serving) {
            if (!interference_.isObserved(filling, serving))
                pairs_.emplace(filling, serving);
        }
    }
}

bool UnobservedPairs::contains(const std::string &image, const MinionUse &use) const
{
    return std::ranges::any_of(use.serving, [&](const std::string &serving) {
        return pairs_.contains({image, serving});
    });
}

} // namespace Oleander::Jobs
