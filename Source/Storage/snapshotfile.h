#pragma once

#include "Base/error.h"
#include "Control/logentry.h"

#include <string>

namespace Oleander {

/** Name of the snapshot file for \a index within its folder. */
std::string snapshotFileName(std::uint64_t index);

/** Writes \a snapshot under a temporary name, syncs it, renames it, and syncs the folder. */
Result<void> writeSnapshotFile(const std::string &folder, const Snapshot &snapshot);

/** Reads and checks a snapshot; damage is an error that names the file and the offset. */
Result<Snapshot> readSnapshotFile(const std::string &path);

} // namespace Oleander
