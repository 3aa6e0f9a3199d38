#pragma once

#include "Runtime/eventloop.h"
#include "Storage/datafolder.h"

#include <functional>
#include <memory>

namespace Oleander {

/** What a StorageWriter tells its owner; called on the loop's thread. */
struct StorageEvents
{
    /** Every write up to this sequence is synced. */
    std::function<void(std::uint64_t)> synced;
    /** The snapshot at this index is safe; 0 when it could not be saved. */
    std::function<void(std::uint64_t)> snapshotSaved;
    /** Writes wait for space and are tried again. */
    std::function<void(const Error &)> stalled;
    /** Writes go on after a stall. */
    std::function<void()> resumed;
    /** The folder failed for good; nothing is written any more. */
    std::function<void(const Error &)> failed;
};

/**
 * \class StorageWriter
 * \brief Writes to a data folder on threads of its own, so that no sync holds up the loop.
 *
 * All writes that wait while one sync runs go out together with the next one. Snapshots have a
 * second thread, so that a large one does not hold up the log.
 */
class StorageWriter
{
public:
    StorageWriter(EventLoop &loop, DataFolder folder, StorageEvents events);
    /** Writes what still waits, unless the disk is full, and ends the threads. */
    ~StorageWriter();
    StorageWriter(const StorageWriter &) = delete;
    StorageWriter &operator=(const StorageWriter &) = delete;

    void write(WriteBatch batch);
    void saveSnapshot(Snapshot snapshot);

private:
    struct Private;
    std::shared_ptr<Private> private_;
};

} // namespace Oleander
