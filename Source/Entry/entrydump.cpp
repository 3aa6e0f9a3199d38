#include "Entry/entrydump.h"

#include <map>

namespace Oleander {

namespace {

using Rows = std::vector<DumpRow>;

std::string sizeText(const Resources &size)
{
    return fmt::format("{}m/{}MiB/{}", size.milliCores, size.memoryMiB, size.accelerators);
}

Rows configurationRows(const State::ControlState &state)
{
    Rows rows = {{"configuration",
                  {{"version", state.configuration().version},
                   {"confirmed", state.confirmedConfiguration()}}}};
    for (const auto &[name, value] : state.configuration().values)
        rows.push_back({name, {{"value", value}}});
    return rows;
}

Rows recordRows(const State::ControlState &state)
{
    return {{"records",
             {{"count", state.records().records().size()},
              {"events", state.events().size()},
              {"claims", state.claims().size()}}}};
}

Rows taskRows(const State::ControlState &state)
{
    std::map<std::string_view, std::size_t> counts;
    for (const auto &[id, task] : state.tasks().tasks())
        ++counts[nameIn(Placement::TaskStateNames, task.state)];
    DumpRow row{"tasks", {}};
    for (const auto &[name, count] : counts)
        row.fields.emplace_back(std::string(name), count);
    return {row};
}

Rows ledgerRows(const State::ControlState &state)
{
    const auto &ledger = state.tasks().ledger();
    Rows rows;
    for (const auto &[name, worker] : state.tasks().workers()) {
        rows.push_back({name,
                        {{"health", nameIn(Placement::WorkerHealthNames, worker.health)},
                         {"lost", worker.lost},
                         {"session", worker.session},
                         {"lease_ms", worker.lease.count() / 1000},
                         {"capacity", sizeText(worker.capacity)},
                         {"committed", sizeText(ledger.committed(name))},
                         {"attempts", ledger.commitments(name).size()},
                         {"drain", worker.drain}}});
    }
    return rows;
}

} // namespace

EntryDump::EntryDump(const State::ControlState &state)
    : configuration_("configuration", [&state] { return configurationRows(state); })
    , records_("records", [&state] { return recordRows(state); })
    , tasks_("tasks", [&state] { return taskRows(state); })
    , ledger_("ledger", [&state] { return ledgerRows(state); })
{}

} // namespace Oleander
