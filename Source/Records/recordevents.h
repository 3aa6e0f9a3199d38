#pragma once

#include "Records/event.h"
#include "Records/record.h"

namespace Oleander::Records {

/** "batch/archive": how sentences name a record. */
std::string keyText(const RecordKey &key);

/** Event of a record that was created or amended; \a record is as it stands now. */
EventDraft submittedEvent(const Record &record);

/** Event of a record that was withdrawn; \a record is as it stands now. */
EventDraft withdrawnEvent(const Record &record);

} // namespace Oleander::Records
