#include "Jobs/pacecontroller.h"

#include "Jobs/interferencetable.h"

#include <algorithm>
#include <cmath>

namespace Oleander::Jobs {

namespace {

constexpr double FullPercent = 100.0;
constexpr double MilliCoresPerCore = 1000.0;
/** Latency ratio that the allocation aims at: near the target, with a margin for load variations.
 */
constexpr double TargetLatencyRatio = 0.85;
/** Latency ratio above which the gain is reduced. */
constexpr double LowerGainAbove = 0.95;
/** Latency ratio below which the gain is raised. */
constexpr double RaiseGainBelow = 0.85;
/** Latency ratio above which a serving run counts as limited by its own load or a slow minion while
 * the filling runs are idle. */
constexpr double OwnLoadRatio = 1.2;
/** Processor time in cores below which filling runs cause no interference. */
constexpr double IdleCores = 0.5;
/** Time for which the filling runs must be idle before a latency above target is attributed to the
 * serving run's own load. Reports cover half a second, and the tail latency takes about as long to
 * fall. */
constexpr Duration FillingIdleTime = std::chrono::milliseconds(1'200);
/** Time for which such a run is ignored. Together with MaxTimeOverTarget it stays below the 4 s
 * after which the platform counts a violation, in case the filling runs have become the cause. */
constexpr Duration OwnLoadFor = std::chrono::milliseconds(1'500);
/** Smallest share that is ordered; a run with less is paused. */
constexpr double MinShare = 0.04;
constexpr double CutFactor = 0.5;
/** Upper limit of the gain; the shares exceed what the learned values permit while all serving runs
 * have slack. */
constexpr double MaxGain = 8.0;
/** Time over target after which all filling runs are paused. With the half second that a report
 * covers and the delay of the order it stays below the 4 s after which the platform counts a
 * violation. */
constexpr Duration MaxTimeOverTarget = std::chrono::milliseconds(1'600);
constexpr double RaiseFactor = 1.5;
constexpr double RaiseStep = 0.1;
/** Time for a change to show in the reports, which cover half a second. */
constexpr Duration SettleTime = std::chrono::milliseconds(500);
/** Headroom that is always granted to filling runs. */
constexpr double MinHeadroom = 0.05;
/** Smallest change of a share that is ordered. */
constexpr std::uint32_t MinChangePercent = 4;

double latencyRatio(const PacedRun &run)
{
    return static_cast<double>(run.measurement) / run.targetLatencyMs;
}

} // namespace

double PaceController::maxLatencyRatio(TimePoint now, const std::vector<PacedRun> &runs) const
{
    double highest = 0;
    for (const PacedRun &run : runs) {
        if (isConsidered(now, run))
            highest = std::max(highest, latencyRatio(run));
    }
    return highest;
}

bool PaceController::isConsidered(TimePoint now, const PacedRun &run) const
{
    const auto own = ownLoadUntil_.find(run.key);
    return run.targetLatencyMs > 0 && (own == ownLoadUntil_.end() || now >= own->second);
}

void PaceController::updateOwnLoad(TimePoint now, const std::vector<PacedRun> &runs)
{
    double cores = 0;
    std::map<RunKey, TimePoint> kept;
    for (const PacedRun &run : runs) {
        if (run.filling)
            cores += run.measurement / MilliCoresPerCore;
    }
    if (cores >= IdleCores)
        fillingIdleSince_.reset();
    else if (!fillingIdleSince_)
        fillingIdleSince_ = now;
    const bool isFillingIdle = fillingIdleSince_ && now >= *fillingIdleSince_ + FillingIdleTime;
    for (const PacedRun &run : runs) {
        const auto own = ownLoadUntil_.find(run.key);
        if (run.targetLatencyMs == 0)
            continue;
        if (isFillingIdle && latencyRatio(run) > OwnLoadRatio)
            kept[run.key] = now + OwnLoadFor;
        else if (own != ownLoadUntil_.end() && now < own->second
                 && latencyRatio(run) > RaiseGainBelow)
            kept[run.key] = own->second;
    }
    ownLoadUntil_ = std::move(kept);
}

double PaceController::interferencePerCore(const std::string &filling,
                                           const std::string &serving) const
{
    const auto known = interferencePerCore_.find({filling, serving});
    return known == interferencePerCore_.end() ? DefaultInterference
                                               : std::max(MinInterference, known->second);
}

void PaceController::adjustGain(TimePoint now, double ratio, double maxUsefulGain)
{
    if (ratio <= 1.0)
        overTargetSince_.reset();
    else if (!overTargetSince_)
        overTargetSince_ = now;
    if (overTargetSince_ && now > *overTargetSince_ + MaxTimeOverTarget) {
        gain_ = 0;
        gainChangedAt_ = now;
        return;
    }
    if (now < gainChangedAt_ + SettleTime)
        return;
    const double before = gain_;
    if (ratio > LowerGainAbove) {
        const double effective = std::min(gain_, maxUsefulGain);
        gain_ = effective * CutFactor < MinShare ? 0 : effective * CutFactor;
    } else if (ratio < RaiseGainBelow) {
        gain_ = std::min(MaxGain, gain_ * RaiseFactor + RaiseStep);
    }
    if (gain_ != before)
        gainChangedAt_ = now;
}

std::vector<PaceController::ServingHeadroom>
PaceController::findHeadrooms(TimePoint now, const std::vector<PacedRun> &runs) const
{
    std::map<std::string, double> used;
    for (const PacedRun &run : runs) {
        if (run.filling)
            used[run.image] += run.measurement / MilliCoresPerCore;
    }
    // The headroom of a serving run is the difference between the aimed ratio and its estimated
    // ratio without filling runs. If that estimate alone exceeds the aim, the filling runs are not
    // the cause or the learned values are inaccurate; the filling runs are then slowed gradually.
    std::vector<ServingHeadroom> headrooms;
    for (const PacedRun &run : runs) {
        if (!isConsidered(now, run))
            continue;
        double added = 0;
        for (const auto &[image, cores] : used)
            added += interferencePerCore(image, run.image) * cores;
        const double baseRatio = std::max(MinBaseLatencyRatio, latencyRatio(run) - added);
        headrooms.push_back({run.image, std::max({TargetLatencyRatio - baseRatio, CutFactor * added,
                                                  MinHeadroom})});
    }
    return headrooms;
}

std::vector<PaceController::FillingShare>
PaceController::sortFilling(const std::vector<PacedRun> &runs,
                            const std::vector<ServingHeadroom> &headrooms) const
{
    std::vector<FillingShare> order;
    for (const PacedRun &run : runs) {
        if (!run.filling)
            continue;
        FillingShare share{&run, MinInterference, 0};
        for (const ServingHeadroom &headroom : headrooms)
            share.maxInterference =
                std::max(share.maxInterference, interferencePerCore(run.image, headroom.image));
        order.push_back(share);
    }
    // Sorts by value per added interference, or by value per core where nothing serves.
    std::ranges::stable_sort(order, [](const FillingShare &a, const FillingShare &b) {
        return a.run->weight * b.maxInterference > b.run->weight * a.maxInterference;
    });
    return order;
}

void PaceController::allocateCores(std::vector<FillingShare> &order,
                                   std::vector<ServingHeadroom> headrooms) const
{
    for (FillingShare &share : order) {
        share.cores = share.run->milliCores / MilliCoresPerCore;
        for (const ServingHeadroom &headroom : headrooms)
            share.cores =
                std::min(share.cores, headroom.latencyRatio
                                          / interferencePerCore(share.run->image, headroom.image));
        for (ServingHeadroom &headroom : headrooms) {
            const double added =
                share.cores * interferencePerCore(share.run->image, headroom.image);
            headroom.latencyRatio = std::max(0.0, headroom.latencyRatio - added);
        }
    }
}

std::vector<PaceOrder> PaceController::update(TimePoint now, const std::vector<PacedRun> &runs)
{
    updateOwnLoad(now, runs);
    std::vector<ServingHeadroom> headrooms = findHeadrooms(now, runs);
    std::vector<FillingShare> order = sortFilling(runs, headrooms);
    double maxUsefulGain = 1.0;
    for (const ServingHeadroom &headroom : headrooms) {
        double requested = 0;
        for (const FillingShare &share : order)
            requested += interferencePerCore(share.run->image, headroom.image)
                         * share.run->milliCores / MilliCoresPerCore;
        maxUsefulGain = std::max(maxUsefulGain, requested / headroom.latencyRatio);
    }
    if (headrooms.empty())
        gain_ = 1.0;
    else
        adjustGain(now, maxLatencyRatio(now, runs), maxUsefulGain);
    for (ServingHeadroom &headroom : headrooms)
        headroom.latencyRatio *= std::max(1.0, gain_);
    allocateCores(order, headrooms);
    if (gain_ < 1.0)
        reduceAllocation(order);
    return ordersFor(order);
}

void PaceController::reduceAllocation(std::vector<FillingShare> &order) const
{
    double allowed = 0;
    for (const FillingShare &share : order)
        allowed += share.cores * share.maxInterference;
    allowed *= gain_;
    for (FillingShare &share : order) {
        share.cores = std::min(share.cores, allowed / share.maxInterference);
        allowed = std::max(0.0, allowed - share.cores * share.maxInterference);
    }
}

std::vector<PaceOrder> PaceController::ordersFor(const std::vector<FillingShare> &order)
{
    std::map<RunKey, std::uint32_t> ordered;
    std::vector<PaceOrder> orders;
    double asked = 0;
    double allowed = 0;
    for (const FillingShare &given : order) {
        const PacedRun &run = *given.run;
        const double cores = run.milliCores / MilliCoresPerCore;
        const double part = cores > 0 ? given.cores / cores : 1.0;
        const double share = part < MinShare ? 0 : part;
        const auto wanted = static_cast<std::uint32_t>(std::lround(FullPercent * share));
        asked += cores;
        allowed += cores * share;
        const auto known = orderedPercents_.find(run.key);
        std::uint32_t current = known == orderedPercents_.end()
                                    ? static_cast<std::uint32_t>(FullPercent)
                                    : known->second;
        const std::uint32_t change = std::max(current, wanted) - std::min(current, wanted);
        if (change >= MinChangePercent || (change > 0 && (wanted == 0 || wanted == 100))) {
            orders.push_back({run.key, wanted});
            current = wanted;
        }
        ordered[run.key] = current;
    }
    orderedPercents_ = std::move(ordered);
    fillingPercent_ = static_cast<std::uint32_t>(FullPercent * (asked > 0 ? allowed / asked : 1.0));
    return orders;
}

} // namespace Oleander::Jobs
