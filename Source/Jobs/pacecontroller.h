#pragma once

#include "Base/clock.h"
#include "Jobs/jobbook.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Oleander::Jobs {

/** What an agent knows of one run on its minion that matters for pacing. */
struct PacedRun
{
    RunKey key;
    bool filling = false;
    /** What a filling run runs; runs of one image press alike. */
    std::string image;
    /** Processor time that a filling run asks for. */
    std::uint32_t milliCores = 0;
    /** Bound of the tail latency; 0 for a run that does not serve. */
    std::uint32_t targetLatencyMs = 0;
    /** Latest tail latency of a serving run, or the milli-cores in use of a filling one. */
    std::uint32_t figure = 0;
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
 * lasting tasks beside them, by amounts that differ by image and change within seconds. It learns
 * how much each image presses and slows the images that press most; whatever the model says, the
 * share of all falls at once when a bound is near.
 */
class PaceController
{
public:
    /** Returns the orders that \a runs need after the report of \a now. */
    std::vector<PaceOrder> update(TimePoint now, const std::vector<PacedRun> &runs);
    /** The order for \a key did not arrive and is due again. */
    void orderFailed(const RunKey &key) { ordered_.erase(key); }
    /** Share of the processor time asked for that the filling runs may use, in percent. */
    std::uint32_t percent() const { return percent_; }

private:
    void learn(const std::vector<PacedRun> &runs, double pressure);
    void adjust(TimePoint now, double pressure);
    /** Share of each image that the model allows. */
    std::map<std::string, double> modelShares(const std::vector<PacedRun> &runs) const;

    /** Pressure that the serving runs show without filling ones, in parts of the bound. */
    double base_ = 0.3;
    /** Pressure that ten cores of each image add. */
    std::map<std::string, double> weights_;
    /** Share that every image gets of what the model allows. */
    double gain_ = 1.0;
    TimePoint changedAt_{};
    std::uint32_t percent_ = 100;
    /** Share last ordered for each run; a run works at its full share when it starts. */
    std::map<RunKey, std::uint32_t> ordered_;
};

} // namespace Oleander::Jobs
