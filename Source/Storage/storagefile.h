#pragma once

#include "Base/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace Oleander {

/**
 * \class StorageFile
 * \brief One open file of the data folder; closes itself.
 *
 * Errors name the file and what the system said. A full disk gives Failure::StorageFull.
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
    static Result<StorageFile> openExisting(const std::string &path);

    bool isOpen() const { return descriptor_ >= 0; }
    const std::string &path() const { return path_; }

    /** Appends all of \a bytes. */
    Result<void> append(std::string_view bytes);
    /** Waits until everything appended is on disk. */
    Result<void> sync();
    Result<void> truncate(std::uint64_t size);
    /** Takes the lock of the file, or fails with Failure::Conflict when another process has it. */
    Result<void> lockExclusively();

private:
    StorageFile(int descriptor, std::string path) : descriptor_(descriptor), path_(std::move(path))
    {}

    int descriptor_ = -1;
    std::string path_;
};

Result<std::string> readWholeFile(const std::string &path);
/** Makes the names in \a folder durable. */
Result<void> syncFolder(const std::string &folder);
Result<void> removeFile(const std::string &path);
Result<void> renameFile(const std::string &from, const std::string &to);
/** Error for the failed system call \a action on \a path, from errno. */
Error systemError(std::string_view action, const std::string &path);

} // namespace Oleander
