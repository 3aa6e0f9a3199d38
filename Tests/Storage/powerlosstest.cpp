#include "Storage/simulateddisk.h"
#include "Storage/testfolder.h"

#include <array>
#include <functional>
#include <optional>
#include <ostream>
#include <utility>

using namespace Oleander;

namespace {

constexpr unsigned ReplicaSteps = 7;

/** What a replica would rely on after a start. */
struct Contents
{
    HardState hardState;
    std::uint64_t snapshotIndex = 0;
    std::vector<std::string> commands;

    bool operator==(const Contents &) const = default;
    friend std::ostream &operator<<(std::ostream &stream, const Contents &contents)
    {
        stream << "term " << contents.hardState.term << ", snapshot " << contents.snapshotIndex;
        for (const std::string &command : contents.commands)
            stream << ", " << command;
        return stream;
    }
};

Contents takeContents(DataFolder &data)
{
    const StoredReplica stored = data.takeStored();
    return {stored.hardState, stored.snapshot.index, commandsOf(stored)};
}

Contents contentsOf(const TestFolder &folder)
{
    DataFolder data = openFolder(folder);
    return takeContents(data);
}

/** Fails the test on an error; REQUIRE would also catch ProcessKilled. */
void requireDone(const Result<void> &result)
{
    REQUIRE(result.has_value());
}

/**
 * Two starts with writes, snapshots of both kinds and removal of files. Ends after \a steps, or
 * with the first error of a start or a write, as a replica does, and returns the first error of
 * all.
 */
Result<void> runReplica(const TestFolder &folder, unsigned steps = ReplicaSteps)
{
    WriteBatch received;
    received.snapshot = snapshotAt(9, 3, "received");
    std::optional<DataFolder> data;
    const auto start = [&] {
        data.reset();
        return DataFolder::open(folder.path()).map([&](DataFolder &&opened) {
            data = std::move(opened);
        });
    };
    struct ReplicaStep
    {
        bool endsReplica;
        std::function<Result<void>()> call;
    };
    const std::array<ReplicaStep, ReplicaSteps> calls{{
        {true,
         [&] {
             return data->write({hardStateOf(1, 77), entriesAt(1, {"one", "two"})});
         }},
        {true,
         [&] {
             return data->write({hardStateOf(2, 77), entriesAt(2, {"other", "three"}, 2)});
         }},
        {false, [&] { return data->saveSnapshot(snapshotAt(2, 2, "state")); }},
        {true,
         [&] {
             return start().and_then([&] { return data->write({entriesAt(4, {"four"}, 2)}); });
         }},
        {false, [&] { return data->removeObsoleteFiles(2); }},
        {true,
         [&] {
             return data->write({hardStateOf(3, 77), received, entriesAt(10, {"ten"}, 3)});
         }},
        {true, [&] { return data->write({entriesAt(11, {"eleven"}, 3)}); }},
    }};
    Result<void> result = start();
    if (!result)
        return result;
    for (unsigned i = 0; i < steps; ++i) {
        auto done = calls.at(i).call();
        if (result)
            result = done;
        if (!done && calls.at(i).endsReplica)
            break;
    }
    return result;
}

/** Runs \a run and returns true if the sync after \a syncs more met \a fault. */
bool meetsFault(SimulatedDisk &disk, unsigned syncs, SyncFault fault,
                const std::function<void()> &run)
{
    disk.faultAfter(syncs, fault);
    try {
        run();
    } catch (const ProcessKilled &) {
        return disk.stopFaults();
    }
    return disk.stopFaults();
}

bool isKilledAtSync(SimulatedDisk &disk, unsigned syncs, const std::function<void()> &run)
{
    return meetsFault(disk, syncs, SyncFault::Kill, run);
}

} // namespace

