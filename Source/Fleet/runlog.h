#pragma once

#include "Jobs/jobbook.h"
#include "Runtime/log.h"

#include <string_view>

namespace Oleander::Fleet {

/** Logs \a event about the run \a key on the minion \a minion, with the additional fields \a more.
 */
void logRunEvent(LogEvent event, Step step, std::string_view minion, const Jobs::RunKey &key,
                 LogFields more = {});

} // namespace Oleander::Fleet
