#include "State/controlstate.h"

#include "Protocol/codec.h"

#include <catch2/catch.hpp>

using namespace Oleander;
using namespace Oleander::Records;
using namespace Oleander::State;

namespace {

const WallTime Noon{std::chrono::seconds(1700000000)};

Submit submitOf(RecordKind kind, const std::string &name, Spec spec,
                std::optional<std::uint64_t> ifMatch = std::nullopt)
{
    return {{"anna", "", Noon}, {kind, name}, 2, std::move(spec), ifMatch};
}

/** A control state that applies encoded commands at increasing log indexes, as a replica does. */
struct Fixture
{
    ControlState state;
    std::uint64_t index = 0;

    template<typename Expected>
    Expected apply(const Command &command)
    {
        const auto outcome = outcomeOf<Expected>(state.apply(++index, encodeCommand(command)));
        REQUIRE(outcome.has_value());
        return *outcome;
    }
    Change submit(const Submit &command) { return apply<ChangeOutcome>(command).changes.front(); }
};

} // namespace

TEST_CASE("An accepted batch record is queued as a task in the same step")
{
    Fixture fixture;
    fixture.submit(submitOf(RecordKind::Batch, "pack", BatchSpec{"team", {100, 64, 0}, "run"}));
    CHECK(fixture.state.tasks().tasksOf({RecordKind::Batch, "pack"}).size() == 1);
    CHECK(fixture.state.events().after(0, 100).events.front().index == 1);
    CHECK(fixture.state.events().after(0, 100).events.front().time == Noon);
}

TEST_CASE("The version of the configuration is the log index of its last change")
{
    Fixture fixture;
    fixture.submit(submitOf(RecordKind::Drain, "d", DrainSpec{"w1", "fan"}));
    CHECK(fixture.state.configuration().version == 0);
    fixture.submit(submitOf(RecordKind::Configuration, "a", ConfigurationSpec{{{"x", "1"}}}));
    fixture.submit(submitOf(RecordKind::Configuration, "a.b", ConfigurationSpec{{{"x", "2"}}}));
    CHECK(fixture.state.configuration() == Configuration{3, {{"a/x", "1"}, {"a.b/x", "2"}}});
    fixture.submit(submitOf(RecordKind::Configuration, "a", ConfigurationSpec{{{"y", "3"}}}, 1));
    CHECK(fixture.state.configuration() == Configuration{4, {{"a/y", "3"}, {"a.b/x", "2"}}});
    fixture.apply<ChangeOutcome>(
        Withdraw{{"anna", "", Noon}, {{RecordKind::Configuration, "a"}}, {}});
    CHECK(fixture.state.configuration() == Configuration{5, {{"a.b/x", "2"}}});
}

TEST_CASE("A rejected or repeated command does not change the version of the configuration")
{
    Fixture fixture;
    auto command = submitOf(RecordKind::Configuration, "a", ConfigurationSpec{{{"x", "1"}}});
    command.origin.idempotencyKey = "k";
    fixture.submit(command);
    fixture.submit(command);
    fixture.submit(submitOf(RecordKind::Configuration, "a", ConfigurationSpec{{{"x", "2"}}}, 7));
    CHECK(fixture.state.configuration() == Configuration{1, {{"a/x", "1"}}});
}

TEST_CASE("A configuration is confirmed once and only while it is in force")
{
    Fixture fixture;
    fixture.submit(submitOf(RecordKind::Configuration, "a", ConfigurationSpec{{{"x", "1"}}}));
    CHECK(fixture.apply<ConfirmOutcome>(ConfirmConfiguration{1, 5, Noon}).recorded);
    CHECK_FALSE(fixture.apply<ConfirmOutcome>(ConfirmConfiguration{1, 5, Noon}).recorded);
    fixture.submit(submitOf(RecordKind::Configuration, "a", ConfigurationSpec{{{"x", "2"}}}, 1));
    CHECK_FALSE(fixture.apply<ConfirmOutcome>(ConfirmConfiguration{1, 5, Noon}).recorded);
    CHECK(fixture.state.confirmedConfiguration() == 1);
}

TEST_CASE("The configuration sets the number of events that are kept")
{
    Fixture fixture;
    const std::map<std::string, std::string> bounds{{"events-kept", "100"}};
    fixture.submit(submitOf(RecordKind::Configuration, "system", ConfigurationSpec{bounds}));
    for (int i = 0; i < 150; ++i) {
        fixture.submit(submitOf(RecordKind::Drain, "d" + std::to_string(i), DrainSpec{"w", "fan"}));
    }
    CHECK(fixture.state.events().size() == 100);
}

TEST_CASE("A command that withdraws 1,000 batch records cancels all their tasks in one step")
{
    constexpr int Count = 1000;
    Fixture fixture;
    Withdraw withdrawal{{"anna", "", Noon}, {}, {}};
    for (int i = 0; i < Count; ++i) {
        const auto name = "job-" + std::to_string(i);
        fixture.submit(submitOf(RecordKind::Batch, name, BatchSpec{"team", {100, 64, 0}, "run"}));
        withdrawal.keys.push_back({RecordKind::Batch, name});
    }
    const auto before = fixture.state.events().after(UINT64_MAX, 0).newest;
    const auto outcome = fixture.apply<ChangeOutcome>(withdrawal);
    CHECK(outcome.changes.size() == Count);
    for (const auto &[id, task] : fixture.state.tasks().tasks())
        CHECK(task.state == Placement::TaskState::Cancelled);
    // Each withdrawn record has its own event.
    CHECK(fixture.state.events().after(before, 10UL * Count).events.size() >= Count);
}

TEST_CASE("A snapshot restores the whole state and a damaged one changes nothing")
{
    Fixture fixture;
    fixture.submit(submitOf(RecordKind::Batch, "pack", BatchSpec{"team", {100, 64, 0}, "run"}));
    fixture.submit(submitOf(RecordKind::Configuration, "a", ConfigurationSpec{{{"x", "1"}}}));
    fixture.apply<ClaimBatchOutcome>(
        ClaimBatch{{ClaimRequest{"k", 1, "t", "e", Noon, std::chrono::hours(1)}}});
    const auto bytes = fixture.state.snapshot();

    ControlState copy;
    REQUIRE(copy.restore(bytes).has_value());
    CHECK(copy.snapshot() == bytes);
    CHECK(copy.records().find({RecordKind::Batch, "pack"}) != nullptr);
    CHECK(copy.claims().find("k") != nullptr);
    CHECK(copy.configuration() == fixture.state.configuration());
    CHECK_FALSE(copy.restore(bytes.substr(0, bytes.size() / 2)).has_value());
    CHECK(copy.snapshot() == bytes);
}

TEST_CASE("A command that cannot be decoded changes nothing and its outcome is an error")
{
    Fixture fixture;
    const auto before = fixture.state.snapshot();
    const auto outcome = outcomeOf<ChangeOutcome>(fixture.state.apply(1, "nonsense"));
    REQUIRE_FALSE(outcome.has_value());
    CHECK(outcome.error().detail.find("log index 1") != std::string::npos);
    CHECK(fixture.state.snapshot() == before);
}
