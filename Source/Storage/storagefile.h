#pragma once

#include "Base/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace Oleander {

/**
 * \class StorageFile
 * \brief An open file of the data folder, closed by the destructor.
 *
 * Errors contain the file name and the system's error message. A full disk is reported as
 * Failure::StorageFull.
 */
class StorageFile
{
public:
    StorageFile() = default;
    ~StorageFile();
    StorageFile(StorageFile &&other) noexcept;
    StorageFile &operator=(StorageFile &&other) noexcept;
    StorageFile(const StorageFile &) = delete;
    StorageFile &operator=(const StorageFile &) = delete;

    static Result<StorageFile> create(const std::string &path);
    /** Opens an existing file for overwrite(), truncate() and sync(). */
    static Result<StorageFile> openExisting(const std::string &path);

    bool isOpen() const { return descriptor_ >= 0; }
    const std::string &path() const { return path_; }

    /** Appends all of \a bytes to a file from create(). */
    Result<void> append(std::string_view bytes);
    /** Writes all of \a bytes in place from the beginning of a file from openExisting(). */
    Result<void> overwrite(std::string_view bytes);
    /** Blocks until all appended bytes are on disk. */
    Result<void> sync();
    Result<void> truncate(std::uint64_t size);
    /** Locks the file; fails with Failure::Conflict if another process holds the lock. */
    Result<void> lockExclusively();

private:
    StorageFile(int descriptor, std::string path) : descriptor_(descriptor), path_(std::move(path))
    {}
    Result<void> writeAll(std::string_view bytes);

    int descriptor_ = -1;
    std::string path_;
};

Result<std::string> readWholeFile(const std::string &path);
/** Syncs the directory entries of \a folder. */
Result<void> syncFolder(const std::string &folder);
Result<void> removeFile(const std::string &path);
Result<void> renameFile(const std::string &from, const std::string &to);
/** Returns an error for the failed \a action on \a path, based on errno. */
Error systemError(std::string_view action, const std::string &path);

} // namespace Oleander
