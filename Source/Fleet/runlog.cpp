#include "Fleet/runlog.h"

#include <vector>

namespace Oleander::Fleet {

void logRunEvent(LogEvent event, Step step, std::string_view minion, const Jobs::RunKey &key,
                 LogFields more)
{
    const auto &[task, run] = key;
    std::vector<LogField> fields = {
        {"job", task.job}, {"step", task.step}, {"index", task.index}, {"run", run}};
    fields.insert(fields.end(), more.begin(), more.end());
    processLog().write(event, step, minion, fields);
}

} // namespace Oleander::Fleet
