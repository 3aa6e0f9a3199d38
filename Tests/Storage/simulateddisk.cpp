#include "Storage/simulateddisk.h"

#include "Storage/testfolder.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace Oleander {

namespace {

SimulatedDisk *currentDisk = nullptr;

ino_t inodeOf(const std::string &path)
{
    struct stat status = {};
    REQUIRE(::lstat(path.c_str(), &status) == 0);
    return status.st_ino;
}

std::string pathOf(int descriptor)
{
    const std::string link = "/proc/self/fd/" + std::to_string(descriptor);
    std::array<char, 4096> target{};
    const ssize_t length = ::readlink(link.c_str(), target.data(), target.size());
    return length < 0 ? std::string()
                      : std::string(target.data(), static_cast<std::size_t>(length));
}

} // namespace

SimulatedDisk::SimulatedDisk(std::string root) : root_(std::move(root))
{
    REQUIRE(currentDisk == nullptr);
    rootInode_ = inodeOf(root_);
    markAllSynced(root_);
    // Last, as no destructor runs if a check above fails.
    currentDisk = this;
}

SimulatedDisk::~SimulatedDisk()
{
    currentDisk = nullptr;
    for (const int descriptor : kept_)
        ::close(descriptor);
}

bool SimulatedDisk::stopFaults()
{
    return !std::exchange(remainingSyncs_, std::nullopt).has_value();
}

std::optional<SyncFault> SimulatedDisk::nextFault()
{
    if (!remainingSyncs_)
        return std::nullopt;
    if (*remainingSyncs_ > 0) {
        --*remainingSyncs_;
        return std::nullopt;
    }
    remainingSyncs_.reset();
    return fault_;
}

int SimulatedDisk::sync(int descriptor)
{
    const std::string path = pathOf(descriptor);
    if (!contains(path))
        return 0;
    const auto fault = path == failingPath_ ? SyncFault::Fail : nextFault();
    if (fault == SyncFault::Kill)
        throw ProcessKilled();
    struct stat status = {};
    REQUIRE(::fstat(descriptor, &status) == 0);
    const bool isFolder = S_ISDIR(status.st_mode);
    std::string cached;
    if (!isFolder) {
        cached = fileBytes("/proc/self/fd/" + std::to_string(descriptor));
        kept_.push_back(::dup(descriptor));
        REQUIRE(kept_.back() >= 0);
    }
    if (fault && !isFolder)
        dropUnsynced(status.st_ino, cached);
    if (fault == SyncFault::FailAndKill)
        throw ProcessKilled();
    if (fault)
        return fault == SyncFault::FailFull ? ENOSPC : EIO;
    if (isFolder)
        syncEntries(path, status.st_ino);
    else
        files_[status.st_ino] = syncedBytes(status.st_ino, cached);
    return 0;
}

void SimulatedDisk::dropUnsynced(ino_t inode, const std::string &cached)
{
    const std::string &synced = files_[inode];
    std::vector<bool> &dropped = dropped_[inode];
    dropped.resize(cached.size());
    for (std::size_t i = 0; i < cached.size(); ++i)
        dropped[i] = i >= synced.size() || synced[i] != cached[i];
}

std::string SimulatedDisk::syncedBytes(ino_t inode, const std::string &cached) const
{
    const auto dropped = dropped_.find(inode);
    const auto before = files_.find(inode);
    std::string synced = cached;
    if (dropped == dropped_.end())
        return synced;
    for (std::size_t i = 0; i < std::min(synced.size(), dropped->second.size()); ++i) {
        if (dropped->second[i])
            synced[i] = i < before->second.size() ? before->second[i] : '\0';
    }
    return synced;
}

void SimulatedDisk::written(int descriptor, std::size_t offset, std::size_t count)
{
    struct stat status = {};
    if (::fstat(descriptor, &status) != 0 || !contains(pathOf(descriptor)))
        return;
    const auto found = dropped_.find(status.st_ino);
    if (found == dropped_.end())
        return;
    std::vector<bool> &dropped = found->second;
    for (std::size_t i = offset; i < std::min(offset + count, dropped.size()); ++i)
        dropped[i] = false;
}

