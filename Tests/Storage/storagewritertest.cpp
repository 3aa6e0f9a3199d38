#include "Storage/storagewriter.h"

#include "Storage/testfolder.h"

#include <optional>

using namespace Oleander;

namespace {

/** Runs the event loop of a writer until a condition is met; fails after 60 seconds. */
struct WriterFixture
{
    TestFolder folder;
    EventLoop loop;
    std::uint64_t synced = 0;
    std::uint64_t savedSnapshot = 0;
    int stalls = 0;
    int resumes = 0;
    int failedSnapshots = 0;
    int failedRemovals = 0;
    Error lastError;

    StorageEvents events()
    {
        StorageEvents result;
        result.synced = [this](std::uint64_t sequence) { synced = sequence; };
        result.snapshotSaved = [this](std::uint64_t index) { savedSnapshot = index; };
        result.snapshotFailed = [this](const Error &error) {
            ++failedSnapshots;
            lastError = error;
        };
        result.removalFailed = [this](const Error &error) {
            ++failedRemovals;
            lastError = error;
        };
        result.stalled = [this](const Error &error) {
            ++stalls;
            lastError = error;
        };
        result.resumed = [this] { ++resumes; };
        result.failed = [this](const Error &error) { lastError = error; };
        return result;
    }

    void runUntil(const std::function<bool()> &condition)
    {
        Timer poll(loop, [&] {
            if (condition())
                loop.stop();
        });
        Timer limit(loop, [&] { loop.stop(); });
        poll.startEvery(std::chrono::milliseconds(1));
        limit.startOnce(std::chrono::seconds(60));
        loop.run();
        REQUIRE(condition());
    }
};

WriteBatch withSequence(WriteBatch batch, std::uint64_t sequence)
{
    batch.sequence = sequence;
    return batch;
}

} // namespace

TEST_CASE("The writer reports synced writes and saved snapshots")
{
    WriterFixture fixture;
    {
        StorageWriter writer(fixture.loop, std::move(*DataFolder::open(fixture.folder.path())),
                             fixture.events());
        for (std::uint64_t i = 1; i <= 100; ++i)
            writer.write(withSequence(entriesAt(i, {"entry"}), i));
        writer.saveSnapshot(snapshotAt(50, 1, "state"));
        fixture.runUntil([&] { return fixture.synced == 100 && fixture.savedSnapshot == 50; });
    }
    auto again = DataFolder::open(fixture.folder.path());
    REQUIRE(again.has_value());
    CHECK(again->takeStored().entries.size() == 50);
}

TEST_CASE("The writer acknowledges nothing on a full disk and resumes once there is space")
{
    WriterFixture fixture;
    StorageWriter writer(fixture.loop, std::move(*DataFolder::open(fixture.folder.path())),
                         fixture.events());
    std::optional<FileSizeLimit> full(4096);
    writer.write(withSequence(entriesAt(1, {std::string(10'000, 'x')}), 1));
    writer.write(withSequence(entriesAt(2, {"small"}), 2));
    fixture.runUntil([&] { return fixture.stalls == 1; });
    CHECK(fixture.synced == 0);
    CHECK(fixture.lastError.code == Failure::StorageFull);
    full.reset();
    fixture.runUntil([&] { return fixture.synced == 2; });
    CHECK(fixture.resumes == 1);
}

TEST_CASE("The writer reports a snapshot that could not be saved, and saves the next one")
{
    WriterFixture fixture;
    StorageWriter writer(fixture.loop, std::move(*DataFolder::open(fixture.folder.path())),
                         fixture.events());
    std::optional<FileSizeLimit> full(4096);
    writer.saveSnapshot(snapshotAt(1, 1, std::string(10'000, 'x')));
    fixture.runUntil([&] { return fixture.failedSnapshots == 1; });
    CHECK(fixture.savedSnapshot == 0);
    CHECK(fixture.lastError.code == Failure::StorageFull);
    full.reset();
    writer.saveSnapshot(snapshotAt(2, 1, "state"));
    fixture.runUntil([&] { return fixture.savedSnapshot == 2; });
    CHECK(fixture.failedSnapshots == 1);
}

TEST_CASE("The writer reports superseded files that could not be removed")
{
    WriterFixture fixture;
    StorageWriter writer(fixture.loop, std::move(*DataFolder::open(fixture.folder.path())),
                         fixture.events());
    const std::string superseded = fixture.folder.path() + "/log/snapshot-00000000000000000001.bin";
    std::filesystem::create_directory(superseded);
    writer.saveSnapshot(snapshotAt(2, 1, "state"));
    fixture.runUntil([&] { return fixture.failedRemovals == 1; });
    CHECK(fixture.savedSnapshot == 2);
    CHECK(fixture.lastError.detail.find(superseded) != std::string::npos);
}
