#pragma once

#include "Jobs/interferencetable.h"
#include "Jobs/minionuse.h"

#include <set>
#include <string>
#include <utility>

namespace Oleander::Jobs {

/**
 * \class UnobservedPairs
 * \brief Pairs of a filling and a serving image that share a minion although no report has shown
 * their interference yet.
 *
 * A step of many tasks with such an image would disturb the services of many minions before the
 * first report, and its tasks would be throttled until their end.
 */
class UnobservedPairs
{
public:
    explicit UnobservedPairs(const InterferenceTable &interference) : interference_(interference) {}

    /** Adds the unobserved pairs on a minion with \a use. */
    void add(const MinionUse &use);
    /** True if a task of \a image would form one of the pairs again on a minion with \a use. */
    bool contains(const std::string &image, const MinionUse &use) const;

private:
    const InterferenceTable &interference_;
    /** Filling and serving image. */
    std::set<std::pair<std::string, std::string>> pairs_;
};

} // namespace Oleander::Jobs
