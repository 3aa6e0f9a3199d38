#include "Storage/snapshotfile.h"

#include "Protocol/codec.h"
#include "Storage/storagefile.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <cstring>

namespace Oleander {

namespace {

constexpr std::uint32_t SnapshotMagic = 0x31534c4fU;

/** Header of a snapshot file, in native byte order. */
struct SnapshotHeader
{
    std::uint32_t magic = SnapshotMagic;
    std::uint32_t metadataSize = 0;
    std::uint64_t dataSize = 0;
    std::uint64_t checksum = 0;
};

static_assert(sizeof(SnapshotHeader) == 24);

/** Description of the snapshot, stored before the state machine's data. */
struct SnapshotMetadata
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    Membership membership;
};

template<typename F>
void visitFields(F &&f, Fields<SnapshotMetadata> auto &&v)
{
    f(v.index);
    f(v.term);
    f(v.membership);
}

tl::unexpected<Error> corruptionError(const std::string &path, std::size_t offset,
                                      const std::string &what)
{
    return fail(Failure::Corrupt, Step::Restart, {},
                fmt::format("Snapshot \"{}\" is damaged at offset {}: {}.", path, offset, what));
}

} // namespace

std::string snapshotFileName(std::uint64_t index)
{
    return fmt::format("snapshot-{:020}.bin", index);
}

Result<void> writeSnapshotFile(const std::string &folder, const Snapshot &snapshot)
{
    const std::string metadata =
        encode(SnapshotMetadata{snapshot.index, snapshot.term, snapshot.membership});
    const std::string body = metadata + *snapshot.data;
    SnapshotHeader header;
    header.metadataSize = static_cast<std::uint32_t>(metadata.size());
    header.dataSize = snapshot.data->size();
    header.checksum = XXH3_64bits(body.data(), body.size());
    std::string headerBytes(sizeof(header), '\0');
    std::memcpy(headerBytes.data(), &header, sizeof(header));

    const std::string path = folder + "/" + snapshotFileName(snapshot.index);
    const std::string temporary = path + ".tmp";
    auto file = StorageFile::create(temporary);
    if (!file)
        return tl::make_unexpected(file.error());
    auto written = file->append(headerBytes)
                       .and_then([&] { return file->append(body); })
                       .and_then([&] { return file->sync(); })
                       .and_then([&] { return renameFile(temporary, path); })
                       .and_then([&] { return syncFolder(folder); });
    if (!written)
        static_cast<void>(removeFile(temporary));
    return written;
}

Result<Snapshot> readSnapshotFile(const std::string &path)
{
    const auto bytes = readWholeFile(path);
    if (!bytes)
        return tl::make_unexpected(bytes.error());
    SnapshotHeader header;
    if (bytes->size() < sizeof(header))
        return corruptionError(path, 0, "the header is incomplete");
    std::memcpy(&header, bytes->data(), sizeof(header));
    const std::string_view body = std::string_view(*bytes).substr(sizeof(header));
    if (header.magic != SnapshotMagic || body.size() != header.metadataSize + header.dataSize)
        return corruptionError(path, 0, "the header does not match the file size");
    if (XXH3_64bits(body.data(), body.size()) != header.checksum)
        return corruptionError(path, sizeof(header), "the checksum does not match");
    const auto metadata = decode<SnapshotMetadata>(body.substr(0, header.metadataSize));
    if (!metadata)
        return corruptionError(path, sizeof(header), "the metadata cannot be decoded");
    return Snapshot{metadata->index, metadata->term, metadata->membership,
                    std::make_shared<const std::string>(body.substr(header.metadataSize))};
}

} // namespace Oleander
