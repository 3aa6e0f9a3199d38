#include "Support/cluster.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <optional>

using namespace Oleander::Testing;
using nlohmann::json;

namespace {

constexpr std::size_t Entries = 3;
/** Exit code for a record that does not exist; see docs/reference/exit-codes.md. */
constexpr int ExitMissing = 4;

/** Three control hosts without agents. */
struct Hosts
{
    Cluster cluster{options()};

    Hosts()
    {
        REQUIRE(cluster.start());
        REQUIRE(waitFor([&] { return leader().has_value(); }));
    }

    static ClusterOptions options()
    {
        ClusterOptions options;
        options.entries = Entries;
        options.agents = 0;
        return options;
    }

    json replicaAt(std::size_t entry) const
    {
        const auto result = cluster.operate(entry, {"status", "--output=json"});
        const json answer = json::parse(result.output, nullptr, false);
        return answer.is_object() && answer.contains("replica") ? answer["replica"]
                                                                : json::object();
    }
    std::optional<std::size_t> leader() const
    {
        for (std::size_t entry = 0; entry < Entries; ++entry) {
            if (replicaAt(entry).value("role", "") == "leader")
                return entry;
        }
        return std::nullopt;
    }
    std::size_t voters(std::size_t entry) const
    {
        const json replica = replicaAt(entry);
        return replica.contains("voters") ? replica["voters"].size() : 0;
    }
    /** Submits a drain record and returns the exit code. */
    int submitDrain(std::size_t entry, const std::string &name) const
    {
        const auto result =
            cluster.operate(entry, {"submit", "drain/" + name, "-", "--author=anna"},
                            R"({"schema":2,"worker":")" + name + R"(","reason":"fan"})");
        UNSCOPED_INFO(result.output << result.errors);
        return result.exitCode;
    }
    bool hasRecord(std::size_t entry, const std::string &name) const
    {
        return cluster.operate(entry, {"show", "drain/" + name}).exitCode == 0;
    }
    std::size_t otherEntry(std::size_t entry, std::size_t steps = 1) const
    {
        return (entry + steps) % Entries;
    }
};

} // namespace

TEST_CASE(
    "No accepted record is lost when the leader is killed, and writes continue at other hosts")
{
    Hosts hosts;
    Cluster &cluster = hosts.cluster;
    const std::size_t killed = *hosts.leader();
    std::vector<std::string> accepted;
    for (int i = 0; i < 5; ++i) {
        accepted.push_back("before-" + std::to_string(i));
        REQUIRE(hosts.submitDrain(hosts.otherEntry(killed), accepted.back()) == 0);
    }
    cluster.entry(killed).kill();
    accepted.push_back("after");
    REQUIRE(waitFor([&] { return hosts.submitDrain(hosts.otherEntry(killed), "after") == 0; }));
    cluster.startEntry(killed);
    for (const std::string &name : accepted) {
        for (std::size_t entry = 0; entry < Entries; ++entry)
            CHECK(waitFor([&] { return hosts.hasRecord(entry, name); }));
    }
}

TEST_CASE("A leader that resumes after a freeze shows the records accepted meanwhile")
{
    Hosts hosts;
    Cluster &cluster = hosts.cluster;
    const std::size_t frozen = *hosts.leader();
    cluster.entry(frozen).freeze();
    REQUIRE(waitFor([&] { return hosts.submitDrain(hosts.otherEntry(frozen), "meanwhile") == 0; }));
    cluster.entry(frozen).resume();
    // The first answer after resuming must not show the state from before the freeze.
    const auto answer = cluster.operate(frozen, {"show", "drain/meanwhile", "--output=json"});
    INFO(answer.output << answer.errors);
    CHECK(answer.exitCode != ExitMissing);
    CHECK(waitFor([&] { return hosts.hasRecord(frozen, "meanwhile"); }));
}

TEST_CASE(
    "A host with a deleted data folder is restored and the group survives losing another host")
{
    Hosts hosts;
    Cluster &cluster = hosts.cluster;
    const std::size_t lost = hosts.otherEntry(*hosts.leader());
    REQUIRE(hosts.submitDrain(lost, "kept") == 0);
    cluster.entry(lost).kill();
    std::filesystem::remove_all(cluster.dataFolder(lost));
    cluster.startEntry(lost);
    REQUIRE(waitFor([&] { return hosts.voters(lost) == Entries; }));
    REQUIRE(hosts.hasRecord(lost, "kept"));

    const std::size_t second = *hosts.leader();
    cluster.entry(second).kill();
    CHECK(waitFor([&] { return hosts.submitDrain(lost, "after-both") == 0; }));
    CHECK(hosts.hasRecord(lost, "kept"));
}

TEST_CASE("A damaged log is reported, set aside and replaced from the other hosts")
{
    Hosts hosts;
    Cluster &cluster = hosts.cluster;
    const std::size_t damaged = hosts.otherEntry(*hosts.leader());
    for (int i = 0; i < 3; ++i)
        REQUIRE(hosts.submitDrain(damaged, "kept-" + std::to_string(i)) == 0);
    cluster.entry(damaged).kill();
    const auto folder = cluster.dataFolder(damaged);
    const auto segment = folder / "log" / "segment-00000000000000000001.log";
    REQUIRE(std::filesystem::exists(segment));
    {
        std::fstream file(segment, std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(40);
        file.put('\x7f');
    }
    cluster.startEntry(damaged);
    REQUIRE(waitFor([&] { return hosts.voters(damaged) == Entries; }));
    CHECK(hosts.hasRecord(damaged, "kept-2"));
    const std::string log = cluster.entry(damaged).standardOutput();
    CHECK(log.find("control.storage-damaged") != std::string::npos);
    CHECK(log.find(segment.string()) != std::string::npos);
    CHECK(log.find("offset") != std::string::npos);
}
