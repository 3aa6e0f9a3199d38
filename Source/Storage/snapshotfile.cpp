#include "Storage/snapshotfile.h"

#include "Protocol/codec.h"
#include "Storage/storagefile.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <cstring>

namespace Oleander {

namespace {

constexpr std::uint32_t SnapshotMagic = 0x31534c4fU;

/** Head of a snapshot file, in the byte order of the machine. */
struct SnapshotHead
{
    std::uint32_t magic = SnapshotMagic;
    std::uint32_t metaSize = 0;
    std::uint64_t dataSize = 0;
    std::uint64_t checksum = 0;
};

static_assert(sizeof(SnapshotHead) == 24);

/** What a snapshot file tells besides the state machine's bytes. */
struct SnapshotMeta
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    Membership membership;
};

template<typename F>
void visitFields(F &&f, Fields<SnapshotMeta> auto &&v)
{
    f(v.index);
    f(v.term);
    f(v.membership);
}

tl::unexpected<Error> damaged(const std::string &path, std::size_t offset, const std::string &what)
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
    const std::string meta =
        encode(SnapshotMeta{snapshot.index, snapshot.term, snapshot.membership});
    const std::string body = meta + *snapshot.data;
    SnapshotHead head;
    head.metaSize = static_cast<std::uint32_t>(meta.size());
    head.dataSize = snapshot.data->size();
    head.checksum = XXH3_64bits(body.data(), body.size());
    std::string headBytes(sizeof(head), '\0');
    std::memcpy(headBytes.data(), &head, sizeof(head));

    const std::string path = folder + "/" + snapshotFileName(snapshot.index);
    const std::string temporary = path + ".tmp";
    auto file = StorageFile::create(temporary);
    if (!file)
        return tl::make_unexpected(file.error());
    auto written = file->append(headBytes)
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
    SnapshotHead head;
    if (bytes->size() < sizeof(head))
        return damaged(path, 0, "its head is cut off");
    std::memcpy(&head, bytes->data(), sizeof(head));
    const std::string_view body = std::string_view(*bytes).substr(sizeof(head));
    if (head.magic != SnapshotMagic || body.size() != head.metaSize + head.dataSize)
        return damaged(path, 0, "its head does not fit its length");
    if (XXH3_64bits(body.data(), body.size()) != head.checksum)
        return damaged(path, sizeof(head), "its checksum does not match");
    const auto meta = decode<SnapshotMeta>(body.substr(0, head.metaSize));
    if (!meta)
        return damaged(path, sizeof(head), "its description cannot be read");
    return Snapshot{meta->index, meta->term, meta->membership,
                    std::make_shared<const std::string>(body.substr(head.metaSize))};
}

} // namespace Oleander