void SimulatedDisk::keep(const std::string &path)
{
    kept_.push_back(::open(path.c_str(), O_PATH | O_CLOEXEC | O_NOFOLLOW));
    REQUIRE(kept_.back() >= 0);
}

void SimulatedDisk::syncEntries(const std::string &folder, ino_t inode)
{
    Entries entries;
    for (const auto &item : std::filesystem::directory_iterator(folder)) {
        const ino_t child = inodeOf(item.path());
        entries[item.path().filename()] = child;
        if (item.is_directory())
            folders_.try_emplace(child);
        keep(item.path());
    }
    folders_[inode] = std::move(entries);
}

void SimulatedDisk::markAllSynced(const std::string &folder)
{
    syncEntries(folder, inodeOf(folder));
    for (const auto &item : std::filesystem::directory_iterator(folder)) {
        if (item.is_directory())
            markAllSynced(item.path());
        else
            files_[inodeOf(item.path())] = fileBytes(item.path());
    }
}

void SimulatedDisk::losePower(const Survives &survives)
{
    restore(root_, rootInode_, survives);
    for (const int descriptor : kept_)
        ::close(descriptor);
    kept_.clear();
    folders_.clear();
    files_.clear();
    dropped_.clear();
    markAllSynced(root_);
}

void SimulatedDisk::restore(const std::string &folder, ino_t inode, const Survives &survives)
{
    Entries present;
    for (const auto &item : std::filesystem::directory_iterator(folder))
        present[item.path().filename()] = inodeOf(item.path());
    Entries restored = folders_[inode];
    Entries names = present;
    names.insert(restored.begin(), restored.end());
    for (const auto &[name, unused] : names) {
        const auto before = restored.find(name);
        const auto after = present.find(name);
        const bool changed =
            before == restored.end() || after == present.end() || before->second != after->second;
        if (!changed || !survives())
            continue;
        restored.erase(name);
        if (after != present.end())
            restored[name] = after->second;
    }
    // Removed or renamed folders are restored from what was synced of them, like files.
    for (const auto &[name, child] : restored) {
        const std::string path = (std::filesystem::path(folder) / name).string();
        const auto found = present.find(name);
        const bool inPlace = found != present.end() && found->second == child;
        if (!inPlace)
            std::filesystem::remove_all(path);
        if (folders_.contains(child)) {
            std::filesystem::create_directory(path);
            restore(path, child, survives);
        } else {
            setFileBytes(path, files_[child]);
        }
    }
    for (const auto &[name, unused] : present) {
        if (!restored.contains(name))
            std::filesystem::remove_all(std::filesystem::path(folder) / name);
    }
}

} // namespace Oleander

namespace {

int syncSimulated(int descriptor)
{
    const int error = Oleander::currentDisk->sync(descriptor);
    if (error == 0)
        return 0;
    errno = error;
    return -1;
}

} // namespace

// These definitions take precedence over those of the C library in this program.
extern "C" int fsync(int descriptor)
{
    if (Oleander::currentDisk == nullptr)
        return static_cast<int>(::syscall(SYS_fsync, descriptor));
    return syncSimulated(descriptor);
}

extern "C" int fdatasync(int descriptor)
{
    if (Oleander::currentDisk == nullptr)
        return static_cast<int>(::syscall(SYS_fdatasync, descriptor));
    return syncSimulated(descriptor);
}

extern "C" int ftruncate(int descriptor, off_t size)
{
    if (Oleander::currentDisk == nullptr || !Oleander::currentDisk->truncatesFail())
        return static_cast<int>(::syscall(SYS_ftruncate, descriptor, size));
    errno = ENOSPC;
    return -1;
}

extern "C" ssize_t write(int descriptor, const void *bytes, std::size_t count)
{
    if (Oleander::currentDisk == nullptr)
        return ::syscall(SYS_write, descriptor, bytes, count);
    const bool appends = (::fcntl(descriptor, F_GETFL) & O_APPEND) != 0;
    const off_t offset = ::lseek(descriptor, 0, appends ? SEEK_END : SEEK_CUR);
    const ssize_t written = ::syscall(SYS_write, descriptor, bytes, count);
    if (written > 0 && offset >= 0) {
        Oleander::currentDisk->written(descriptor, static_cast<std::size_t>(offset),
                                       static_cast<std::size_t>(written));
    }
    return written;
}
