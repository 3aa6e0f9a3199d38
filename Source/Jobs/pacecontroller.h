#pragma once

#include "Base/clock.h"
#include "Jobs/jobbook.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Oleander::Jobs {

/** Properties of one run on a minion that matter for pacing. */
struct PacedRun
{
    RunKey key;
    bool filling = false;
    /** Image of the run; runs of one image are assumed to behave alike. */
    std::string image;
    /** Processor time that a filling run requests. */
    std::uint32_t milliCores = 0;
    /** Target for the tail latency in milliseconds; 0 for a run that does not serve requests. */
    std::uint32_t targetLatencyMs = 0;
    /** Latest tail latency of a serving run in milliseconds, or the milli-cores in use by a filling
     * run. */
    std::uint32_t measurement = 0;
    /** Weight of the job of a filling run; see JobWeight. */
    double weight = 1;
};

/** Share of its requested processor time that a filling run may use from now on. */
struct PaceOrder
{
    RunKey key;
    std::uint32_t percent = 0;
};

/**
 * \class PaceController
 * \brief Throttles the filling runs of one minion while a serving run there is near its latency
 * target.
 *
 * Filling tasks use all idle processor time and raise the tail latency of the long-running tasks on
 * the same minion, by an amount that depends on the images and changes within seconds. The
 * interference that the latency targets permit is allocated by the weight of the jobs and by the
 * interference that the leader learned for the pairs of images. An equal share for every run would
 * make all of their jobs late. Independently of the learned values, the permitted interference is
 * cut at once when a serving run is near its target.
 */
class PaceController
{
public:
    /** Returns the changed shares of the filling runs after a report at \a now. */
    std::vector<PaceOrder> update(TimePoint now, const std::vector<PacedRun> &runs);
    /** Records that the order for \a key was not delivered, so that it is sent again. */
    void orderFailed(const RunKey &key) { orderedPercents_.erase(key); }
    /** Share of the requested processor time that the filling runs may use, in percent. */
    std::uint32_t fillingPercent() const { return fillingPercent_; }

    /** Stores the interference that the leader learned for a pair of images. */
    void learn(const ImageInterference &pair)
    {
        interferencePerCore_[{pair.filling, pair.serving}] = pair.pressurePerCore;
    }

private:
    /** Increase of the latency ratio that filling runs may cause in a serving run of \a image. */
    struct ServingHeadroom
    {
        std::string image;
        double latencyRatio = 0;
    };
    /** A filling run and the cores that it may use. */
    struct FillingShare
    {
        const PacedRun *run = nullptr;
        /** Largest increase of the latency ratio of any serving run per core of this run. */
        double maxInterference = 0;
        double cores = 0;
    };

    /** Updates the serving runs that exceed their target although the filling runs are idle. */
    void updateOwnLoad(TimePoint now, const std::vector<PacedRun> &runs);
    /** True if \a run serves requests and its latency is not explained by its own load. */
    bool isConsidered(TimePoint now, const PacedRun &run) const;
    double maxLatencyRatio(TimePoint now, const std::vector<PacedRun> &runs) const;
    /** Adjusts the gain; a value beyond \a maxUsefulGain would not change any share. */
    void adjustGain(TimePoint now, double latencyRatio, double maxUsefulGain);
    /** Returns the headroom of each serving run that is considered. */
    std::vector<ServingHeadroom> findHeadrooms(TimePoint now,
                                               const std::vector<PacedRun> &runs) const;
    /** Returns the filling runs of \a runs in the order in which they are allocated cores. */
    std::vector<FillingShare> sortFilling(const std::vector<PacedRun> &runs,
                                          const std::vector<ServingHeadroom> &headrooms) const;
    /** Allocates cores to each run of \a order within \a headrooms. */
    void allocateCores(std::vector<FillingShare> &order,
                       std::vector<ServingHeadroom> headrooms) const;
    /** Reduces the allocation for a gain below one, starting with the last runs of \a order. */
    void reduceAllocation(std::vector<FillingShare> &order) const;
    std::vector<PaceOrder> ordersFor(const std::vector<FillingShare> &order);
    double interferencePerCore(const std::string &filling, const std::string &serving) const;

    std::map<std::pair<std::string, std::string>, double> interferencePerCore_;
    /** Multiple of the interference that the learned values permit. */
    double gain_ = 1.0;
    TimePoint gainChangedAt_{};
    /** Time since which a serving run has exceeded its target without interruption. */
    std::optional<TimePoint> overTargetSince_;
    /** Time since which the filling runs have used almost no processor time. */
    std::optional<TimePoint> fillingIdleSince_;
    /** Serving runs that exceed their target because of their own load, with the time until which
     * they are ignored. */
    std::map<RunKey, TimePoint> ownLoadUntil_;
    std::uint32_t fillingPercent_ = 100;
    /** Share last ordered for each run, in percent; a new run starts at its full share. */
    std::map<RunKey, std::uint32_t> orderedPercents_;
};

} // namespace Oleander::Jobs