TEST_CASE("A record found after a kill is not lost by a later loss of power")
{
    const TestFolder folder;
    SimulatedDisk disk(folder.root());
    {
        DataFolder data = openFolder(folder);
        REQUIRE(data.write({hardStateOf(1, 77), entriesAt(1, {"one"})}));
        REQUIRE(isKilledAtSync(disk, 0,
                               [&] { static_cast<void>(data.write({entriesAt(2, {"two"})})); }));
    }
    REQUIRE(contentsOf(folder).commands == std::vector<std::string>{"one", "two"});
    SECTION("nothing is written after the restart") {}
    SECTION("the log continues in a new segment")
    {
        DataFolder data = openFolder(folder);
        REQUIRE(data.write({entriesAt(3, {"three"})}));
    }
    const Contents before = contentsOf(folder);
    disk.losePower();
    CHECK(contentsOf(folder) == before);
}

TEST_CASE("What a start finds after a kill at any sync is not lost by a later loss of power")
{
    bool killed = true;
    for (unsigned first = 0; killed; ++first) {
        bool killedAgain = true;
        for (unsigned second = 0; killedAgain; ++second) {
            const TestFolder folder;
            SimulatedDisk disk(folder.root());
            killed = isKilledAtSync(disk, first, [&] { requireDone(runReplica(folder)); });
            killedAgain = isKilledAtSync(disk, second, [&] { openFolder(folder); });
            INFO("killed at sync " << first << ", then at sync " << second);
            const Contents before = contentsOf(folder);
            disk.losePower();
            CHECK(contentsOf(folder) == before);
        }
    }
}

TEST_CASE(
    "A record whose sync failed at a start is not lost by a loss of power after the next start")
{
    const TestFolder folder;
    SimulatedDisk disk(folder.root());
    {
        DataFolder data = openFolder(folder);
        REQUIRE(data.write({hardStateOf(1, 77), entriesAt(1, {"one"})}));
        REQUIRE(isKilledAtSync(disk, 0,
                               [&] { static_cast<void>(data.write({entriesAt(2, {"two"})})); }));
    }
    disk.failSyncsOf(folder.segment(1));
    REQUIRE_FALSE(DataFolder::open(folder.path()));
    disk.failSyncsOf({});
    REQUIRE(contentsOf(folder).commands == std::vector<std::string>{"one", "two"});
    disk.losePower();
    CHECK(contentsOf(folder).commands == std::vector<std::string>{"one", "two"});
}

TEST_CASE("What a start finds after failed syncs and kills is not lost by a later loss of power")
{
    const auto firstFault = GENERATE(SyncFault::Kill, SyncFault::Fail, SyncFault::FailAndKill);
    const auto secondFault = GENERATE(SyncFault::Kill, SyncFault::Fail, SyncFault::FailAndKill);
    const bool goesOn = GENERATE(false, true);
    bool faulty = true;
    for (unsigned first = 0; faulty; ++first) {
        bool faultyAgain = true;
        for (unsigned second = 0; faultyAgain; ++second) {
            const TestFolder folder;
            SimulatedDisk disk(folder.root());
            faulty =
                meetsFault(disk, first, firstFault, [&] { static_cast<void>(runReplica(folder)); });
            faultyAgain = meetsFault(disk, second, secondFault,
                                     [&] { static_cast<void>(DataFolder::open(folder.path())); });
            INFO("fault " << static_cast<int>(firstFault) << " at sync " << first << ", then fault "
                          << static_cast<int>(secondFault) << " at sync " << second);
            Contents before;
            {
                DataFolder data = openFolder(folder);
                before = takeContents(data);
                if (goesOn) {
                    const WriteBatch next = hardStateOf(9, 77);
                    REQUIRE(data.write({next}));
                    before.hardState = *next.hardState;
                }
            }
            disk.losePower();
            CHECK(contentsOf(folder) == before);
        }
    }
}

