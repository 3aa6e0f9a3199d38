#pragma once

#include "Base/error.h"
#include "Control/replicaoutput.h"
#include "Storage/logrecord.h"
#include "Storage/storagefile.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Oleander {

/**
 * \class DataFolder
 * \brief The files under which a replica's log, hard state and snapshots survive.
 *
 * The log is a row of segment files of checksummed records. A record that a crash cut off at the
 * very end is dropped; damage before it is an error that names file and offset. Not thread-safe,
 * but for saveSnapshot(), which another thread may call beside write().
 */
class DataFolder
{
public:
    /** Opens \a path, creating it when it is missing, and locks it against other processes. */
    static Result<DataFolder> open(const std::string &path);
    /**
     * Sets the damaged files aside within the folder and opens what is then empty, marked so that
     * its replica only joins a group and never forms one.
     */
    static Result<DataFolder> openAfterDamage(const std::string &path);

    /** What the folder held when it was opened; leaves it empty. */
    StoredReplica takeStored() { return std::move(stored_); }
    /** False when the folder was emptied because of damage. */
    bool mayForm() const { return mayForm_; }
    /** Bytes cut from the end of the log at opening. */
    std::uint64_t tornBytes() const { return tornBytes_; }
    const std::string &path() const { return path_; }
    /** Bytes of all log segments. */
    std::uint64_t logBytes() const;

    /** Writes \a batches with one sync. On error nothing of them counts, and a retry is safe. */
    Result<void> write(const std::vector<WriteBatch> &batches);
    /** Writes a snapshot of the applied state; does not touch the log. */
    Result<void> saveSnapshot(const Snapshot &snapshot) const;
    /** Removes segments and snapshots that the saved snapshot at \a index makes needless. */
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
    Result<void> finishLoad();
    Result<void> startSegment();
    Result<void> appendRecords(const std::vector<WriteBatch> &batches, std::uint64_t &sequence);
    std::string logFolder() const { return path_ + "/log"; }
    std::string segmentPath(std::uint64_t number) const;

    std::string path_;
    StorageFile lock_;
    StoredReplica stored_;
    /** Index of the first of the entries replayed so far. */
    std::uint64_t firstReplayedIndex_ = 1;
    bool hasReplayedRecord_ = false;
    std::uint64_t tornBytes_ = 0;
    bool mayForm_ = true;
    HardState hardState_;
    std::vector<Segment> segments_;
    StorageFile currentSegment_;
    std::uint64_t nextSequence_ = 1;
    std::uint64_t nextSegmentNumber_ = 1;
};

} // namespace Oleander
