#pragma once

#include "Base/error.h"
#include "Control/replicaoutput.h"
#include "Storage/logrecord.h"
#include "Storage/storagefile.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Oleander {

/**
 * \class DataFolder
 * \brief Stores the log, hard state and snapshots of a replica in files.
 *
 * The log is a sequence of segment files with checksummed records. An incomplete record at the very
 * end is the result of a crash and is dropped; earlier damage is an error that names the file and
 * the offset. Not thread-safe, except that saveSnapshot() may run concurrently with write().
 */
class DataFolder
{
public:
    /**
     * Opens \a path, creating it if necessary, and locks it against other processes. Everything
     * that is loaded is on disk when this returns.
     */
    static Result<DataFolder> open(const std::string &path);
    /**
     * Moves the damaged log to a subfolder and opens the folder as an empty one, marked so that its
     * replica only joins a group and never forms one.
     */
    static Result<DataFolder> openAfterDamage(const std::string &path);

    /** Moves out the contents that were loaded when the folder was opened. */
    StoredReplica takeStored() { return std::move(stored_); }
    /** False if the folder was emptied because of damage. */
    bool mayForm() const { return mayForm_; }
    /** Bytes of an incomplete record that were cut from the end of the log when it was opened. */
    std::uint64_t tornBytes() const { return tornBytes_; }
    /** Sequence number of the last record; 0 if there is none. */
    std::uint64_t lastSequence() const { return nextSequence_ - 1; }
    std::size_t segmentCount() const { return segments_.size(); }
    const std::string &path() const { return path_; }
    /** Total size of all log segments. */
    std::uint64_t logBytes() const;

    /** Writes \a batches with one sync. On error none of them is written, and a retry is safe. */
    Result<void> write(const std::vector<WriteBatch> &batches);
    /** Writes a snapshot of the applied state; does not modify the log. */
    Result<void> saveSnapshot(const Snapshot &snapshot) const;
    /** Removes segments and snapshots that are superseded by the saved snapshot at \a index. */
    Result<void> removeObsoleteFiles(std::uint64_t index);

private:
    struct Segment
    {
        std::uint64_t number = 0;
        std::uint64_t lastIndex = 0;
        std::uint64_t bytes = 0;
    };

    explicit DataFolder(std::string path) : path_(std::move(path)) {}
    Result<void> lock();
    Result<void> load();
    Result<void> loadSnapshot(std::uint64_t index);
    Result<void> loadSegment(std::uint64_t number, bool last);
    Result<void> replay(const std::string &file, std::size_t offset, DecodedRecord found);
    Result<void> storeLastSegment(std::string_view bytes);
    Result<void> syncLoaded();
    Result<void> finishLoad();
    Result<void> startSegment();
    Result<void> removePartialWrite();
    Result<void> appendRecords(const std::vector<WriteBatch> &batches, std::uint64_t &sequence);
    std::string logFolder() const { return path_ + "/log"; }
    std::string segmentPath(std::uint64_t number) const;

    std::string path_;
    StorageFile lock_;
    StoredReplica stored_;
    /** Index of the first replayed entry. */
    std::uint64_t firstReplayedIndex_ = 1;
    bool hasReplayedRecord_ = false;
    std::uint64_t tornBytes_ = 0;
    bool mayForm_ = true;
    HardState hardState_;
    /** Reset of the log that was found at the start without a record; written with the next one. */
    std::optional<LogReset> unrecordedReset_;
    std::vector<Segment> segments_;
    StorageFile currentSegment_;
    /** True if the current segment may have more bytes than its complete records. */
    bool hasPartialWrite_ = false;
    std::uint64_t nextSequence_ = 1;
    std::uint64_t nextSegmentNumber_ = 1;
};

} // namespace Oleander
