#pragma once

#include "Jobs/jobbook.h"
#include "Jobs/machinetable.h"

#include <optional>

namespace Oleander::Jobs {

/**
 * Estimates the latency ratio that the task \a ref of a service has by its own load.
 *
 * The tasks of a step serve the same users, so their load rises and falls together within seconds,
 * while filling tasks disturb only the tasks on their own minions. The tasks with low latency
 * therefore show the load of all. Empty if too few of them report.
 */
std::optional<double> ownLatencyRatio(const TaskRef &ref, const JobBook &book,
                                      const MachineTable &machines);

} // namespace Oleander::Jobs
