#include "Storage/snapshotfile.h"
#include "Storage/testfolder.h"
#include "Support/mutation.h"

#include <algorithm>

using namespace Oleander;
using Testing::Mutator;

namespace {

constexpr int Files = 400;

} // namespace

TEST_CASE("Altered bytes of a segment are an error or cost only the end of the log")
{
    constexpr std::uint64_t Records = 20;
    const TestFolder folder;
    std::vector<std::string> written;
    {
        DataFolder data = openFolder(folder);
        for (std::uint64_t index = 1; index <= Records; ++index) {
            written.push_back("command " + std::to_string(index));
            REQUIRE(data.write({entriesAt(index, {written.back()})}).has_value());
        }
    }
    const std::string original = fileBytes(folder.segment(1));
    Mutator mutator(1);
    int refused = 0;
    int opened = 0;
    for (int i = 0; i < Files; ++i) {
        setFileBytes(folder.segment(1), mutator.alter(original));
        INFO("file " << i);
        auto data = DataFolder::open(folder.path());
        if (!data) {
            ++refused;
            REQUIRE(data.error().code == Failure::Corrupt);
            REQUIRE(data.error().detail.find(folder.segment(1)) != std::string::npos);
            continue;
        }
        ++opened;
        const std::vector<std::string> read = commandsOf(data->takeStored());
        REQUIRE(read.size() <= written.size());
        REQUIRE(std::equal(read.begin(), read.end(), written.begin()));
    }
    // The changes must reach both outcomes often enough for the test to be meaningful.
    CHECK(refused > Files / 10);
    CHECK(opened > Files / 10);
}

TEST_CASE("Altered bytes of a snapshot are an error, never another snapshot")
{
    const TestFolder folder;
    std::filesystem::create_directories(folder.path());
    const Snapshot snapshot = snapshotAt(9, 3, "the state of the group");
    REQUIRE(writeSnapshotFile(folder.path(), snapshot).has_value());
    const std::string path = folder.path() + "/" + snapshotFileName(snapshot.index);
    const std::string original = fileBytes(path);
    Mutator mutator(2);
    int refused = 0;
    for (int i = 0; i < Files; ++i) {
        const std::string altered = mutator.alter(original);
        setFileBytes(path, altered);
        INFO("file " << i);
        const auto read = readSnapshotFile(path);
        if (!read) {
            ++refused;
            REQUIRE(read.error().code == Failure::Corrupt);
            REQUIRE(read.error().detail.find(path) != std::string::npos);
            continue;
        }
        REQUIRE(altered == original);
        REQUIRE(*read->data == *snapshot.data);
    }
    CHECK(refused > Files / 2);
}

TEST_CASE("A snapshot whose header moves the end of its metadata is refused")
{
    const TestFolder folder;
    std::filesystem::create_directories(folder.path());
    REQUIRE(writeSnapshotFile(folder.path(), snapshotAt(9, 3, "state")).has_value());
    const std::string path = folder.path() + "/" + snapshotFileName(9);
    const std::string original = fileBytes(path);
    // The sizes of the metadata and of the data stand one after the other in the header.
    constexpr std::size_t HeaderBytes = 24;
    for (std::size_t metadataAt = 0; metadataAt < HeaderBytes; ++metadataAt) {
        for (std::size_t dataAt = 0; dataAt < HeaderBytes; ++dataAt) {
            for (const int moved : {-1, 1, 100}) {
                std::string altered = original;
                altered[metadataAt] = static_cast<char>(altered[metadataAt] + moved);
                altered[dataAt] = static_cast<char>(altered[dataAt] - moved);
                if (altered == original)
                    continue;
                setFileBytes(path, altered);
                INFO("metadata " << metadataAt << ", data " << dataAt << ", moved " << moved);
                REQUIRE_FALSE(readSnapshotFile(path).has_value());
            }
        }
    }
}
