#include "Storage/storagefile.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace Oleander {

namespace {

constexpr mode_t FileMode = 0640;

bool isOutOfSpace(int error)
{
    return error == ENOSPC || error == EDQUOT || error == EFBIG;
}

Result<void> check(int outcome, std::string_view action, const std::string &path)
{
    if (outcome != 0)
        return tl::make_unexpected(systemError(action, path));
    return {};
}

} // namespace

Error systemError(std::string_view action, const std::string &path)
{
    const int error = errno;
    const Failure failure = isOutOfSpace(error) ? Failure::StorageFull : Failure::Io;
    return makeError(failure, Step::Sync, {},
                     fmt::format("Cannot {} \"{}\": {}.", action, path, std::strerror(error)));
}

StorageFile::~StorageFile()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
}

StorageFile::StorageFile(StorageFile &&other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)), path_(std::move(other.path_))
{}

StorageFile &StorageFile::operator=(StorageFile &&other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    std::swap(path_, other.path_);
    return *this;
}

Result<StorageFile> StorageFile::create(const std::string &path)
{
    const int descriptor =
        ::open(path.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_APPEND | O_CLOEXEC, FileMode);
    if (descriptor < 0)
        return tl::make_unexpected(systemError("create", path));
    return StorageFile(descriptor, path);
}

Result<StorageFile> StorageFile::openExisting(const std::string &path)
{
    const int descriptor = ::open(path.c_str(), O_WRONLY | O_CLOEXEC);
    if (descriptor < 0)
        return tl::make_unexpected(systemError("open", path));
    return StorageFile(descriptor, path);
}

Result<void> StorageFile::append(std::string_view bytes)
{
    return writeAll(bytes);
}

Result<void> StorageFile::overwrite(std::string_view bytes)
{
    if (::lseek(descriptor_, 0, SEEK_SET) != 0)
        return tl::make_unexpected(systemError("seek in", path_));
    return writeAll(bytes);
}

Result<void> StorageFile::writeAll(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t written = ::write(descriptor_, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0)
            return tl::make_unexpected(systemError("write", path_));
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return {};
}

Result<void> StorageFile::sync()
{
    return check(::fdatasync(descriptor_), "sync", path_);
}

Result<void> StorageFile::truncate(std::uint64_t size)
{
    return check(::ftruncate(descriptor_, static_cast<off_t>(size)), "truncate", path_);
}

Result<void> StorageFile::lockExclusively()
{
    if (::flock(descriptor_, LOCK_EX | LOCK_NB) == 0)
        return {};
    if (errno != EWOULDBLOCK)
        return tl::make_unexpected(systemError("lock", path_));
    return fail(Failure::Conflict, Step::Restart, {},
                fmt::format("Another process holds \"{}\"; each replica needs a data folder of its "
                            "own.",
                            path_));
}

Result<std::string> readWholeFile(const std::string &path)
{
    const int descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0)
        return tl::make_unexpected(systemError("open", path));
    struct stat status = {};
    std::string bytes;
    if (::fstat(descriptor, &status) == 0)
        bytes.resize(static_cast<std::size_t>(status.st_size));
    std::size_t filled = 0;
    while (filled < bytes.size()) {
        const ssize_t bytesRead = ::read(descriptor, bytes.data() + filled, bytes.size() - filled);
        if (bytesRead < 0 && errno == EINTR)
            continue;
        if (bytesRead < 0) {
            const Error error = systemError("read", path);
            ::close(descriptor);
            return tl::make_unexpected(error);
        }
        if (bytesRead == 0)
            break;
        filled += static_cast<std::size_t>(bytesRead);
    }
    ::close(descriptor);
    bytes.resize(filled);
    return bytes;
}

Result<void> syncFolder(const std::string &folder)
{
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0)
        return tl::make_unexpected(systemError("open", folder));
    auto outcome = check(::fsync(descriptor), "sync", folder);
    ::close(descriptor);
    return outcome;
}

Result<void> removeFile(const std::string &path)
{
    return check(::unlink(path.c_str()), "remove", path);
}

Result<void> renameFile(const std::string &from, const std::string &to)
{
    return check(::rename(from.c_str(), to.c_str()), "rename", from);
}

} // namespace Oleander
