#include "Storage/datafolder.h"

#include "Storage/testfolder.h"

using namespace Oleander;

namespace {

using Commands = std::vector<std::string>;

} // namespace

TEST_CASE("Written batches are loaded when the folder is opened again")
{
    const TestFolder folder;
    {
        DataFolder data = openFolder(folder);
        CHECK(data.mayForm());
        REQUIRE(data.write({hardStateOf(3, 77), entriesAt(1, {"one", "two", "three"})}));
        // The third entry is superseded.
        REQUIRE(data.write({entriesAt(3, {"other"}, 2), entriesAt(4, {"four"}, 2)}));
    }
    DataFolder data = openFolder(folder);
    const StoredReplica stored = data.takeStored();
    CHECK(stored.hardState == HardState{3, "a", 77});
    CHECK(commandsOf(stored) == Commands{"one", "two", "other", "four"});
    CHECK(stored.entries.at(2).term == 2);
    CHECK(data.tornBytes() == 0);
}

TEST_CASE("A record torn at any byte is cut off and all earlier records are kept")
{
    const TestFolder folder;
    std::size_t whole = 0;
    {
        DataFolder data = openFolder(folder);
        REQUIRE(data.write({hardStateOf(1, 77), entriesAt(1, {"one", "two"})}));
        whole = data.logBytes();
        REQUIRE(data.write({entriesAt(3, {"three"})}));
    }
    const std::string bytes = fileBytes(folder.segment(1));
    for (std::size_t length = whole + 1; length < bytes.size(); ++length) {
        setFileBytes(folder.segment(1), bytes.substr(0, length));
        DataFolder data = openFolder(folder);
        CHECK(data.tornBytes() == length - whole);
        CHECK(commandsOf(data.takeStored()) == Commands{"one", "two"});
        REQUIRE(data.write({entriesAt(3, {"again"})}));
        std::filesystem::remove(folder.segment(2));
    }
}

TEST_CASE("Damage before the last record is an error with file and offset")
{
    const TestFolder folder;
    std::size_t first = 0;
    {
        DataFolder data = openFolder(folder);
        REQUIRE(data.write({hardStateOf(1, 77), entriesAt(1, {"one", "two"})}));
        first = data.logBytes();
        REQUIRE(data.write({entriesAt(3, {"three"})}));
    }
    const std::string bytes = fileBytes(folder.segment(1));
    for (std::size_t at = 0; at < first; ++at) {
        std::string damaged = bytes;
        damaged[at] = static_cast<char>(damaged[at] ^ 0x40);
        setFileBytes(folder.segment(1), damaged);
        const auto refused = DataFolder::open(folder.path());
        REQUIRE_FALSE(refused.has_value());
        CHECK(refused.error().code == Failure::Corrupt);
        CHECK(refused.error().detail.find(folder.segment(1)) != std::string::npos);
        CHECK(refused.error().detail.find("offset") != std::string::npos);
    }
}

TEST_CASE("Damage at the end of an earlier segment is not treated as a torn write")
{
    const TestFolder folder;
    for (int round = 0; round < 2; ++round) {
        DataFolder data = openFolder(folder);
        REQUIRE(data.write({entriesAt(static_cast<std::uint64_t>(round) + 1, {"entry"})}));
    }
    const std::string bytes = fileBytes(folder.segment(1));
    setFileBytes(folder.segment(1), bytes.substr(0, bytes.size() - 1));
    const auto cut = DataFolder::open(folder.path());
    REQUIRE_FALSE(cut.has_value());
    CHECK(cut.error().code == Failure::Corrupt);
    setFileBytes(folder.segment(1), {});
    const auto emptied = DataFolder::open(folder.path());
    REQUIRE_FALSE(emptied.has_value());
    CHECK(emptied.error().code == Failure::Corrupt);
}

TEST_CASE("A damaged log is moved to a subfolder and its replica may only join")
{
    const TestFolder folder;
    {
        DataFolder data = openFolder(folder);
        REQUIRE(data.write({hardStateOf(9, 77), entriesAt(1, {"one"})}));
    }
    {
        auto fresh = DataFolder::openAfterDamage(folder.path());
        REQUIRE(fresh.has_value());
        CHECK_FALSE(fresh->mayForm());
        CHECK(fresh->takeStored().hardState == HardState{});
    }
    CHECK(std::filesystem::exists(folder.path() + "/damaged-1"));
    CHECK_FALSE(openFolder(folder).mayForm());
}

TEST_CASE("A folder whose name is too long is an error")
{
    const TestFolder folder("/" + std::string(300, 'x'));
    const auto refused = DataFolder::open(folder.path());
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().code == Failure::Io);
    CHECK(refused.error().detail.find(folder.path()) != std::string::npos);
}

TEST_CASE("A folder cannot be opened twice at the same time")
{
    const TestFolder folder;
    const DataFolder data = openFolder(folder);
    const auto second = DataFolder::open(folder.path());
    REQUIRE_FALSE(second.has_value());
    CHECK(second.error().code == Failure::Conflict);
}

