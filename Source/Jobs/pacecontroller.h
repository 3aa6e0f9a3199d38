#pragma once

#include "Base/clock.h"
#include "Jobs/jobbook.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Oleander::Jobs {

/** What an agent knows of one run on its minion that matters for pacing. */
struct PacedRun
{
    RunKey key;
    bool filling = false;
    /** What the run runs; runs of one image behave alike. */
    std::string image;
    /** Processor time that a filling run asks for. */
    std::uint32_t milliCores = 0;
    /** Bound of the tail latency; 0 for a run that does not serve. */
    std::uint32_t targetLatencyMs = 0;
    /** Latest tail latency of a serving run, or the milli-cores in use of a filling one. */
    std::uint32_t measurement = 0;
    /** See JobWeight; for a filling run. */
    double weight = 1;
};

/** The share at which a filling run shall work from now on. */
struct PaceOrder
{
    RunKey key;
    std::uint32_t percent = 0;
};

/**
 * \class PaceController
 * \brief Slows the filling runs of one minion while a serving one beside them is near its bound.
 *
 * Load it answers: filling tasks take all time that is left and stretch the tail latency of the
 * lasting tasks beside them, by amounts that differ by image and change within seconds. What may be
 * pressed goes to the runs that earn most for it: by the weight of their
 * job and by what the leader learned of the pairs of images. Shared out evenly, every run would end
 * late. Whatever the pairs say, the pressure that is allowed falls at once when a bound is near.
 */
class PaceController
{
public:
    /** Returns the orders that \a runs need after the report of \a now. */
    std::vector<PaceOrder> update(TimePoint now, const std::vector<PacedRun> &runs);
    /** The order for \a key did not arrive and is due again. */
    void orderFailed(const RunKey &key) { orderedPercents_.erase(key); }
    /** Share of the processor time asked for that the filling runs may use, in percent. */
    std::uint32_t fillingPercent() const { return fillingPercent_; }

    /** Takes what the leader learned of a pair of images. */
    void learn(const ImagePress &pair)
    {
        interferencePerCore_[{pair.filling, pair.serving}] = pair.press;
    }

private:
    /** Pressure that filling runs may add to a serving run of \a image. */
    struct ServingHeadroom
    {
        std::string image;
        double latencyRatio = 0;
    };
    /** A filling run and what it may use. */
    struct FillingShare
    {
        const PacedRun *run = nullptr;
        /** Pressure that a core of it adds to the serving run that it presses on most. */
        double maxInterference = 0;
        double cores = 0;
    };

    /** Serving runs that are over their bound although the filling ones stand. */
    void updateOwnLoad(TimePoint now, const std::vector<PacedRun> &runs);
    bool isConsidered(TimePoint now, const PacedRun &run) const;
    double maxLatencyRatio(TimePoint now, const std::vector<PacedRun> &runs) const;
    /** Adapts the gain; one beyond \a maxUsefulGain would have no effect on any run. */
    void adjustGain(TimePoint now, double latencyRatio, double maxUsefulGain);
    /** Pressure that may be added to each serving run that counts. */
    std::vector<ServingHeadroom> findHeadrooms(TimePoint now,
                                               const std::vector<PacedRun> &runs) const;
    /** The filling runs of \a runs in the order in which they get time. */
    std::vector<FillingShare> sortFilling(const std::vector<PacedRun> &runs,
                                          const std::vector<ServingHeadroom> &headrooms) const;
    /** Gives each of \a order the cores that \a rooms leave. */
    void allocateCores(std::vector<FillingShare> &order,
                       std::vector<ServingHeadroom> headrooms) const;
    /** Takes from the last of \a order what a gain below one leaves out. */
    void reduceAllocation(std::vector<FillingShare> &order) const;
    std::vector<PaceOrder> ordersFor(const std::vector<FillingShare> &order);
    double interferencePerCore(const std::string &filling, const std::string &serving) const;

    std::map<std::pair<std::string, std::string>, double> interferencePerCore_;
    /** Part of the pressure that the pairs allow which is given out. */
    double gain_ = 1.0;
    TimePoint gainChangedAt_{};
    /** Since when a serving run is over its bound without a break. */
    std::optional<TimePoint> overTargetSince_;
    /** Since when the filling runs use next to nothing. */
    std::optional<TimePoint> fillingIdleSince_;
    /** Until when each run that is over its bound by its own load does not count. */
    std::map<RunKey, TimePoint> ownLoadUntil_;
    std::uint32_t fillingPercent_ = 100;
    /** Share last ordered for each run; a run works at its full share when it starts. */
    std::map<RunKey, std::uint32_t> orderedPercents_;
};

} // namespace Oleander::Jobs
