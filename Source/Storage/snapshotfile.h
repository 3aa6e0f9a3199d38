#pragma once

#include "Base/error.h"
#include "Control/logentry.h"

#include <string>

namespace Oleander {

/** Returns the file name of the snapshot at \a index. */
std::string snapshotFileName(std::uint64_t index);

/** Atomically writes \a snapshot: syncs a temporary file, renames it and syncs the folder. */
Result<void> writeSnapshotFile(const std::string &folder, const Snapshot &snapshot);

/** Reads and validates a snapshot; if it is damaged, the error names the file and the offset. */
Result<Snapshot> readSnapshotFile(const std::string &path);

} // namespace Oleander