TEST_CASE("A write fails on a full disk, leaves the log intact and succeeds once there is space")
{
    const TestFolder folder;
    const std::string large(10'000, 'x');
    {
        DataFolder data = openFolder(folder);
        REQUIRE(data.write({hardStateOf(1, 77), entriesAt(1, {"one"})}));
        {
            const FileSizeLimit full(4096);
            const auto refused = data.write({entriesAt(2, {large})});
            REQUIRE_FALSE(refused.has_value());
            CHECK(refused.error().code == Failure::StorageFull);
            CHECK(refused.error().detail.find(folder.segment(1)) != std::string::npos);
            CHECK(fileBytes(folder.segment(1)).size() == data.logBytes());
        }
        REQUIRE(data.write({entriesAt(2, {large})}));
    }
    CHECK(commandsOf(openFolder(folder).takeStored()) == Commands{"one", large});
}

TEST_CASE("Segments before a snapshot are removed")
{
    const TestFolder folder;
    {
        DataFolder data = openFolder(folder);
        REQUIRE(data.write({hardStateOf(5, 77), entriesAt(1, {"one", "two"})}));
    }
    {
        DataFolder data = openFolder(folder);
        REQUIRE(data.write({entriesAt(3, {"three", "four"})}));
        REQUIRE(data.saveSnapshot(snapshotAt(3, 1, "state after three")));
        REQUIRE(data.removeObsoleteFiles(3));
        CHECK_FALSE(std::filesystem::exists(folder.segment(1)));
        REQUIRE(data.write({entriesAt(5, {"five"})}));
    }
    const StoredReplica stored = openFolder(folder).takeStored();
    CHECK(stored.hardState == HardState{5, "a", 77});
    CHECK(stored.snapshot.index == 3);
    CHECK(*stored.snapshot.data == "state after three");
    CHECK(stored.snapshot.membership.isVoter("a", 1));
    CHECK(commandsOf(stored) == Commands{"four", "five"});
}

TEST_CASE("A received snapshot replaces a log that does not hold its last entry")
{
    const TestFolder folder;
    {
        DataFolder data = openFolder(folder);
        REQUIRE(data.write({entriesAt(1, {"one", "two", "three"})}));
        WriteBatch received;
        received.snapshot = snapshotAt(2, 4, "state");
        REQUIRE(data.write({received, entriesAt(3, {"next"}, 4)}));
    }
    CHECK(commandsOf(openFolder(folder).takeStored()) == Commands{"next"});
}

TEST_CASE("A received snapshot replaces the log even if a crash prevented its log record")
{
    const TestFolder folder;
    {
        DataFolder data = openFolder(folder);
        REQUIRE(data.write({entriesAt(1, {"one", "two", "three"})}));
        REQUIRE(data.saveSnapshot(snapshotAt(2, 4, "state")));
    }
    CHECK(commandsOf(openFolder(folder).takeStored()).empty());
}

TEST_CASE("What follows a received snapshot is kept although a crash prevented its log record")
{
    const TestFolder folder;
    {
        DataFolder data = openFolder(folder);
        REQUIRE(data.write({entriesAt(1, {"one", "two", "three"})}));
        REQUIRE(data.saveSnapshot(snapshotAt(2, 4, "state")));
    }
    REQUIRE(openFolder(folder).write({entriesAt(3, {"next"}, 4)}));
    CHECK(commandsOf(openFolder(folder).takeStored()) == Commands{"next"});
    REQUIRE(openFolder(folder).write({entriesAt(4, {"last"}, 4)}));
    CHECK(commandsOf(openFolder(folder).takeStored()) == Commands{"next", "last"});
}

TEST_CASE("A snapshot ahead of the synced log is followed by the entries after it")
{
    const TestFolder folder;
    {
        DataFolder data = openFolder(folder);
        REQUIRE(data.write({entriesAt(1, {"one", "two"})}));
        REQUIRE(data.saveSnapshot(snapshotAt(5, 1, "state")));
        REQUIRE(data.write({entriesAt(6, {"six"})}));
    }
    CHECK(commandsOf(openFolder(folder).takeStored()) == Commands{"six"});
}

TEST_CASE("A damaged snapshot is an error with the file name")
{
    const TestFolder folder;
    {
        const DataFolder data = openFolder(folder);
        REQUIRE(data.saveSnapshot(snapshotAt(7, 1, "state")));
    }
    const std::string path = folder.path() + "/log/snapshot-00000000000000000007.bin";
    const std::string bytes = fileBytes(path);
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        std::string damaged = bytes;
        damaged[at] = static_cast<char>(damaged[at] ^ 1);
        setFileBytes(path, damaged);
        const auto refused = DataFolder::open(folder.path());
        REQUIRE_FALSE(refused.has_value());
        CHECK(refused.error().code == Failure::Corrupt);
        CHECK(refused.error().detail.find(path) != std::string::npos);
    }
}
