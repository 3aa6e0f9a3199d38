#include "Entry/replicatask.h"

#include "Entry/replicagroup.h"
#include "Storage/testfolder.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <fstream>

using namespace Oleander;

namespace {

const std::vector<std::string> Three{"a", "b", "c"};

/** Redirects the standard output of this process, and so its log, to a file within its scope. */
class CapturedLog
{
public:
    explicit CapturedLog(std::string path) : path_(std::move(path)), before_(::dup(STDOUT_FILENO))
    {
        const int file = ::open(path_.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
        REQUIRE(before_ >= 0);
        REQUIRE(::dup2(file, STDOUT_FILENO) == STDOUT_FILENO);
        ::close(file);
    }
    ~CapturedLog()
    {
        ::dup2(before_, STDOUT_FILENO);
        ::close(before_);
    }
    CapturedLog(const CapturedLog &) = delete;
    CapturedLog &operator=(const CapturedLog &) = delete;

    /** Returns the lines of the event \a name. */
    std::vector<std::string> lines(const std::string &name) const
    {
        std::ifstream file(path_);
        std::vector<std::string> found;
        for (std::string line; std::getline(file, line);) {
            if (line.find(" name=" + name + " ") != std::string::npos)
                found.push_back(line);
        }
        return found;
    }

private:
    std::string path_;
    int before_ = -1;
};

} // namespace

TEST_CASE("Three replicas commit commands proposed through any of them")
{
    ReplicaGroup group(Three);
    for (const std::string &name : Three)
        CHECK(group.commit(name, "through " + name).has_value());
    CHECK(group.runUntil([&] {
        return group.machine("a").count() == 3 && group.machine("b").count() == 3
               && group.machine("c").count() == 3;
    }));
    CHECK(group.machine("a").commands() == group.machine("b").commands());
    CHECK(group.machine("a").commands() == group.machine("c").commands());
}

TEST_CASE("An entry without a data folder forwards to the leader")
{
    ReplicaGroup group(Three);
    group.start("door", false);
    CHECK(group.commit("door", "forwarded").has_value());
    CHECK(group.machine("door").count() == 0);
    CHECK(group.machine(group.leader()).count() == 1);
}

TEST_CASE("A read barrier at a follower waits for all commands committed before it")
{
    ReplicaGroup group(Three);
    for (std::size_t i = 0; i < 20; ++i) {
        REQUIRE(group.commit(Three[i % 3], "entry").has_value());
        const std::string &reader = Three[(i + 1) % 3];
        std::optional<bool> current;
        std::size_t seen = 0;
        group.task(reader).readBarrier([&](const Result<void> &result) {
            current = result.has_value();
            seen = group.machine(reader).count();
        });
        REQUIRE(group.runUntil([&] { return current.has_value(); }));
        if (*current)
            CHECK(seen == i + 1);
    }
}

TEST_CASE("A restarted group still has its committed commands")
{
    ReplicaGroup group(Three);
    REQUIRE(group.commit("a", "kept").has_value());
    for (const std::string &name : Three)
        group.stop(name);
    for (const std::string &name : Three)
        group.start(name, true);
    REQUIRE(group.commit("b", "more").has_value());
    CHECK(group.runUntil([&] { return group.machine("c").count() == 2; }));
    CHECK(group.machine("c").commands() == "kept\nmore\n");
}

TEST_CASE("A replica whose folder was deleted catches up and votes again")
{
    ReplicaGroup group(Three);
    REQUIRE(group.commit("a", "first").has_value());
    group.stop("c");
    std::filesystem::remove_all(group.folder("c"));
    REQUIRE(group.commit("a", "second").has_value());
    group.start("c", true);
    REQUIRE(group.runUntil([&] {
        return group.machine("c").count() == 2 && group.task("c").status().voters.size() == 3;
    }));
    // Another host is lost right after the repair, so the quorum includes the repaired replica. The
    // loss of a leader leaves the outcome of a proposal unknown.
    const bool isLeaderLost = group.leader() == "b";
    group.stop("b");
    const bool isCommitted = group.commit("a", "third").has_value();
    CHECK((isCommitted || isLeaderLost));
    CHECK(group.commit("a", "fourth").has_value());
}

TEST_CASE("A replica with a damaged log moves it to another folder and catches up")
{
    ReplicaGroup group(Three);
    REQUIRE(group.commit("a", "first").has_value());
    REQUIRE(group.commit("a", "second").has_value());
    group.stop("c");
    const std::string segment = group.folder("c") + "/log/segment-00000000000000000001.log";
    {
        std::fstream file(segment, std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(40);
        file.put('\x7f');
    }
    group.start("c", true);
    REQUIRE(group.runUntil([&] {
        return group.machine("c").count() == 2 && group.task("c").status().voters.size() == 3;
    }));
    CHECK(std::filesystem::exists(group.folder("c") + "/damaged-1"));
}

TEST_CASE("A replica that resigns is replaced before an election timeout has passed")
{
    ReplicaGroup group(Three);
    REQUIRE(group.commit("a", "first").has_value());
    const std::string before = group.leader();
    REQUIRE_FALSE(before.empty());
    group.task(before).resign();
    REQUIRE(group.runUntil([&] { return !group.leader().empty() && group.leader() != before; }));
    CHECK(group.commit("b", "second").has_value());
}

TEST_CASE("A snapshot that cannot be saved and files that cannot be removed are logged")
{
    constexpr unsigned BlockedSnapshots = 40;
    ReplicaGroup group({"a"});
    REQUIRE(group.commit("a", "first").has_value());
    group.stop("a");
    group.options().snapshotEntries = 1;
    const std::string log = group.folder("a") + "/log/";
    const auto snapshotName = [&](unsigned index) {
        return fmt::format("{}snapshot-{:020}.bin", log, index);
    };
    const CapturedLog captured(group.folder("a") + "/captured");
    group.start("a", true);
    for (unsigned index = 1; index <= BlockedSnapshots; ++index)
        std::filesystem::create_directory(snapshotName(index) + ".tmp");
    REQUIRE(group.commit("a", "second").has_value());
    REQUIRE(group.runUntil([&] { return !captured.lines("control.snapshot-failed").empty(); }));
    REQUIRE(group.commit("a", "third").has_value());
    CHECK(captured.lines("control.snapshot-failed").size() == 1);
    CHECK(captured.lines("control.snapshot-failed").front().find(log) != std::string::npos);
    for (unsigned index = 1; index <= BlockedSnapshots; ++index)
        std::filesystem::remove(snapshotName(index) + ".tmp");
    std::filesystem::create_directory(snapshotName(1));
    REQUIRE(
        group.runUntil([&] { return !captured.lines("control.storage-removal-failed").empty(); }));
    CHECK(captured.lines("control.storage-removal-failed").front().find(snapshotName(1))
          != std::string::npos);
}

TEST_CASE("A replica that starts on a full disk takes part once there is space")
{
    ReplicaGroup group({"a"});
    REQUIRE(group.commit("a", "first").has_value());
    group.stop("a");
    {
        const FileSizeLimit full(0);
        group.start("a", true);
        CHECK(group.task("a").status().role == "none");
        CHECK_FALSE(group.task("a").status().storageError.empty());
    }
    REQUIRE(group.commit("a", "second").has_value());
    CHECK(group.machine("a").commands() == "first\nsecond\n");
    CHECK(group.task("a").status().storageError.empty());
}
