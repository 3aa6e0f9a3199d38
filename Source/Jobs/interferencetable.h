#pragma once

#include "Protocol/jobmessages.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Oleander::Jobs {

/** Pressure that a core of a pair of images of which nothing is known is taken to add: half a bound
 * for a machine's half. */
constexpr double DefaultInterference = 0.015;
/** Press of a pair is at least this, so that pairs can be compared by it. */
constexpr double MinInterference = 0.0005;
/** Pressure that a serving task is taken to have at least without filling ones. */
constexpr double MinBaseLatencyRatio = 0.15;

/** A serving task as a report shows it. */
struct ServingSample
{
    std::string image;
    /** Tail latency in parts of its bound. */
    double latencyRatio = 0;
};

/** Cores that filling tasks use or ask for, by image. */
using FillingCores = std::map<std::string, double>;

/**
 * \class InterferenceTable
 * \brief Learns how much a core of each filling image presses on each serving image.
 *
 * Load it answers: some pairs of images disturb each other even at a small share, others not at
 * all; only the reports of minions on which they meet tell which. Older reports count less.
 */
class InterferenceTable
{
public:
    /** Takes in one report of a minion. */
    void observe(const std::vector<ServingSample> &serving, const FillingCores &used);
    /** Cores of \a image that fit beside \a serving, each with the pressure that it has without
     * filling tasks, and \a present already there, until one of them is near its bound. */
    double availableCores(const std::string &image, const std::vector<ServingSample> &serving,
                          const FillingCores &present) const;
    /** Pressure that \a sample would have without the filling tasks that use \a used. */
    double latencyRatioWithoutFilling(const ServingSample &sample, const FillingCores &used) const;
    /** Pressure that a core of \a filling adds to \a serving, in parts of its bound. */
    double interferencePerCore(const std::string &filling, const std::string &serving) const;
    /** Pressure of \a serving without filling tasks. */
    double baseLatencyRatio(const std::string &serving) const;
    /** All that was learned, for another table. */
    LearnedImages exportLearned() const;
    /** Takes what another table learned in the place of what this one holds. */
    void importLearned(const LearnedImages &learned);

private:
    std::map<std::pair<std::string, std::string>, double> interferencePerCore_;
    std::map<std::string, double> baseLatencyRatios_;
};

} // namespace Oleander::Jobs
