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

/**
 * \class SimulatedDisk
 * \brief Records what this process syncs below a folder, so that a loss of power can take the rest.
 *
 * Replaces fsync() and fdatasync() of the test program within its scope. Syncs of files elsewhere
 * succeed and do nothing. At most one exists at a time.
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

    /** The sync after \a count more throws ProcessKilled and syncs nothing. */
    void killAfter(unsigned count) { remainingSyncs_ = count; }
    /** Ends killAfter(). */
    void stopKilling() { remainingSyncs_.reset(); }
    /** From now on, syncs of \a path alone fail; none fails if it is empty. */
    void failSyncsOf(std::string path) { failingPath_ = std::move(path); }
    /** Restores the synced state. Not to be called while files below the folder are open. */
    void losePower(const Survives &survives = [] { return false; });
    /** Called by the replaced functions. Returns false if the sync fails. */
    bool sync(int descriptor);

private:
    using Entries = std::map<std::string, ino_t>;

    void countSync();
    void syncEntries(const std::string &folder, ino_t inode);
    void markAllSynced(const std::string &folder);
    void keep(const std::string &path);
    void restore(const std::string &folder, ino_t inode, const Survives &survives);

    std::string root_;
    ino_t rootInode_ = 0;
    std::optional<unsigned> remainingSyncs_;
    std::string failingPath_;
    /** Synced names of each folder. */
    std::map<ino_t, Entries> folders_;
    /** Synced contents of each file. */
    std::map<ino_t, std::string> files_;
    /** Keeps the inodes in use, so that their numbers are not assigned again. */
    std::vector<int> kept_;
};

} // namespace Oleander
