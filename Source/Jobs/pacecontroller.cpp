#include "Jobs/pacecontroller.h"

#include "Jobs/interferencetable.h"

#include <algorithm>
#include <cmath>

namespace Oleander::Jobs {

namespace {

constexpr double FullPercent = 100.0;
constexpr double MilliCoresPerCore = 1000.0;
/** Pressure, in parts of the bound, that the shares aim at: near it, and under it at a swing of the
 * load. */
constexpr double AimedPressure = 0.85;
/** Pressure at which the share of all falls. */
constexpr double SlowAbove = 0.95;
/** Pressure under which the share of all rises. */
constexpr double RaiseBelow = 0.85;
/** Pressure of a serving run that its own load or a slow minion explains. */
constexpr double OwnPressure = 1.2;
/** Filling runs that use less than this press on nothing. */
constexpr double IdleCores = 0.5;
/** Time for which the filling runs have to stand until a run over its bound shows its own load: the
 * figures cover half a second, and the tail latency falls for about as long. */
constexpr Duration StandingTime = std::chrono::milliseconds(1'200);
/** Time for which such a run does not count. With the longest time over a bound it stays under the
 * 4 s that the platform minds, in case that the filling runs have become the cause. */
constexpr Duration OwnLoadFor = std::chrono::milliseconds(1'500);
/** Smallest share that is worth a call; below it a run stands. */
constexpr double LeastShare = 0.04;
constexpr double Cut = 0.5;
/** Gain up to which the shares may pass what is known of the pairs while the services have slack.
 */
constexpr double MostGain = 8.0;
/** Time over the bound after which all filling runs stand; with half a second that a reading covers
 * and the way of the order it stays under the 4 s that the platform minds. */
constexpr Duration LongestOver = std::chrono::milliseconds(1'600);
constexpr double RaiseFactor = 1.5;
constexpr double RaiseStep = 0.1;
/** Time for a change to show in the reports, which cover half a second. */
constexpr Duration SettleTime = std::chrono::milliseconds(500);
/** Pressure that filling runs may always add by what is known of the pairs. */
constexpr double LeastRoom = 0.05;
/** Changes of the share below this are not worth a call. */
constexpr std::uint32_t LeastChangePercent = 4;

double pressureOf(const PacedRun &run)
{
    return static_cast<double>(run.figure) / run.targetLatencyMs;
}

} // namespace

double PaceController::worstPressure(TimePoint now, const std::vector<PacedRun> &runs) const
{
    double worst = 0;
    for (const PacedRun &run : runs) {
        if (counts(now, run))
            worst = std::max(worst, pressureOf(run));
    }
    return worst;
}

bool PaceController::counts(TimePoint now, const PacedRun &run) const
{
    const auto own = ownLoadUntil_.find(run.key);
    return run.targetLatencyMs > 0 && (own == ownLoadUntil_.end() || now >= own->second);
}

void PaceController::findOwnLoad(TimePoint now, const std::vector<PacedRun> &runs)
{
    double cores = 0;
    std::map<RunKey, TimePoint> kept;
    for (const PacedRun &run : runs) {
        if (run.filling)
            cores += run.figure / MilliCoresPerCore;
    }
    if (cores >= IdleCores)
        standingSince_.reset();
    else if (!standingSince_)
        standingSince_ = now;
    const bool stood = standingSince_ && now >= *standingSince_ + StandingTime;
    for (const PacedRun &run : runs) {
        const auto own = ownLoadUntil_.find(run.key);
        if (run.targetLatencyMs == 0)
            continue;
        if (stood && pressureOf(run) > OwnPressure)
            kept[run.key] = now + OwnLoadFor;
        else if (own != ownLoadUntil_.end() && now < own->second && pressureOf(run) > RaiseBelow)
            kept[run.key] = own->second;
    }
    ownLoadUntil_ = std::move(kept);
}

double PaceController::press(const std::string &filling, const std::string &serving) const
{
    const auto known = press_.find({filling, serving});
    return known == press_.end() ? UnknownPress : std::max(LeastPress, known->second);
}

void PaceController::adjust(TimePoint now, double pressure, double mostUseful)
{
    if (pressure <= 1.0)
        overSince_.reset();
    else if (!overSince_)
        overSince_ = now;
    if (overSince_ && now > *overSince_ + LongestOver) {
        gain_ = 0;
        changedAt_ = now;
        return;
    }
    if (now < changedAt_ + SettleTime)
        return;
    const double before = gain_;
    if (pressure > SlowAbove) {
        const double effective = std::min(gain_, mostUseful);
        gain_ = effective * Cut < LeastShare ? 0 : effective * Cut;
    } else if (pressure < RaiseBelow) {
        gain_ = std::min(MostGain, gain_ * RaiseFactor + RaiseStep);
    }
    if (gain_ != before)
        changedAt_ = now;
}

std::vector<PaceController::ServingRoom>
PaceController::findRooms(TimePoint now, const std::vector<PacedRun> &runs) const
{
    std::map<std::string, double> used;
    for (const PacedRun &run : runs) {
        if (run.filling)
            used[run.image] += run.figure / MilliCoresPerCore;
    }
    // Room of each serving run beside what it would show without the filling ones. Where that alone
    // takes it over the aim, the filling ones are not what disturbs it, or the pairs are not known
    // well: then they are slowed by steps only.
    std::vector<ServingRoom> rooms;
    for (const PacedRun &run : runs) {
        if (!counts(now, run))
            continue;
        double pressed = 0;
        for (const auto &[image, cores] : used)
            pressed += press(image, run.image) * cores;
        const double base = std::max(LeastOwnPressure, pressureOf(run) - pressed);
        rooms.push_back({run.image, std::max({AimedPressure - base, Cut * pressed, LeastRoom})});
    }
    return rooms;
}

std::vector<PaceController::FillingShare>
PaceController::orderFilling(const std::vector<PacedRun> &runs,
                             const std::vector<ServingRoom> &rooms) const
{
    std::vector<FillingShare> order;
    for (const PacedRun &run : runs) {
        if (!run.filling)
            continue;
        FillingShare share{&run, LeastPress, 0};
        for (const ServingRoom &room : rooms)
            share.heaviestPress = std::max(share.heaviestPress, press(run.image, room.image));
        order.push_back(share);
    }
    // What a run earns for the pressure that it adds, or for its time where nothing serves.
    std::ranges::stable_sort(order, [](const FillingShare &a, const FillingShare &b) {
        return a.run->weight * b.heaviestPress > b.run->weight * a.heaviestPress;
    });
    return order;
}

void PaceController::shareOut(std::vector<FillingShare> &order,
                              std::vector<ServingRoom> rooms) const
{
    for (FillingShare &share : order) {
        share.cores = share.run->milliCores / MilliCoresPerCore;
        for (const ServingRoom &room : rooms)
            share.cores =
                std::min(share.cores, room.pressure / press(share.run->image, room.image));
        for (ServingRoom &room : rooms) {
            const double pressed = share.cores * press(share.run->image, room.image);
            room.pressure = std::max(0.0, room.pressure - pressed);
        }
    }
}

std::vector<PaceOrder> PaceController::update(TimePoint now, const std::vector<PacedRun> &runs)
{
    findOwnLoad(now, runs);
    std::vector<ServingRoom> rooms = findRooms(now, runs);
    std::vector<FillingShare> order = orderFilling(runs, rooms);
    double mostUseful = 1.0;
    for (const ServingRoom &room : rooms) {
        double needed = 0;
        for (const FillingShare &share : order)
            needed +=
                press(share.run->image, room.image) * share.run->milliCores / MilliCoresPerCore;
        mostUseful = std::max(mostUseful, needed / room.pressure);
    }
    if (rooms.empty())
        gain_ = 1.0;
    else
        adjust(now, worstPressure(now, runs), mostUseful);
    for (ServingRoom &room : rooms)
        room.pressure *= std::max(1.0, gain_);
    shareOut(order, rooms);
    if (gain_ < 1.0)
        cutPressure(order);
    return ordersFor(order);
}

void PaceController::cutPressure(std::vector<FillingShare> &order) const
{
    double pressure = 0;
    for (const FillingShare &share : order)
        pressure += share.cores * share.heaviestPress;
    pressure *= gain_;
    for (FillingShare &share : order) {
        share.cores = std::min(share.cores, pressure / share.heaviestPress);
        pressure = std::max(0.0, pressure - share.cores * share.heaviestPress);
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
        const double share = part < LeastShare ? 0 : part;
        const auto wanted = static_cast<std::uint32_t>(std::lround(FullPercent * share));
        asked += cores;
        allowed += cores * share;
        const auto known = ordered_.find(run.key);
        std::uint32_t current =
            known == ordered_.end() ? static_cast<std::uint32_t>(FullPercent) : known->second;
        const std::uint32_t change = std::max(current, wanted) - std::min(current, wanted);
        if (change >= LeastChangePercent || (change > 0 && (wanted == 0 || wanted == 100))) {
            orders.push_back({run.key, wanted});
            current = wanted;
        }
        ordered[run.key] = current;
    }
    ordered_ = std::move(ordered);
    percent_ = static_cast<std::uint32_t>(FullPercent * (asked > 0 ? allowed / asked : 1.0));
    return orders;
}

} // namespace Oleander::Jobs
