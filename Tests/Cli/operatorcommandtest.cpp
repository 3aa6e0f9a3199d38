#include "Support/cluster.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Oleander::Testing;
using Catch::Matchers::Contains;
using nlohmann::json;

namespace {

const std::string Batch = R"({"schema":1,"team":"t","cores":1,"memory-gib":1,"command":"run 1"})";
const std::string Other = R"({"schema":1,"team":"t","cores":1,"memory-gib":1,"command":"run 2"})";
const std::string Drain = R"({"schema":2,"worker":"agent-1","reason":"fan"})";

/** Three entries without agents, sufficient for tests of records. */
ClusterOptions entriesOnly()
{
    ClusterOptions options;
    options.agents = 0;
    options.workers = false;
    return options;
}

} // namespace

TEST_CASE("Usage errors are reported before any request is sent")
{
    const Cluster cluster(entriesOnly());
    const auto exitOf = [&](std::vector<std::string> words, const std::string &input,
                            const std::string &expected) {
        const auto result = cluster.operate(0, std::move(words), input);
        INFO(result.errors);
        CHECK_THAT(result.errors, Contains(expected));
        CHECK(result.output.empty());
        return result.exitCode;
    };
    CHECK(exitOf({"show", "archive"}, "", "allowed is KIND/NAME") == 2);
    CHECK(exitOf({"show", "job/a"}, "", "'job'") == 2);
    CHECK(exitOf({"submit", "batch/a"}, "", "usage") == 2);
    CHECK(exitOf({"amend", "batch/a", "-"}, Batch, "--revision") == 2);
    CHECK(exitOf({"withdraw"}, "", "No record was named") == 2);
    CHECK(exitOf({"list", "--output=xml"}, "", "table or json") == 2);
    CHECK(exitOf({"submit", "batch/a", "/no/such/file"}, "", "/no/such/file") == 2);
    CHECK(exitOf({"submit", "batch/a", "-"}, "{}", "'schema' is missing") == 1);
}

TEST_CASE("Without a reachable entry a change fails as unavailable")
{
    const Cluster cluster(entriesOnly());
    const auto result =
        cluster.operate(0, {"submit", "batch/a", "-", "--timeout=1", "--author=anna"}, Batch);
    CHECK(result.exitCode == 5);
    CHECK_THAT(result.errors, Contains("step connect") && Contains(cluster.operatorDoor(0)));
}

TEST_CASE("Operators submit, resend, amend concurrently, withdraw in bulk and read the outcomes")
{
    Cluster cluster(entriesOnly());
    REQUIRE(cluster.start());

    const auto created = cluster.operate(
        0, {"submit", "batch/a", "-", "--author=anna", "--key=k1", "--output=json"}, Batch);
    INFO(created.errors);
    REQUIRE(created.exitCode == 0);
    CHECK(json::parse(created.output)["revision"] == 1);

    // A resend through another entry gets the first answer.
    const auto again = cluster.operate(
        1, {"submit", "batch/a", "-", "--author=anna", "--key=k1", "--output=json"}, Batch);
    REQUIRE(again.exitCode == 0);
    CHECK(json::parse(again.output)["replayed"] == true);
    CHECK(json::parse(again.output)["index"] == json::parse(created.output)["index"]);

    // Amendments of one revision through two entries: the first wins, the second is a conflict
    // that names the author of the first.
    CHECK(cluster.operate(1, {"amend", "batch/a", "-", "--author=bjorn", "--revision=1"}, Other)
              .exitCode
          == 0);
    const auto lost =
        cluster.operate(2, {"amend", "batch/a", "-", "--author=carla", "--revision=1"}, Batch);
    CHECK(lost.exitCode == 3);
    CHECK_THAT(lost.errors, Contains("bjorn") && Contains("revision 2"));

    CHECK(cluster.operate(2, {"show", "batch/none"}).exitCode == 4);
    const auto shown = cluster.operate(2, {"show", "batch/a"});
    CHECK(shown.exitCode == 0);
    CHECK_THAT(shown.output, Contains("run 2") && Contains("bjorn"));

    CHECK(cluster.operate(0, {"submit", "drain/d", "-", "--author=anna"}, Drain).exitCode == 0);
    const auto bulk = cluster.operate(1, {"withdraw", "--from=-", "--author=anna"},
                                      "batch/a\ndrain/d\nbatch/none\n");
    CHECK(bulk.exitCode == 1);
    CHECK_THAT(bulk.output,
               Contains("2 withdrawn or gone already, 1 refused") && Contains("missing"));
    const auto late =
        cluster.operate(0, {"amend", "batch/a", "-", "--author=bjorn", "--revision=2"}, Other);
    CHECK(late.exitCode == 3);
    CHECK_THAT(late.errors, Contains("withdrawn by anna"));

    const auto events = cluster.operate(2, {"events", "--after=1", "--output=json"});
    REQUIRE(events.exitCode == 0);
    const json listed = json::parse(events.output);
    for (const auto &event : listed.at("events"))
        CHECK(event["number"].get<int>() > 1);
    CHECK_THAT(events.output, Contains("was withdrawn by anna"));
    const auto status = cluster.operate(0, {"status"});
    CHECK(status.exitCode == 0);
    CHECK_THAT(status.output, Contains("leader") && Contains("entry-1"));
}

TEST_CASE("The command line fails over to the next entry without losing the change")
{
    Cluster cluster(entriesOnly());
    REQUIRE(cluster.start());
    const auto all = "--server=" + cluster.operatorDoor(0) + "," + cluster.operatorDoor(1) + ","
                     + cluster.operatorDoor(2);
    REQUIRE(cluster.operate(0, {"submit", "batch/a", "-", "--author=anna"}, Batch).exitCode == 0);
    cluster.entry(0).kill();
    const auto amended = cluster.operate(
        0, {"amend", "batch/a", "-", "--author=anna", "--revision=1", "--timeout=40", all}, Other);
    INFO(amended.errors);
    CHECK(amended.exitCode == 0);
    const auto shown = cluster.operate(1, {"show", "batch/a", "--output=json"});
    REQUIRE(shown.exitCode == 0);
    CHECK(json::parse(shown.output)["revision"] == 2);
}
