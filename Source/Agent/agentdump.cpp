#include "Agent/agentdump.h"

namespace Oleander {

namespace {

using Rows = std::vector<DumpRow>;

Rows leaseRows(const WorkerTask &worker)
{
    return {{"lease",
             {{"held", worker.holdsLease()},
              {"leader", worker.leader()},
              {"worker_answers", worker.isReady()}}}};
}

Rows attemptRows(const WorkerTask &worker)
{
    Rows rows;
    for (const auto &report : worker.attempts()) {
        rows.push_back({report.task,
                        {{"attempt", report.attempt},
                         {"state", static_cast<int>(report.state)},
                         {"checkpoint", report.checkpoint},
                         {"reason", report.reason}}});
    }
    return rows;
}

Rows requestRows(const RequestTask &requests)
{
    const auto &counters = requests.counters();
    return {{"admission",
             {{"running", requests.running()},
              {"admitted", counters.admitted},
              {"refused", counters.refused},
              {"duplicates", counters.duplicates},
              {"cancelled", counters.cancelled}}}};
}

} // namespace

AgentDump::AgentDump(const RequestTask &requests, const WorkerTask &worker)
    : lease_("lease", [&worker] { return leaseRows(worker); })
    , attempts_("attempts", [&worker] { return attemptRows(worker); })
    , requests_("requests", [&requests] { return requestRows(requests); })
{}

} // namespace Oleander
