#pragma once

#include "Jobs/jobbook.h"
#include "Jobs/machinetable.h"
#include "Jobs/workestimates.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Oleander::Jobs {

/** Expected durations of a run or of a task. */
struct ExpectedTime
{
    /** From the start of the run to its end. */
    Duration whole{};
    /** From now to its end. */
    Duration remaining{};
    /** True if the time follows from the progress of the run, false if from an estimate. */
    bool isMeasured = false;
};

/**
 * \class RunForecast
 * \brief Predicts when active runs end, from their progress and the estimated durations.
 */
class RunForecast
{
public:
    RunForecast(const JobBook &book, const MachineTable &machines, const WorkEstimates &estimates)
        : book_(book), machines_(machines), estimates_(estimates)
    {}

    /** Returns the expected time of the active run \a key at the calendar time \a nowMs. Empty if
     * the run has no end of its own or no estimate. */
    std::optional<ExpectedTime> expect(const RunKey &key, std::int64_t nowMs) const;
    /** Returns the expected durations of the tasks of the job \a id that have not started, by step;
     * empty ones as for expect(). */
    std::vector<std::optional<Duration>> taskDurations(const std::string &id, const Job &job) const;

private:
    const JobBook &book_;
    const MachineTable &machines_;
    const WorkEstimates &estimates_;
};

} // namespace Oleander::Jobs
