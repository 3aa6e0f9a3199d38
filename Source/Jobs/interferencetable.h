#pragma once

#include "Protocol/jobmessages.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Oleander::Jobs {

/** Interference assumed for a pair of images without observations: an increase by half of the
 * latency target if the image uses half of a machine. */
constexpr double DefaultInterference = 0.015;
/** Lower limit of the interference of a pair; keeps it positive, so that pairs can be compared by
 * ratio. */
constexpr double MinInterference = 0.0005;
/** Lower limit of the latency ratio that a serving task is assumed to have without filling tasks.
 */
constexpr double MinBaseLatencyRatio = 0.15;

/** Latency of one serving task in a report. */
struct ServingSample
{
    std::string image;
    /** Latency ratio: the tail latency divided by the latency target. */
    double latencyRatio = 0;
    /** Estimated ratio without filling tasks at the same time; empty if unknown. */
    std::optional<double> ownLatencyRatio;
};

/** Cores that filling tasks use or request, by image. */
using FillingCores = std::map<std::string, double>;

/**
 * \class InterferenceTable
 * \brief Learns how much one core of each filling image raises the tail latency of each serving
 * image.
 *
 * Filling tasks are best-effort tasks that use the processor time which other tasks leave. Some
 * pairs of images interfere even at a small share of a machine, others not at all, and only reports
 * of minions that run both images show which. Recent reports have more weight than older ones.
 */
class InterferenceTable
{
public:
    /** Updates the estimates with one report of a minion. */
    void observe(const std::vector<ServingSample> &serving, const FillingCores &used);
    /** Returns how many cores of \a image can be added before a task of \a serving reaches the
     * placement limit. The samples hold latency ratios without filling tasks; \a present is the
     * use of the filling tasks that are already on the minion. */
    double availableCores(const std::string &image, const std::vector<ServingSample> &serving,
                          const FillingCores &present) const;
    /** Returns how many cores of \a image one task may use beside \a serving. A strongly
     * interfering task would take the headroom that several others could use. Pairs without
     * observations are not limited; otherwise a large task would never be observed. */
    double maxTaskCores(const std::string &image, const std::vector<ServingSample> &serving) const;
    /** Estimates the latency ratio of \a sample without the filling tasks that use \a used. */
    double latencyRatioWithoutFilling(const ServingSample &sample, const FillingCores &used) const;
    /** Increase of the latency ratio of \a serving per core of \a filling. */
    double interferencePerCore(const std::string &filling, const std::string &serving) const;
    /** True if a report has shown \a filling at work beside \a serving, or the value of the pair
     * was imported. */
    bool isObserved(const std::string &filling, const std::string &serving) const
    {
        return interferencePerCore_.contains({filling, serving});
    }
    /** Latency ratio of \a serving without filling tasks. */
    double baseLatencyRatio(const std::string &serving) const;
    /** Returns all learned values in the form that importLearned() accepts. */
    LearnedInterference exportLearned() const;
    /** Overwrites the values of the images in \a learned, which another table exported. */
    void importLearned(const LearnedInterference &learned);

private:
    std::map<std::pair<std::string, std::string>, double> interferencePerCore_;
    std::map<std::string, double> baseLatencyRatios_;
};

} // namespace Oleander::Jobs
