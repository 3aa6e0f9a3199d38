#include "Storage/storagewriter.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace Oleander {

namespace {

/** Interval between write attempts while the disk is full. */
constexpr auto RetryInterval = std::chrono::milliseconds(200);

} // namespace

struct StorageWriter::Private : std::enable_shared_from_this<Private>
{
    Private(EventLoop &ownerLoop, DataFolder dataFolder, StorageEvents ownerEvents)
        : loop(ownerLoop), folder(std::move(dataFolder)), events(std::move(ownerEvents))
    {}

    void runLogThread();
    void runSnapshotThread();
    bool writeUntilDone(const std::vector<WriteBatch> &batches);
    bool waitForRetry();
    void removeObsoleteFiles(std::uint64_t index);
    template<typename Call>
    void notifyOwner(Call call);

    EventLoop &loop;
    DataFolder folder;
    StorageEvents events;
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    bool failed = false;
    std::vector<WriteBatch> pendingBatches;
    std::optional<Snapshot> pendingSnapshot;
    std::optional<std::uint64_t> removableIndex;
    std::thread logThread;
    std::thread snapshotThread;
};

template<typename Call>
void StorageWriter::Private::notifyOwner(Call call)
{
    // The writer may be destroyed before the loop runs this call.
    loop.post([weak = weak_from_this(), call = std::move(call)] {
        if (const auto self = weak.lock())
            call(self->events);
    });
}

void StorageWriter::Private::runLogThread()
{
    while (true) {
        std::vector<WriteBatch> batches;
        std::optional<std::uint64_t> index;
        {
            std::unique_lock lock(mutex);
            wake.wait(lock, [&] { return stopping || !pendingBatches.empty() || removableIndex; });
            if (pendingBatches.empty() && !removableIndex)
                return;
            batches.swap(pendingBatches);
            index.swap(removableIndex);
        }
        if (!batches.empty() && !writeUntilDone(batches))
            return;
        if (index)
            removeObsoleteFiles(*index);
    }
}

bool StorageWriter::Private::writeUntilDone(const std::vector<WriteBatch> &batches)
{
    bool stalled = false;
    auto written = folder.write(batches);
    while (!written) {
        const Error error = written.error();
        if (error.code != Failure::StorageFull) {
            {
                const std::lock_guard lock(mutex);
                failed = true;
            }
            notifyOwner([error](const StorageEvents &to) { to.failed(error); });
            return false;
        }
        if (!stalled)
            notifyOwner([error](const StorageEvents &to) { to.stalled(error); });
        stalled = true;
        if (!waitForRetry())
            return false;
        written = folder.write(batches);
    }
    if (stalled)
        notifyOwner([](const StorageEvents &to) { to.resumed(); });
    const std::uint64_t sequence = batches.back().sequence;
    notifyOwner([sequence](const StorageEvents &to) { to.synced(sequence); });
    return true;
}

bool StorageWriter::Private::waitForRetry()
{
    std::unique_lock lock(mutex);
    return !wake.wait_for(lock, RetryInterval, [&] { return stopping; });
}

void StorageWriter::Private::removeObsoleteFiles(std::uint64_t index)
{
    // A failure only costs disk space; removal is retried after the next snapshot.
    const auto removed = folder.removeObsoleteFiles(index);
    if (!removed) {
        notifyOwner(
            [error = removed.error()](const StorageEvents &to) { to.removalFailed(error); });
    }
}

void StorageWriter::Private::runSnapshotThread()
{
    while (true) {
        std::optional<Snapshot> snapshot;
        {
            std::unique_lock lock(mutex);
            wake.wait(lock, [&] { return stopping || pendingSnapshot; });
            if (stopping)
                return;
            snapshot.swap(pendingSnapshot);
        }
        // A snapshot that cannot be saved is discarded: the log still has all entries, and the next
        // snapshot follows soon.
        const std::uint64_t index = snapshot->index;
        const auto saved = folder.saveSnapshot(*snapshot);
        if (!saved) {
            notifyOwner(
                [error = saved.error()](const StorageEvents &to) { to.snapshotFailed(error); });
            continue;
        }
        {
            const std::lock_guard lock(mutex);
            removableIndex = index;
        }
        wake.notify_all();
        notifyOwner([index](const StorageEvents &to) { to.snapshotSaved(index); });
    }
}

StorageWriter::StorageWriter(EventLoop &loop, DataFolder folder, StorageEvents events)
    : private_(std::make_shared<Private>(loop, std::move(folder), std::move(events)))
{
    Private *shared = private_.get();
    shared->logThread = std::thread([shared] { shared->runLogThread(); });
    shared->snapshotThread = std::thread([shared] { shared->runSnapshotThread(); });
}

StorageWriter::~StorageWriter()
{
    {
        const std::lock_guard lock(private_->mutex);
        private_->stopping = true;
    }
    private_->wake.notify_all();
    private_->logThread.join();
    private_->snapshotThread.join();
}

void StorageWriter::write(WriteBatch batch)
{
    {
        const std::lock_guard lock(private_->mutex);
        if (private_->failed)
            return;
        private_->pendingBatches.push_back(std::move(batch));
    }
    private_->wake.notify_all();
}

void StorageWriter::saveSnapshot(Snapshot snapshot)
{
    {
        const std::lock_guard lock(private_->mutex);
        private_->pendingSnapshot = std::move(snapshot);
    }
    private_->wake.notify_all();
}

} // namespace Oleander