TEST_CASE("A write that is tried again after a sync failed on a full disk is kept, and once")
{
    const bool truncatesFail = GENERATE(false, true);
    const TestFolder folder;
    SimulatedDisk disk(folder.root());
    {
        DataFolder data = openFolder(folder);
        REQUIRE(data.write({hardStateOf(1, 77), entriesAt(1, {"one"})}));
        const std::vector<WriteBatch> batches{entriesAt(2, {"two"})};
        disk.setTruncatesFail(truncatesFail);
        const bool met = meetsFault(disk, 0, SyncFault::FailFull, [&] {
            const auto refused = data.write(batches);
            REQUIRE_FALSE(refused.has_value());
            CHECK(refused.error().code == Failure::StorageFull);
        });
        REQUIRE(met);
        disk.setTruncatesFail(false);
        REQUIRE(data.write(batches));
    }
    disk.losePower();
    CHECK(contentsOf(folder).commands == std::vector<std::string>{"one", "two"});
}

TEST_CASE("What a step has stored is not lost by a loss of power with no start in between")
{
    for (unsigned steps = 0; steps <= ReplicaSteps; ++steps) {
        const TestFolder undisturbed;
        requireDone(runReplica(undisturbed, steps));
        const TestFolder folder;
        SimulatedDisk disk(folder.root());
        requireDone(runReplica(folder, steps));
        disk.losePower();
        INFO(steps << " steps");
        CHECK(contentsOf(folder) == contentsOf(undisturbed));
    }
}

TEST_CASE("A replica whose damaged log was set aside never forms a group after a loss of power")
{
    const auto open = [](const TestFolder &folder) {
        auto opened = DataFolder::open(folder.path());
        if (!opened && opened.error().code == Failure::Corrupt)
            opened = DataFolder::openAfterDamage(folder.path());
        return opened;
    };
    // A start that fails serves nothing.
    const auto startMayForm = [&](const TestFolder &folder) {
        const auto opened = open(folder);
        return opened && opened->mayForm();
    };
    const auto start = [&](const TestFolder &folder) {
        const auto opened = open(folder);
        REQUIRE(opened.has_value());
        return opened->mayForm();
    };
    const auto firstFault = GENERATE(SyncFault::Kill, SyncFault::Fail, SyncFault::FailAndKill);
    const auto secondFault = GENERATE(SyncFault::Kill, SyncFault::Fail, SyncFault::FailAndKill);
    bool faulty = true;
    for (unsigned first = 0; faulty; ++first) {
        bool faultyAgain = true;
        for (unsigned second = 0; faultyAgain; ++second) {
            const TestFolder folder;
            REQUIRE(openFolder(folder).write({entriesAt(1, {"one"})}));
            REQUIRE(openFolder(folder).write({entriesAt(2, {"two"})}));
            setFileBytes(folder.segment(1), "damaged");
            SimulatedDisk disk(folder.root());
            faulty = meetsFault(disk, first, firstFault, [&] {
                static_cast<void>(DataFolder::openAfterDamage(folder.path()));
            });
            bool mayForm = false;
            faultyAgain =
                meetsFault(disk, second, secondFault, [&] { mayForm = startMayForm(folder); });
            INFO("fault " << static_cast<int>(firstFault) << " at sync " << first << ", then fault "
                          << static_cast<int>(secondFault) << " at sync " << second);
            CHECK_FALSE(mayForm);
            CHECK_FALSE(start(folder));
            disk.losePower();
            CHECK_FALSE(start(folder));
        }
    }
}

TEST_CASE("A data folder below folders that it created is not lost by a loss of power")
{
    bool killed = true;
    for (unsigned syncs = 0; killed; ++syncs) {
        const TestFolder folder("/region/host/data");
        SimulatedDisk disk(folder.root());
        killed = isKilledAtSync(disk, syncs, [&] { openFolder(folder); });
        REQUIRE(openFolder(folder).write({entriesAt(1, {"one"})}));
        disk.losePower();
        INFO("killed at sync " << syncs);
        CHECK(contentsOf(folder).commands == std::vector<std::string>{"one"});
    }
}

