#pragma once

#include <sys/types.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Oleander {

/** Thrown by a sync in place of a SIGKILL; the caches of the system outlive the process. */
struct ProcessKilled
{};

enum class SyncFault {
    /** The process is killed, and nothing is synced. */
    Kill,
    /** The sync fails. */
    Fail,
    /** The sync fails because the disk is full. */
    FailFull,
    /** The sync fails, and the process is killed before it can react. */
    FailAndKill
};

/**
 * \class SimulatedDisk
 * \brief Records what this process syncs below a folder, so that a loss of power can take the rest.
 *
 * Replaces fsync(), fdatasync(), write() and ftruncate() of the test program within its scope.
 * Syncs of files elsewhere succeed and do nothing. As on Linux, what a failed sync of a file has
 * not stored stays readable and is not stored by later syncs until it is written again by write().
 * Names and sizes are stored by the next sync that succeeds. At most one exists at a time.
 */
class SimulatedDisk
{
public:
    /** Decides whether a change of a folder that was not synced reaches the disk nevertheless. */
    using Survives = std::function<bool()>;

    explicit SimulatedDisk(std::string root);
    ~SimulatedDisk();
    SimulatedDisk(const SimulatedDisk &) = delete;
    SimulatedDisk &operator=(const SimulatedDisk &) = delete;

    /** The sync after \a count more meets \a fault. */
    void faultAfter(unsigned count, SyncFault fault)
    {
        remainingSyncs_ = count;
        fault_ = fault;
    }
    /** Ends faultAfter(). Returns true if the fault occurred. */
    bool stopFaults();
    /** From now on, syncs of \a path alone fail; none fails if it is empty. */
    void failSyncsOf(std::string path) { failingPath_ = std::move(path); }
    /** From now on, a file can or cannot be cut because the disk is full. */
    void setTruncatesFail(bool fail) { truncatesFail_ = fail; }
    bool truncatesFail() const { return truncatesFail_; }
    /** Restores the synced state. Not to be called while files below the folder are open. */
    void losePower(const Survives &survives = [] { return false; });
    /** Called by the replaced functions. Returns the number of the system's error, or 0. */
    int sync(int descriptor);
    /** Called after a write of \a count bytes that begins at \a offset. */
    void written(int descriptor, std::size_t offset, std::size_t count);

private:
    using Entries = std::map<std::string, ino_t>;

    /** Returns the fault that this sync meets. */
    std::optional<SyncFault> nextFault();
    bool contains(const std::string &path) const { return path.rfind(root_, 0) == 0; }
    std::string syncedBytes(ino_t inode, const std::string &cached) const;
    void dropUnsynced(ino_t inode, const std::string &cached);
    void syncEntries(const std::string &folder, ino_t inode);
    void markAllSynced(const std::string &folder);
    void keep(const std::string &path);
    void restore(const std::string &folder, ino_t inode, const Survives &survives);

    std::string root_;
    ino_t rootInode_ = 0;
    std::optional<unsigned> remainingSyncs_;
    SyncFault fault_ = SyncFault::Kill;
    std::string failingPath_;
    bool truncatesFail_ = false;
    /** Synced names of each folder. */
    std::map<ino_t, Entries> folders_;
    /** Synced contents of each file. */
    std::map<ino_t, std::string> files_;
    /** For each byte of a file whether a failed sync left it unsynced and it was not written since.
     */
    std::map<ino_t, std::vector<bool>> dropped_;
    /** Keeps the inodes in use, so that their numbers are not assigned again. */
    std::vector<int> kept_;
};

} // namespace Oleander
