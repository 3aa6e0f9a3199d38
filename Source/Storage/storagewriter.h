#pragma once

#include "Runtime/eventloop.h"
#include "Storage/datafolder.h"

#include <functional>
#include <memory>

namespace Oleander {

/** Callbacks of a StorageWriter, invoked on the event loop's thread. */
struct StorageEvents
{
    /** All writes up to this sequence are synced. */
    std::function<void(std::uint64_t)> synced;
    /** The snapshot at this index is synced. */
    std::function<void(std::uint64_t)> snapshotSaved;
    /** A snapshot could not be saved; the log still has all entries. */
    std::function<void(const Error &)> snapshotFailed;
    /** Files that a saved snapshot supersedes could not be removed. */
    std::function<void(const Error &)> removalFailed;
    /** The disk is full; writes are retried until there is space. */
    std::function<void(const Error &)> stalled;
    /** Writes succeed again after a stall. */
    std::function<void()> resumed;
    /** Writing failed permanently; nothing more is written. */
    std::function<void(const Error &)> failed;
};

/**
 * \class StorageWriter
 * \brief Writes to a data folder on its own threads, so that a sync never blocks the event loop.
 *
 * Writes queued during a sync are combined into the next one. Snapshots are written by a second
 * thread, so that a large one does not delay the log.
 */
class StorageWriter
{
public:
    StorageWriter(EventLoop &loop, DataFolder folder, StorageEvents events);
    /** Writes the queued batches, unless the disk is full, and joins the threads. */
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
