#include "Jobs/interferencetable.h"

#include <algorithm>
#include <limits>

namespace Oleander::Jobs {

namespace {

constexpr double DefaultBaseLatencyRatio = 0.35;
/** Weight of the latest report in the interference of a pair. */
constexpr double InterferenceLearningRate = 0.15;
constexpr double BaseLearningRate = 0.03;
/** Added to the sum of squared cores, so that a large increase in latency is not attributed to a
 * few cores. */
constexpr double Regularization = 4.0;
/** Latency ratio of a serving task up to which filling tasks are placed beside it; below the ratio
 * that pacing aims at, so that the swing of the load does not throttle them at once. */
constexpr double MaxPlacementLatencyRatio = 0.75;
/** Largest increase of a latency ratio that one placed task may cause. */
constexpr double MaxTaskIncrease = 0.15;
/** Ratios are capped here; higher ones only say that the target is far exceeded. */
constexpr double MaxLatencyRatio = 3.0;

} // namespace

double InterferenceTable::interferencePerCore(const std::string &filling,
                                              const std::string &serving) const
{
    const auto known = interferencePerCore_.find({filling, serving});
    return known == interferencePerCore_.end() ? DefaultInterference : known->second;
}

double InterferenceTable::baseLatencyRatio(const std::string &serving) const
{
    const auto known = baseLatencyRatios_.find(serving);
    return known == baseLatencyRatios_.end() ? DefaultBaseLatencyRatio : known->second;
}

void InterferenceTable::observe(const std::vector<ServingSample> &serving, const FillingCores &used)
{
    double squares = Regularization;
    for (const auto &[image, cores] : used)
        squares += cores * cores;
    for (const ServingSample &sample : serving) {
        double expected = sample.ownLatencyRatio.value_or(baseLatencyRatio(sample.image));
        for (const auto &[image, cores] : used)
            expected += interferencePerCore(image, sample.image) * cores;
        const double error = std::min(sample.latencyRatio, MaxLatencyRatio) - expected;
        for (const auto &[image, cores] : used) {
            // An idle filling task shows nothing, and its pair stays unobserved.
            if (cores <= 0)
                continue;
            const double updated = interferencePerCore(image, sample.image)
                                   + InterferenceLearningRate * error * cores / squares;
            interferencePerCore_[{image, sample.image}] = std::max(MinInterference, updated);
        }
        baseLatencyRatios_[sample.image] =
            std::max(0.0, baseLatencyRatio(sample.image) + BaseLearningRate * error);
    }
}

LearnedInterference InterferenceTable::exportLearned() const
{
    LearnedInterference all;
    for (const auto &[pair, interference] : interferencePerCore_)
        all.interference.push_back({pair.first, pair.second, interference});
    for (const auto &[image, pressure] : baseLatencyRatios_)
        all.baselines.push_back({image, pressure});
    return all;
}

void InterferenceTable::importLearned(const LearnedInterference &learned)
{
    for (const ImageInterference &pair : learned.interference)
        interferencePerCore_[{pair.filling, pair.serving}] =
            std::max(MinInterference, pair.pressurePerCore);
    for (const ImageBaseline &image : learned.baselines)
        baseLatencyRatios_[image.serving] = image.pressure;
}

double InterferenceTable::latencyRatioWithoutFilling(const ServingSample &sample,
                                                     const FillingCores &used) const
{
    double ratio = std::min(sample.latencyRatio, MaxLatencyRatio);
    for (const auto &[image, cores] : used)
        ratio -= interferencePerCore(image, sample.image) * cores;
    return std::max(MinBaseLatencyRatio, ratio);
}

double InterferenceTable::availableCores(const std::string &image,
                                         const std::vector<ServingSample> &serving,
                                         const FillingCores &present) const
{
    double available = std::numeric_limits<double>::max();
    for (const ServingSample &other : serving) {
        double headroom = MaxPlacementLatencyRatio - other.latencyRatio;
        for (const auto &[beside, cores] : present)
            headroom -= interferencePerCore(beside, other.image) * cores;
        available =
            std::min(available, std::max(0.0, headroom) / interferencePerCore(image, other.image));
    }
    return available;
}

double InterferenceTable::maxTaskCores(const std::string &image,
                                       const std::vector<ServingSample> &serving) const
{
    double cores = std::numeric_limits<double>::max();
    for (const ServingSample &other : serving) {
        const auto known = interferencePerCore_.find({image, other.image});
        if (known != interferencePerCore_.end())
            cores = std::min(cores, MaxTaskIncrease / known->second);
    }
    return cores;
}

} // namespace Oleander::Jobs
