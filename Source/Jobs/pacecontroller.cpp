#include "Jobs/pacecontroller.h"

#include <algorithm>
#include <cmath>

namespace Oleander::Jobs {

namespace {

constexpr double FullPercent = 100.0;
/** Pressure, in parts of the bound, that the controller aims at: near it, and under it at a swing
 * of the load. */
constexpr double AimedPressure = 0.8;
/** Pressure at which the share of all falls. */
constexpr double SlowAbove = 0.9;
/** Pressure under which the share of all rises. */
constexpr double RaiseBelow = 0.75;
constexpr double LeastGain = 0.04;
constexpr double SmallestCut = 0.25;
constexpr double RaiseFactor = 1.4;
constexpr double RaiseStep = 0.05;
/** Time for a change to show in the reports, which cover half a second. */
constexpr Duration SettleTime = std::chrono::milliseconds(500);
/** Weight of the latest report in the model of the images. */
constexpr double LearnRate = 0.3;
/** Rise of the base with each report that shows more; loads swing within tens of seconds. */
constexpr double BaseDrift = 0.01;
constexpr double MilliCoresPerUnit = 10'000.0;
constexpr double Epsilon = 0.05;
/** Changes of the share below this are not worth a call. */
constexpr std::uint32_t LeastChangePercent = 4;

double pressureOf(const std::vector<PacedRun> &runs)
{
    double worst = 0;
    for (const PacedRun &run : runs) {
        if (run.targetLatencyMs > 0)
            worst = std::max(worst, static_cast<double>(run.figure) / run.targetLatencyMs);
    }
    return worst;
}

} // namespace

void PaceController::learn(const std::vector<PacedRun> &runs, double pressure)
{
    std::map<std::string, double> used;
    for (const PacedRun &run : runs) {
        if (run.filling)
            used[run.image] += run.figure / MilliCoresPerUnit;
    }
    double squares = Epsilon;
    double expected = 0;
    for (const auto &[image, amount] : used) {
        squares += amount * amount;
        expected += weights_[image] * amount;
    }
    if (used.empty())
        base_ += LearnRate * (pressure - base_);
    else
        base_ = std::min(base_ + BaseDrift, pressure);
    const double error = pressure - base_ - expected;
    for (const auto &[image, amount] : used) {
        double &weight = weights_[image];
        weight = std::max(0.0, weight + LearnRate * error * amount / squares);
    }
}

void PaceController::adjust(TimePoint now, double pressure)
{
    if (now < changedAt_ + SettleTime)
        return;
    const double before = gain_;
    if (pressure > SlowAbove) {
        const double room = std::max(0.0, AimedPressure - base_);
        const double excess = std::max(Epsilon, pressure - base_);
        gain_ *= std::clamp(room / excess, SmallestCut, 1.0);
        if (gain_ < LeastGain)
            gain_ = 0;
    } else if (pressure < RaiseBelow) {
        gain_ = std::min(1.0, gain_ * RaiseFactor + RaiseStep);
    }
    if (gain_ != before)
        changedAt_ = now;
}

std::map<std::string, double>
PaceController::modelShares(const std::vector<PacedRun> &runs) const
{
    std::map<std::string, double> asked;
    for (const PacedRun &run : runs) {
        if (run.filling)
            asked[run.image] += run.milliCores / MilliCoresPerUnit;
    }
    std::vector<std::pair<double, std::string>> lightFirst;
    for (const auto &[image, amount] : asked) {
        const auto weight = weights_.find(image);
        lightFirst.emplace_back(weight == weights_.end() ? 0.0 : weight->second, image);
    }
    std::ranges::sort(lightFirst);
    double room = std::max(0.0, AimedPressure - base_);
    std::map<std::string, double> shares;
    for (const auto &[weight, image] : lightFirst) {
        const double press = 0 * weight * asked[image];
        shares[image] = press <= room ? 1.0 : std::max(LeastGain, room / press);
        room = std::max(0.0, room - press);
    }
    return shares;
}

std::vector<PaceOrder> PaceController::update(TimePoint now, const std::vector<PacedRun> &runs)
{
    const double pressure = pressureOf(runs);
    const bool serves = std::ranges::any_of(
        runs, [](const PacedRun &run) { return run.targetLatencyMs > 0; });
    if (serves) {
        learn(runs, pressure);
        adjust(now, pressure);
    } else {
        gain_ = 1.0;
    }
    const auto shares = modelShares(runs);
    std::map<RunKey, std::uint32_t> ordered;
    std::vector<PaceOrder> orders;
    double asked = 0;
    double allowed = 0;
    for (const PacedRun &run : runs) {
        if (!run.filling)
            continue;
        const double share = serves ? gain_ * shares.at(run.image) : 1.0;
        const auto wanted = static_cast<std::uint32_t>(std::lround(FullPercent * share));
        asked += run.milliCores;
        allowed += run.milliCores * share;
        const auto known = ordered_.find(run.key);
        std::uint32_t current = known == ordered_.end() ? static_cast<std::uint32_t>(FullPercent)
                                                        : known->second;
        const std::uint32_t change = std::max(current, wanted) - std::min(current, wanted);
        if (change >= LeastChangePercent || (change > 0 && (wanted == 0 || wanted == 100))) {
            orders.push_back({run.key, wanted});
            current = wanted;
        }
        ordered[run.key] = current;
    }
    ordered_ = std::move(ordered);
    percent_ = asked > 0 ? static_cast<std::uint32_t>(FullPercent * allowed / asked)
                         : static_cast<std::uint32_t>(FullPercent * (serves ? gain_ : 1.0));
    return orders;
}

} // namespace Oleander::Jobs
