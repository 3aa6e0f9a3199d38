#include "Jobs/interferencetable.h"

#include <algorithm>
#include <limits>

namespace Oleander::Jobs {

namespace {

constexpr double UnknownBase = 0.35;
/** Weight of the latest report. */
constexpr double LearnRate = 0.15;
constexpr double BaseRate = 0.03;
/** Added to the squares of the cores, so that a few cores do not explain a large pressure. */
constexpr double Regularization = 4.0;
/** Pressure up to which filling tasks are placed beside a serving one. */
constexpr double PlacedPressure = 0.85;
/** Readings above this tell no more than that the bound is passed by far. */
constexpr double HighestPressure = 3.0;

} // namespace

double InterferenceTable::press(const std::string &filling, const std::string &serving) const
{
    const auto known = press_.find({filling, serving});
    return known == press_.end() ? UnknownPress : known->second;
}

double InterferenceTable::base(const std::string &serving) const
{
    const auto known = base_.find(serving);
    return known == base_.end() ? UnknownBase : known->second;
}

void InterferenceTable::observe(const std::vector<ServingSample> &serving, const FillingCores &used)
{
    double squares = Regularization;
    for (const auto &[image, cores] : used)
        squares += cores * cores;
    for (const ServingSample &sample : serving) {
        double expected = base(sample.image);
        for (const auto &[image, cores] : used)
            expected += press(image, sample.image) * cores;
        const double error = std::min(sample.pressure, HighestPressure) - expected;
        for (const auto &[image, cores] : used) {
            const double learned = press(image, sample.image) + LearnRate * error * cores / squares;
            press_[{image, sample.image}] = std::max(LeastPress, learned);
        }
        base_[sample.image] = std::max(0.0, base(sample.image) + BaseRate * error);
    }
}

LearnedInterference InterferenceTable::learned() const
{
    LearnedInterference all;
    for (const auto &[pair, press] : press_)
        all.interference.push_back({pair.first, pair.second, press});
    for (const auto &[image, pressure] : base_)
        all.baselines.push_back({image, pressure});
    return all;
}

void InterferenceTable::take(const LearnedInterference &learned)
{
    for (const ImageInterference &pair : learned.interference)
        press_[{pair.filling, pair.serving}] = std::max(LeastPress, pair.pressurePerCore);
    for (const ImageBaseline &image : learned.baselines)
        base_[image.serving] = image.pressure;
}

double InterferenceTable::without(const ServingSample &sample, const FillingCores &used) const
{
    double pressure = std::min(sample.pressure, HighestPressure);
    for (const auto &[image, cores] : used)
        pressure -= press(image, sample.image) * cores;
    return std::max(LeastOwnPressure, pressure);
}

double InterferenceTable::room(const std::string &image, const std::vector<ServingSample> &serving,
                               const FillingCores &present) const
{
    double room = std::numeric_limits<double>::max();
    for (const ServingSample &other : serving) {
        double left = PlacedPressure - other.pressure;
        for (const auto &[beside, cores] : present)
            left -= press(beside, other.image) * cores;
        room = std::min(room, std::max(0.0, left) / press(image, other.image));
    }
    return room;
}

} // namespace Oleander::Jobs
