#include "Jobs/workestimates.h"

#include <algorithm>
#include <cmath>

namespace Oleander::Jobs {

namespace {

constexpr double MilliCores = 1000.0;
/** Slope of the regression before any observation: the part of a deviation of the declared duration
 * that is assumed to be real. */
constexpr double AssumedSlope = 0.5;
/** Weight of the assumed values, as a sum of squares and as a number of steps. */
constexpr double AssumedSquares = 3.0;
constexpr double AssumedSteps = 1.0;
/** Weight of the latest run of a step; runs of one step differ by about a sixth. */
constexpr double LatestWeight = 0.2;
/** Range of the durations of a task. */
constexpr double MinDurationMs = 10.0;
constexpr double MaxDurationMs = 3'600'000.0;

} // namespace

std::int64_t criticalPathMs(const Job &job, const std::vector<double> &durations)
{
    std::vector<double> ends(job.steps.size(), 0);
    double longest = 0;
    for (std::uint32_t i = 0; i < job.steps.size(); ++i) {
        double start = 0;
        for (const std::uint32_t earlier : job.steps[i].dependsOn)
            start = std::max(start, ends[earlier]);
        ends[i] = start + durations[i];
        longest = std::max(longest, ends[i]);
    }
    return std::llround(longest);
}

double jobWork(const Job &job, const std::vector<double> &durations)
{
    double work = 0;
    for (std::uint32_t i = 0; i < job.steps.size(); ++i) {
        const StepSpec &step = job.steps[i];
        if (!step.longRunning)
            work += step.count * (step.milliCores / MilliCores) * durations[i];
    }
    return work;
}

double WorkEstimates::QueueDurations::predict(double declared) const
{
    if (seen == 0)
        return meanDeclared + AssumedSlope * (declared - meanDeclared);
    const double meanX = sumDeclared / seen;
    const double meanY = (AssumedSteps * meanDeclared + sumDuration) / (AssumedSteps + seen);
    const double squares = sumDeclaredSquares - seen * meanX * meanX;
    const double products = sumProducts - meanX * sumDuration;
    const double slope = (AssumedSquares * AssumedSlope + products) / (AssumedSquares + squares);
    return meanY + std::clamp(slope, 0.0, 1.0) * (declared - meanX);
}

void WorkEstimates::observe(const std::string &id, const Job &job, std::uint32_t step,
                            double durationMs)
{
    const double seen = std::log(std::clamp(durationMs, MinDurationMs, MaxDurationMs));
    const auto [known, first] = steps_[id].try_emplace(step, seen);
    const double before = first ? 0 : known->second;
    if (!first)
        known->second += LatestWeight * (seen - known->second);
    const std::uint32_t declaredMs = job.steps[step].estimateMs;
    if (declaredMs == 0)
        return;
    QueueDurations &queue = queues_[job.queue];
    const double declared = std::log(declaredMs);
    const double change = known->second - before;
    if (first) {
        queue.seen += 1;
        queue.sumDeclared += declared;
        queue.sumDeclaredSquares += declared * declared;
    }
    queue.sumDuration += change;
    queue.sumProducts += declared * change;
}

void WorkEstimates::refresh(const JobBook &book)
{
    std::erase_if(steps_, [&](const auto &item) { return book.find(item.first) == nullptr; });
    struct Sum
    {
        double declared = 0;
        double steps = 0;
        double work = 0;
        double jobs = 0;
    };
    std::map<std::string, Sum> sums;
    for (const auto &[id, job] : book.jobs()) {
        Sum &sum = sums[job.queue];
        for (const StepSpec &step : job.steps) {
            if (step.longRunning || step.estimateMs == 0)
                continue;
            sum.declared += std::log(step.estimateMs);
            sum.steps += 1;
        }
        sum.work += jobWork(job, taskDurations(id, job));
        sum.jobs += 1;
    }
    for (const auto &[name, sum] : sums) {
        QueueDurations &queue = queues_[name];
        queue.meanDeclared = sum.steps > 0 ? sum.declared / sum.steps : 0;
        queue.meanWork = sum.work / sum.jobs;
    }
    std::erase_if(queues_, [&](const auto &item) { return book.queue(item.first) == nullptr; });
}

std::vector<double> WorkEstimates::taskDurations(const std::string &id, const Job &job) const
{
    const auto seen = steps_.find(id);
    const auto queue = queues_.find(job.queue);
    const bool known = queue != queues_.end() && queue->second.meanDeclared != 0;
    std::vector<double> durations;
    durations.reserve(job.steps.size());
    for (std::uint32_t i = 0; i < job.steps.size(); ++i) {
        const double declared = job.steps[i].estimateMs;
        if (seen != steps_.end()) {
            const auto measured = seen->second.find(i);
            if (measured != seen->second.end()) {
                durations.push_back(std::exp(measured->second));
                continue;
            }
        }
        if (declared == 0 || !known) {
            durations.push_back(declared);
            continue;
        }
        const double expected = std::exp(queue->second.predict(std::log(declared)));
        durations.push_back(std::clamp(expected, MinDurationMs, MaxDurationMs));
    }
    return durations;
}

double WorkEstimates::taskDurationMs(const std::string &id, const Job &job,
                                     std::uint32_t step) const
{
    return taskDurations(id, job).at(step);
}

double WorkEstimates::meanWork(const std::string &queue) const
{
    const auto found = queues_.find(queue);
    return found == queues_.end() ? 0 : found->second.meanWork;
}

} // namespace Oleander::Jobs
