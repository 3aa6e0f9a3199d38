#include "Support/cluster.h"
#include "Support/httpcall.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

using namespace Oleander::Testing;
using Catch::Matchers::Contains;
using nlohmann::json;

namespace {

std::string valuesOf(int number)
{
    return R"({"schema":2,"values":{"x":")" + std::to_string(number) + "\"}}";
}

bool holds(const json &list, const std::string &name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

/** A cluster whose links can be interrupted, and the revision of its configuration record. */
struct Fixture
{
    Cluster cluster{options()};
    int revision = 0;

    static ClusterOptions options()
    {
        ClusterOptions options;
        options.workers = false;
        options.forwardLinks = true;
        return options;
    }

    /** Changes the configuration through an entry; returns its "configuration" in the answer. */
    json change(std::size_t entry, const std::string &wait)
    {
        std::vector<std::string> words{revision == 0 ? "submit" : "amend",
                                       "configuration/c",
                                       "-",
                                       "--author=anna",
                                       "--output=json",
                                       "--wait=" + wait};
        if (revision > 0)
            words.push_back("--revision=" + std::to_string(revision));
        const auto result = cluster.operate(entry, words, valuesOf(++revision));
        INFO(result.errors);
        REQUIRE(result.exitCode == 0);
        return json::parse(result.output)["configuration"];
    }
    json spreadAt(std::size_t entry)
    {
        const auto result = cluster.operate(entry, {"status", "--output=json"});
        return result.exitCode == 0 ? json::parse(result.output)["configuration"] : json::object();
    }
    /** Sends a caller's request; the status is 0 if there was no answer. */
    HttpReply get(std::size_t entry, const std::string &path)
    {
        return httpCall(cluster.callerDoor(entry), {"GET", path, {}, {}}).value_or(HttpReply{});
    }
    bool isInForceAt(std::size_t entry, std::uint64_t version, const std::string &process)
    {
        const auto spread = spreadAt(entry);
        return !spread.empty() && spread["version"] >= version
               && holds(spread["in-force-at"], process);
    }
};

} // namespace

TEST_CASE("The answer says that a configuration is in force everywhere, or on whom it waits")
{
    Fixture fixture;
    REQUIRE(fixture.cluster.start());
    REQUIRE(waitFor([&] { return fixture.isInForceAt(0, 0, "agent-2"); }));
    const auto everywhere = fixture.change(0, "30");
    INFO(everywhere.dump());
    CHECK(everywhere["in-force-everywhere"] == true);
    for (const char *process : {"entry-1", "entry-2", "entry-3", "agent-1", "agent-2"})
        CHECK(holds(everywhere["in-force-at"], process));

    fixture.cluster.isolate("agent-2");
    const auto waiting = fixture.change(1, "0");
    CHECK(waiting["in-force-everywhere"] == false);
    // After its lease has expired, the agent refuses work and is no longer waited for.
    const auto cut = fixture.change(1, "30");
    INFO(cut.dump());
    CHECK(cut["in-force-everywhere"] == true);
    CHECK(holds(cut["cut-off"], "agent-2"));

    fixture.cluster.heal();
    const auto version = cut["version"].get<std::uint64_t>();
    CHECK(waitFor([&] { return fixture.isInForceAt(1, version, "agent-2"); }));
    // The leader records the event at its own next check, which may follow the answer.
    const std::string event =
        "Configuration " + std::to_string(version) + " is in force everywhere";
    CommandResult events;
    waitFor([&] {
        events = fixture.cluster.operate(2, {"events", "--output=json"});
        return events.output.find(event) != std::string::npos;
    });
    INFO(events.errors);
    CHECK_THAT(events.output, Contains(event));
}

TEST_CASE("A cut-off entry refuses with not-run and rejoins with the version in force")
{
    Fixture fixture;
    REQUIRE(fixture.cluster.start());
    fixture.change(0, "30");
    REQUIRE(waitFor([&] { return fixture.get(2, "/healthz").status == 200; }));
    fixture.cluster.isolate("entry-3");
    REQUIRE(waitFor([&] { return fixture.get(2, "/healthz").status == 503; }));
    const auto refused = fixture.get(2, "/notices/1");
    CHECK(refused.status == 503);
    CHECK_THAT(refused.body, Contains("\"outcome\":\"not-run\"") && Contains("configuration"));
    CHECK(fixture.cluster.operate(2, {"status", "--timeout=1"}).exitCode == 5);

    const auto missed = fixture.change(0, "30");
    const auto version = missed["version"].get<std::uint64_t>();
    fixture.cluster.heal();
    REQUIRE(waitFor([&] { return fixture.get(2, "/healthz").status == 200; }));
    CHECK(fixture.spreadAt(2)["version"].get<std::uint64_t>() >= version);
}

TEST_CASE("Restarted entries and agents never return to an older configuration")
{
    Fixture fixture;
    REQUIRE(fixture.cluster.start());
    std::uint64_t version = 0;
    for (std::size_t round = 0; round < 3; ++round) {
        version = fixture.change((round + 1) % 3, "30")["version"].get<std::uint64_t>();
        fixture.cluster.entry(round).kill();
        fixture.cluster.agent(round % 2).kill();
        fixture.cluster.startEntry(round);
        fixture.cluster.startAgent(round % 2);
        REQUIRE(fixture.cluster.waitStarted(fixture.cluster.entry(round)));
        REQUIRE(waitFor([&] {
            const auto spread = fixture.spreadAt(round);
            // A restarted entry must not report an older version as confirmed.
            return !spread.empty() && spread["version"].get<std::uint64_t>() >= version;
        }));
        CHECK(fixture.spreadAt(round)["version"].get<std::uint64_t>() == version);
        const auto agent = "agent-" + std::to_string(round % 2 + 1);
        CHECK(waitFor([&] { return fixture.isInForceAt(round, version, agent); }));
    }
}
