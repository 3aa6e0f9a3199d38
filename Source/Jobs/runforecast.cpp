#include "Jobs/runforecast.h"

#include <algorithm>

namespace Oleander::Jobs {

namespace {

/** Progress in percent from which the pace of a run predicts its end. Percentages are whole
 * numbers, so the error of the pace is at most a tenth. */
constexpr std::uint32_t MinPacePercent = 10;
constexpr double WholePercent = 100.0;
/** Remaining time of a run that has exceeded its estimate, as a fraction of its elapsed time. The
 * longer such a run lasts, the longer it is likely to last. */
constexpr double OverdueFraction = 0.25;
/** Time that a stop takes at most. */
constexpr Duration StopTime = std::chrono::milliseconds(900);

Duration milliseconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(count));
}

} // namespace

std::optional<ExpectedTime> RunForecast::expect(const RunKey &key, std::int64_t nowMs) const
{
    const auto &[ref, number] = key;
    const ActiveRun *run = book_.activeRun(key);
    const Job &job = *book_.find(ref.job);
    const Task &task = job.tasks[ref.step][ref.index];
    const double elapsed = static_cast<double>(std::max<std::int64_t>(0, nowMs - run->startedAtMs));
    if (job.hasEnded() || task.done)
        return ExpectedTime{milliseconds(elapsed) + StopTime, StopTime};
    if (job.steps[ref.step].longRunning)
        return std::nullopt;
    const RunView *view = machines_.findRun(run->minion, key);
    const std::uint32_t percent = view == nullptr ? 0 : view->percent;
    const double done = std::min(percent / WholePercent, 1.0);
    // A run that continues from a checkpoint has not made all of its progress in its own time.
    const bool isMeasured = task.checkpoint.empty() && percent >= MinPacePercent;
    double remaining = 0;
    if (isMeasured) {
        remaining = elapsed * (1.0 - done) / done;
    } else {
        const double whole = estimates_.taskDurationMs(ref.job, job, ref.step);
        if (whole == 0)
            return std::nullopt;
        remaining = task.checkpoint.empty() ? std::max(whole - elapsed, OverdueFraction * elapsed)
                                            : whole * (1.0 - done);
    }
    return ExpectedTime{milliseconds(elapsed + remaining), milliseconds(remaining), isMeasured};
}

std::vector<std::optional<Duration>> RunForecast::taskDurations(const std::string &id,
                                                                const Job &job) const
{
    std::vector<std::optional<Duration>> durations(job.steps.size());
    const std::vector<double> expectedMs = estimates_.taskDurations(id, job);
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
        if (!job.steps[step].longRunning && expectedMs[step] > 0)
            durations[step] = milliseconds(expectedMs[step]);
    }
    return durations;
}

} // namespace Oleander::Jobs
