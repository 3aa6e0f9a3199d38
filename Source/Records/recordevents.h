#pragma once

#include "Records/event.h"
#include "Records/record.h"

namespace Oleander::Records {

/** Returns "KIND/NAME", for example "batch/archive". */
std::string keyText(const RecordKey &key);

/** Returns the event for a created or amended record; \a record is the new state. */
EventDraft submittedEvent(const Record &record);

/** Returns the event for a withdrawn record; \a record is the new state. */
EventDraft withdrawnEvent(const Record &record);

} // namespace Oleander::Records