TEST_CASE("Only the names that a start has created and that of the data folder must be synced")
{
    const TestFolder folder("/region/host/data");
    SimulatedDisk disk(folder.root());
    const auto opens = [&] { return DataFolder::open(folder.path()).has_value(); };
    SECTION("the name of a folder that was there is not synced")
    {
        std::filesystem::create_directories(folder.root() + "/region/host");
        disk.failSyncsOf(folder.root() + "/region");
        CHECK(opens());
    }
    SECTION("the name of the data folder is not synced")
    {
        std::filesystem::create_directories(folder.path());
        disk.failSyncsOf(folder.root() + "/region/host");
        CHECK_FALSE(opens());
    }
    SECTION("the name of a created folder is not synced")
    {
        disk.failSyncsOf(folder.root());
        CHECK_FALSE(opens());
        CHECK_FALSE(opens());
    }
}

TEST_CASE("A loss of power while old segments are removed leaves a log that can be read")
{
    constexpr std::uint64_t Segments = 4;
    constexpr unsigned SeedsPerSync = 4;
    for (unsigned seed = 0; seed < Segments * SeedsPerSync; ++seed) {
        const TestFolder folder;
        SimulatedDisk disk(folder.root());
        for (std::uint64_t i = 1; i <= Segments; ++i)
            REQUIRE(openFolder(folder).write({entriesAt(i, {std::to_string(i)})}));
        {
            DataFolder data = openFolder(folder);
            REQUIRE(data.write({entriesAt(Segments + 1, {"last"})}));
            REQUIRE(data.saveSnapshot(snapshotAt(Segments, 1, "state")));
            isKilledAtSync(disk, seed / SeedsPerSync,
                           [&] { static_cast<void>(data.removeObsoleteFiles(Segments)); });
        }
        // Each removed name that is not synced reaches the disk or does not. The lower bits of a
        // linear congruential generator repeat after a few steps.
        std::uint32_t randomBits = seed;
        disk.losePower([&] {
            randomBits = randomBits * 1'103'515'245U + 12'345U;
            return (randomBits >> 16U) % 2 == 0;
        });
        INFO("seed " << seed);
        CHECK(contentsOf(folder).commands == std::vector<std::string>{"last"});
    }
}

TEST_CASE("No segment is removed before the removal of the one before it is synced")
{
    const TestFolder folder;
    SimulatedDisk disk(folder.root());
    for (std::uint64_t i = 1; i <= 3; ++i)
        REQUIRE(openFolder(folder).write({entriesAt(i, {std::to_string(i)})}));
    {
        DataFolder data = openFolder(folder);
        REQUIRE(data.write({entriesAt(4, {"last"})}));
        REQUIRE(data.saveSnapshot(snapshotAt(3, 1, "state")));
        disk.failSyncsOf(folder.path() + "/log");
        CHECK_FALSE(data.removeObsoleteFiles(3));
        CHECK_FALSE(data.removeObsoleteFiles(3));
        disk.failSyncsOf({});
    }
    // The first change of a name is lost, the second one reaches the disk.
    bool survives = true;
    disk.losePower([&] { return survives = !survives; });
    CHECK(contentsOf(folder).commands == std::vector<std::string>{"last"});
}

TEST_CASE("The hard state outlives the removal of segments while the last segment is empty")
{
    // A removal that is lost with the power would hide that the hard state was removed.
    const bool removalsSurvive = GENERATE(false, true);
    const TestFolder folder;
    SimulatedDisk disk(folder.root());
    REQUIRE(openFolder(folder).write({hardStateOf(5, 77), entriesAt(1, {"one", "two"})}));
    const auto takeSnapshot = [](DataFolder &data) {
        REQUIRE(data.saveSnapshot(snapshotAt(2, 1, "state")));
        REQUIRE(data.removeObsoleteFiles(2));
    };
    SECTION("a process was killed before the first write to the segment")
    {
        {
            DataFolder data = openFolder(folder);
            REQUIRE(isKilledAtSync(
                disk, 0, [&] { static_cast<void>(data.write({entriesAt(3, {"three"})})); }));
        }
        DataFolder data = openFolder(folder);
        takeSnapshot(data);
    }
    SECTION("the disk was full at the first write to the segment")
    {
        DataFolder data = openFolder(folder);
        {
            const FileSizeLimit full(0);
            REQUIRE_FALSE(data.write({entriesAt(3, {"three"})}));
        }
        takeSnapshot(data);
    }
    REQUIRE(fileBytes(folder.segment(2)).empty());
    disk.losePower([&] { return removalsSurvive; });
    const HardState found = contentsOf(folder).hardState;
    CHECK(found.term == 5);
    CHECK(found.votedFor == "a");
    CHECK(found.incarnation == 77);
}

