#include "Storage/datafolder.h"

#include "Storage/snapshotfile.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <filesystem>

namespace Oleander {

namespace {

/** Segment size at which the next write starts a new segment. */
constexpr std::uint64_t SegmentBytes = 8U << 20U;
constexpr std::string_view SegmentPrefix = "segment-";
constexpr std::string_view SegmentSuffix = ".log";
constexpr std::string_view SnapshotPrefix = "snapshot-";
constexpr std::string_view SnapshotSuffix = ".bin";
constexpr std::string_view TemporarySuffix = ".tmp";
constexpr std::string_view LockName = "/lock";
constexpr std::string_view JoinOnlyName = "/join-only";

/** Parses a name of the form "<prefix><number><suffix>"; empty if it has another form. */
std::optional<std::uint64_t> parseNumberedName(std::string_view name, std::string_view prefix,
                                               std::string_view suffix)
{
    if (!name.starts_with(prefix) || !name.ends_with(suffix)
        || name.size() <= prefix.size() + suffix.size())
        return std::nullopt;
    const std::string_view digits =
        name.substr(prefix.size(), name.size() - prefix.size() - suffix.size());
    std::uint64_t number = 0;
    const auto end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

Result<std::vector<std::string>> listFolder(const std::string &folder)
{
    std::error_code error;
    std::vector<std::string> names;
    for (std::filesystem::directory_iterator item(folder, error), end; !error && item != end;
         item.increment(error))
        names.push_back(item->path().filename().string());
    if (error) {
        return fail(Failure::Io, Step::Restart, {},
                    fmt::format("Cannot list \"{}\": {}.", folder, error.message()));
    }
    std::sort(names.begin(), names.end());
    return names;
}

/** Creates \a folder and its missing parents, and syncs the name of each. */
Result<void> createFolder(const std::string &folder)
{
    std::error_code error;
    const std::string parent = std::filesystem::absolute(folder, error).parent_path().string();
    bool created = false;
    if (!error && !std::filesystem::exists(folder, error) && !error) {
        std::error_code ignored;
        const bool parentExists = std::filesystem::exists(parent, ignored);
        // The name of an existing parent is synced too, if possible: a process may have been killed
        // after it created the parent.
        if (auto prepared = createFolder(parent); !prepared && !parentExists)
            return prepared;
        created = std::filesystem::create_directory(folder, error);
    }
    if (error) {
        return fail(Failure::Io, Step::Restart, {},
                    fmt::format("Cannot create \"{}\": {}.", folder, error.message()));
    }
    auto synced = syncFolder(parent);
    // The next start would take it for a folder that was always there.
    if (!synced && created)
        std::filesystem::remove(folder, error);
    return synced;
}

tl::unexpected<Error> corruptionError(const std::string &file, std::size_t offset,
                                      const std::string &what)
{
    return fail(Failure::Corrupt, Step::Restart, {},
                fmt::format("Log file \"{}\" is damaged at offset {}: {}.", file, offset, what));
}

LogRecord toLogRecord(const WriteBatch &batch)
{
    LogRecord record;
    record.hardState = batch.hardState;
    if (batch.snapshot)
        record.reset = LogReset{batch.snapshot->index, batch.snapshot->term};
    record.firstIndex = batch.firstIndex;
    record.entries = batch.entries;
    return record;
}

} // namespace

Result<DataFolder> DataFolder::open(const std::string &path)
{
    DataFolder folder(path);
    auto opened = createFolder(path)
                      .and_then([&] { return folder.lock(); })
                      .and_then([&] { return createFolder(folder.logFolder()); })
                      .and_then([&] { return folder.load(); });
    if (!opened)
        return tl::make_unexpected(opened.error());
    return folder;
}

Result<DataFolder> DataFolder::openAfterDamage(const std::string &path)
{
    DataFolder folder(path);
    if (auto locked = folder.lock(); !locked)
        return tl::make_unexpected(locked.error());
    // The marker is written first. Otherwise a crash between the steps could leave a folder that
    // looks as if it had always been empty.
    auto marker = StorageFile::create(path + std::string(JoinOnlyName));
    if (!marker)
        return tl::make_unexpected(marker.error());
    unsigned number = 1;
    std::string backupPath = path + "/damaged-1";
    while (std::filesystem::exists(backupPath))
        backupPath = fmt::format("{}/damaged-{}", path, ++number);
    const auto moved = marker->sync()
                           .and_then([&] { return syncFolder(path); })
                           .and_then([&] { return renameFile(folder.logFolder(), backupPath); })
                           .and_then([&] { return syncFolder(path); });
    if (!moved)
        return tl::make_unexpected(moved.error());
    folder.lock_ = StorageFile();
    return open(path);
}

Result<void> DataFolder::lock()
{
    const std::string name = path_ + std::string(LockName);
    auto file = StorageFile::create(name);
    if (!file)
        return tl::make_unexpected(file.error());
    lock_ = std::move(*file);
    mayForm_ = !std::filesystem::exists(path_ + std::string(JoinOnlyName));
    return lock_.lockExclusively();
}

Result<void> DataFolder::load()
{
    const auto names = listFolder(logFolder());
    if (!names)
        return tl::make_unexpected(names.error());
    std::uint64_t snapshotIndex = 0;
    std::vector<std::uint64_t> numbers;
    for (const std::string &name : *names) {
        if (name.ends_with(TemporarySuffix))
            static_cast<void>(removeFile(logFolder() + "/" + name));
        if (const auto index = parseNumberedName(name, SnapshotPrefix, SnapshotSuffix))
            snapshotIndex = std::max(snapshotIndex, *index);
        if (const auto number = parseNumberedName(name, SegmentPrefix, SegmentSuffix))
            numbers.push_back(*number);
    }
    if (snapshotIndex > 0) {
        if (auto loaded = loadSnapshot(snapshotIndex); !loaded)
            return loaded;
    }
    for (const std::uint64_t number : numbers) {
        if (auto loaded = loadSegment(number, number == numbers.back()); !loaded)
            return loaded;
        nextSegmentNumber_ = number + 1;
    }
    return syncLoaded().and_then([&] { return finishLoad(); });
}

Result<void> DataFolder::loadSnapshot(std::uint64_t index)
{
    auto snapshot = readSnapshotFile(logFolder() + "/" + snapshotFileName(index));
    if (!snapshot)
        return tl::make_unexpected(snapshot.error());
    stored_.snapshot = std::move(*snapshot);
    return {};
}

Result<void> DataFolder::loadSegment(std::uint64_t number, bool last)
{
    const std::string path = segmentPath(number);
    const auto bytes = readWholeFile(path);
    if (!bytes)
        return tl::make_unexpected(bytes.error());
    segments_.push_back({number, 0, bytes->size()});
    std::size_t offset = 0;
    while (offset < bytes->size()) {
        auto found = decodeLogRecord(*bytes, offset);
        if (!found) {
            if (!last)
                return corruptionError(path, offset, "no complete record at this offset");
            if (const auto later = findLaterLogRecord(*bytes, offset, nextSequence_)) {
                return corruptionError(
                    path, offset,
                    fmt::format("no complete record at this offset, but a later one at offset {}",
                                *later));
            }
            tornBytes_ = bytes->size() - offset;
            segments_.back().bytes = offset;
            break;
        }
        const std::size_t size = found->size;
        if (auto replayed = replay(path, offset, std::move(*found)); !replayed)
            return replayed;
        offset += size;
    }
    return last ? storeLastSegment(std::string_view(*bytes).substr(0, offset)) : Result<void>();
}

Result<void> DataFolder::storeLastSegment(std::string_view bytes)
{
    auto file = StorageFile::openExisting(segmentPath(segments_.back().number));
    if (!file)
        return tl::make_unexpected(file.error());
    if (tornBytes_ > 0) {
        if (auto cut = file->truncate(bytes.size()); !cut)
            return cut;
    }
    // After a failed sync, the system may keep what was not stored in its cache without storing it
    // at later syncs. Earlier segments were stored while they were last.
    return file->overwrite(bytes).and_then([&] { return file->sync(); });
}

Result<void> DataFolder::replay(const std::string &file, std::size_t offset, DecodedRecord found)
{
    if (hasReplayedRecord_ && found.sequence != nextSequence_) {
        return corruptionError(file, offset,
                               fmt::format("the record has sequence number {}, expected {}",
                                           found.sequence, nextSequence_));
    }
    hasReplayedRecord_ = true;
    nextSequence_ = found.sequence + 1;
    LogRecord &record = found.record;
    if (record.hardState)
        hardState_ = *record.hardState;
    std::vector<LogEntry> &entries = stored_.entries;
    if (record.reset) {
        entries.clear();
        firstReplayedIndex_ = record.reset->index + 1;
    }
    if (record.entries.empty())
        return {};
    const std::uint64_t first = record.firstIndex;
    const std::uint64_t next = firstReplayedIndex_ + entries.size();
    if (first > next && first > stored_.snapshot.index + 1 && !entries.empty()) {
        return corruptionError(
            file, offset, fmt::format("the record starts at index {}, expected {}", first, next));
    }
    if (first < firstReplayedIndex_ || first > next || entries.empty()) {
        entries.clear();
        firstReplayedIndex_ = first;
    }
    entries.resize(first - firstReplayedIndex_);
    entries.insert(entries.end(), std::make_move_iterator(record.entries.begin()),
                   std::make_move_iterator(record.entries.end()));
    segments_.back().lastIndex =
        std::max(segments_.back().lastIndex, firstReplayedIndex_ + entries.size() - 1);
    return {};
}

Result<void> DataFolder::syncLoaded()
{
    // A process that was killed may have left data that only the system's cache holds, in files and
    // in the names of files.
    for (std::size_t i = 0; i + 1 < segments_.size(); ++i) {
        auto file = StorageFile::openExisting(segmentPath(segments_[i].number));
        if (!file)
            return tl::make_unexpected(file.error());
        if (auto synced = file->sync(); !synced)
            return synced;
    }
    return syncFolder(logFolder());
}

Result<void> DataFolder::finishLoad()
{
    std::vector<LogEntry> &entries = stored_.entries;
    const std::uint64_t snapshotIndex = stored_.snapshot.index;
    if (!entries.empty() && firstReplayedIndex_ > snapshotIndex + 1) {
        return corruptionError(
            logFolder(), 0,
            fmt::format("the log entries start at index {}, but the snapshot ends at {}",
                        firstReplayedIndex_, snapshotIndex));
    }
    const std::uint64_t covered = snapshotIndex + 1 - firstReplayedIndex_;
    if (!entries.empty() && covered > 0) {
        // If the log lacks the last entry of the snapshot or has another one at its index, the
        // snapshot has replaced the log.
        const bool continuesSnapshot =
            covered <= entries.size() && entries[covered - 1].term == stored_.snapshot.term;
        const std::uint64_t dropped = continuesSnapshot ? covered : entries.size();
        entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(dropped));
        // Otherwise the next start would add later entries to the ones dropped here.
        if (!continuesSnapshot)
            unrecordedReset_ = LogReset{snapshotIndex, stored_.snapshot.term};
    }
    stored_.hardState = hardState_;
    return {};
}

std::uint64_t DataFolder::logBytes() const
{
    std::uint64_t bytes = 0;
    for (const Segment &segment : segments_)
        bytes += segment.bytes;
    return bytes;
}

std::string DataFolder::segmentPath(std::uint64_t number) const
{
    return fmt::format("{}/{}{:020}{}", logFolder(), SegmentPrefix, number, SegmentSuffix);
}

Result<void> DataFolder::startSegment()
{
    auto file = StorageFile::create(segmentPath(nextSegmentNumber_));
    if (!file)
        return tl::make_unexpected(file.error());
    if (auto synced = syncFolder(logFolder()); !synced) {
        static_cast<void>(removeFile(file->path()));
        return synced;
    }
    currentSegment_ = std::move(*file);
    segments_.push_back({nextSegmentNumber_, 0, 0});
    ++nextSegmentNumber_;
    return {};
}

Result<void> DataFolder::removePartialWrite()
{
    auto cut = currentSegment_.truncate(segments_.back().bytes);
    hasPartialWrite_ = !cut.has_value();
    return cut;
}

Result<void> DataFolder::write(const std::vector<WriteBatch> &batches)
{
    if (hasPartialWrite_) {
        if (auto removed = removePartialWrite(); !removed)
            return removed;
    }
    if (!currentSegment_.isOpen() || segments_.back().bytes >= SegmentBytes) {
        if (auto started = startSegment(); !started)
            return started;
    }
    std::uint64_t sequence = nextSequence_;
    auto written = appendRecords(batches, sequence);
    if (written) {
        nextSequence_ = sequence;
        return {};
    }
    // The log ends with a complete record for a retry or a restart.
    auto removed = removePartialWrite();
    return removed ? written : removed;
}

Result<void> DataFolder::appendRecords(const std::vector<WriteBatch> &batches,
                                       std::uint64_t &sequence)
{
    Segment &segment = segments_.back();
    std::string bytes;
    HardState hardState = hardState_;
    std::uint64_t lastIndex = segment.lastIndex;
    const std::uint64_t firstSequence = sequence;
    const auto addRecord = [&](LogRecord record) {
        record.firstOfWrite = firstSequence;
        bytes += encodeLogRecord(sequence++, record);
    };
    // Each segment starts with the hard state, so that earlier segments can be removed.
    if (segment.bytes == 0) {
        LogRecord firstRecord;
        firstRecord.hardState = hardState;
        firstRecord.reset = unrecordedReset_;
        addRecord(std::move(firstRecord));
    }
    for (const WriteBatch &batch : batches) {
        if (batch.snapshot) {
            if (auto saved = saveSnapshot(*batch.snapshot); !saved)
                return saved;
        }
        if (batch.hardState)
            hardState = *batch.hardState;
        if (!batch.entries.empty())
            lastIndex = std::max(lastIndex, batch.firstIndex + batch.entries.size() - 1);
        addRecord(toLogRecord(batch));
    }
    auto written = currentSegment_.append(bytes).and_then([&] { return currentSegment_.sync(); });
    if (!written)
        return written;
    unrecordedReset_.reset();
    hardState_ = hardState;
    segment.lastIndex = lastIndex;
    segment.bytes += bytes.size();
    return {};
}

Result<void> DataFolder::saveSnapshot(const Snapshot &snapshot) const
{
    return writeSnapshotFile(logFolder(), snapshot);
}

Result<void> DataFolder::removeObsoleteFiles(std::uint64_t index)
{
    // As long as the last segment has no record, only the one before it holds the hard state.
    while (segments_.size() > 1 && segments_.back().bytes > 0
           && segments_.front().lastIndex <= index) {
        // Keeps the order of the removals on disk: a gap between segments is damage.
        if (auto synced = syncFolder(logFolder()); !synced)
            return synced;
        if (auto removed = removeFile(segmentPath(segments_.front().number)); !removed)
            return removed;
        segments_.erase(segments_.begin());
    }
    const auto names = listFolder(logFolder());
    if (!names)
        return tl::make_unexpected(names.error());
    for (const std::string &name : *names) {
        const auto snapshot = parseNumberedName(name, SnapshotPrefix, SnapshotSuffix);
        if (snapshot && *snapshot < index) {
            if (auto removed = removeFile(logFolder() + "/" + name); !removed)
                return removed;
        }
    }
    return {};
}

} // namespace Oleander
