#include "Entry/replicatask.h"

#include "Entry/replicagroup.h"

#include <fstream>

using namespace Oleander;

namespace {

const std::vector<std::string> Three{"a", "b", "c"};

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
    // Another host is lost right after the repair, so the quorum includes the repaired replica.
    group.stop("b");
    CHECK(group.commit("a", "third").has_value());
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