TEST_CASE("A start whose data cannot be synced is refused")
{
    const TestFolder folder;
    REQUIRE(openFolder(folder).write({entriesAt(1, {"one"})}));
    SimulatedDisk disk(folder.root());
    SECTION("a segment cannot be synced")
    {
        disk.failSyncsOf(folder.segment(1));
    }
    SECTION("the names of the files cannot be synced")
    {
        disk.failSyncsOf(folder.path() + "/log");
    }
    const auto refused = DataFolder::open(folder.path());
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().code == Failure::Io);
}

TEST_CASE("A torn record that a start has cut does not return with a later loss of power")
{
    const TestFolder folder;
    std::size_t whole = 0;
    {
        DataFolder data = openFolder(folder);
        REQUIRE(data.write({entriesAt(1, {"one"})}));
        whole = data.logBytes();
        REQUIRE(data.write({entriesAt(2, {"torn"})}));
    }
    setFileBytes(folder.segment(1), fileBytes(folder.segment(1)).substr(0, whole + 1));
    SimulatedDisk disk(folder.root());
    REQUIRE(openFolder(folder).write({entriesAt(2, {"two"})}));
    CHECK(contentsOf(folder).commands == std::vector<std::string>{"one", "two"});
    disk.losePower();
    CHECK(contentsOf(folder).commands == std::vector<std::string>{"one", "two"});
}

TEST_CASE("A log is not set aside on disk before its replica is marked as unable to form a group")
{
    constexpr unsigned ChangedNames = 3;
    for (unsigned kept = 0; kept < 1U << ChangedNames; ++kept) {
        bool killed = true;
        for (unsigned syncs = 0; killed; ++syncs) {
            const TestFolder folder;
            REQUIRE(openFolder(folder).write({entriesAt(1, {"one"})}));
            REQUIRE(openFolder(folder).write({entriesAt(2, {"two"})}));
            setFileBytes(folder.segment(1), "damaged");
            SimulatedDisk disk(folder.root());
            killed = isKilledAtSync(disk, syncs, [&] {
                static_cast<void>(DataFolder::openAfterDamage(folder.path()));
            });
            unsigned names = kept;
            disk.losePower([&] { return std::exchange(names, names / 2) % 2 == 1; });
            INFO("killed at sync " << syncs << ", names kept " << kept);
            const auto opened = DataFolder::open(folder.path());
            CHECK((!opened || !opened->mayForm()));
        }
    }
}

TEST_CASE("A log is not refused after a loss of power that kept only the end of an unsynced write")
{
    const TestFolder folder;
    std::size_t whole = 0;
    {
        DataFolder data = openFolder(folder);
        REQUIRE(data.write({entriesAt(1, {"one"})}));
        whole = data.logBytes();
        SimulatedDisk disk(folder.root());
        REQUIRE(isKilledAtSync(disk, 0, [&] {
            static_cast<void>(data.write({entriesAt(2, {"two"}), entriesAt(3, {"three"})}));
        }));
    }
    std::string bytes = fileBytes(folder.segment(1));
    bytes[whole] = '\0';
    setFileBytes(folder.segment(1), bytes);
    CHECK(contentsOf(folder).commands == std::vector<std::string>{"one"});
}
