#include "Records/recordbook.h"

#include "Protocol/codec.h"
#include "Records/eventhistory.h"

#include <catch2/catch.hpp>

using namespace Oleander;
using namespace Oleander::Records;
using Catch::Matchers::Contains;

namespace {

const RecordKey Archive{RecordKind::Batch, "archive"};

Spec jobOf(const std::string &payload)
{
    return BatchSpec{"team", {100, 64, 0}, payload};
}

Submit submitBy(const std::string &author, const std::string &payload,
                std::optional<std::uint64_t> ifMatch = std::nullopt, const std::string &key = {})
{
    return {{author, key, WallTime(std::chrono::seconds(1700000000))},
            Archive,
            2,
            jobOf(payload),
            ifMatch};
}

/** A record book with its events and the next log index. */
struct Fixture
{
    RecordBook book;
    std::vector<EventDraft> events;
    std::uint64_t index = 0;

    template<typename Command>
    ChangeOutcome apply(const Command &command)
    {
        return book.apply(++index, command, events);
    }
    template<typename Command>
    Change one(const Command &command)
    {
        const auto outcome = apply(command);
        REQUIRE(outcome.changes.size() == 1);
        return outcome.changes.front();
    }
};

} // namespace

TEST_CASE("Of two amendments of the same revision the first wins and the conflict names its author")
{
    Fixture fixture;
    CHECK(fixture.one(submitBy("anna", "a")).result == ChangeResult::Created);
    CHECK(fixture.one(submitBy("bjorn", "b", 1)).result == ChangeResult::Amended);
    const auto lost = fixture.one(submitBy("carla", "c", 1));
    CHECK(lost.result == ChangeResult::Conflict);
    CHECK(lost.revision == 2);
    REQUIRE(lost.record.has_value());
    CHECK(lost.record->author == "bjorn");
    CHECK_THAT(lost.detail,
               Contains("bjorn") && Contains("revision 2") && Contains("2023-11-14T22:13:20Z"));
    CHECK(fixture.book.find(Archive)->spec == jobOf("b"));
    CHECK(fixture.events.size() == 2);
}

TEST_CASE("Two operators create the same name: the second gets a conflict with the first author")
{
    Fixture fixture;
    fixture.apply(submitBy("anna", "a"));
    const auto lost = fixture.one(submitBy("bjorn", "b"));
    CHECK(lost.result == ChangeResult::Conflict);
    CHECK_THAT(lost.detail, Contains("anna"));
    CHECK(fixture.one(submitBy("bjorn", "a")).result == ChangeResult::Unchanged);
    CHECK(fixture.book.find(Archive)->revision == 1);
}

TEST_CASE("A resend gets the first answer and changes nothing")
{
    Fixture fixture;
    fixture.apply(submitBy("anna", "a", std::nullopt, "k1"));
    fixture.apply(submitBy("bjorn", "b", 1));
    const auto again = fixture.apply(submitBy("anna", "a", std::nullopt, "k1"));
    CHECK(again.replayed);
    CHECK(again.index == 1);
    CHECK(again.changes.front().result == ChangeResult::Created);
    CHECK(fixture.book.find(Archive)->spec == jobOf("b"));

    SECTION("a refusal is repeated too")
    {
        const auto late = submitBy("carla", "c", 1, "k2");
        CHECK(fixture.one(late).result == ChangeResult::Conflict);
        CHECK(fixture.apply(late).replayed);
        CHECK(fixture.one(late).result == ChangeResult::Conflict);
    }
    SECTION("operators may use the same key independently")
    {
        CHECK(fixture.one(submitBy("carla", "c", 2, "k1")).result == ChangeResult::Amended);
    }
    SECTION("a key that is used for another command is refused")
    {
        const auto reused = fixture.one(submitBy("anna", "other", 2, "k1"));
        CHECK(reused.result == ChangeResult::KeyReused);
        CHECK_THAT(reused.detail, Contains("k1"));
        CHECK(fixture.book.find(Archive)->revision == 2);
    }
}

TEST_CASE("An amendment after withdrawal is refused, a new submission continues the revisions")
{
    Fixture fixture;
    fixture.apply(submitBy("anna", "a"));
    CHECK(fixture.one(Withdraw{{"bjorn", "", {}}, {Archive}, 1}).result == ChangeResult::Withdrawn);
    CHECK(fixture.book.find(Archive)->withdrawn);
    for (const std::uint64_t revision : {1U, 2U}) {
        const auto late = fixture.one(submitBy("anna", "b", revision));
        CHECK(late.result == ChangeResult::Conflict);
        CHECK_THAT(late.detail, Contains("withdrawn by bjorn"));
    }
    CHECK(fixture.one(Withdraw{{"anna", "", {}}, {Archive}, {}}).result
          == ChangeResult::AlreadyWithdrawn);
    const auto created = fixture.one(submitBy("anna", "b"));
    CHECK(created.result == ChangeResult::Created);
    CHECK(created.revision == 3);
}

TEST_CASE("A withdrawal that names an old revision is refused")
{
    Fixture fixture;
    fixture.apply(submitBy("anna", "a"));
    fixture.apply(submitBy("anna", "b", 1));
    CHECK(fixture.one(Withdraw{{"bjorn", "", {}}, {Archive}, 1}).result == ChangeResult::Conflict);
    CHECK_FALSE(fixture.book.find(Archive)->withdrawn);
    CHECK(fixture.one(Withdraw{{"bjorn", "", {}}, {{RecordKind::Drain, "none"}}, {}}).result
          == ChangeResult::Missing);
}

TEST_CASE("A bulk withdrawal of 1,000 records is one command with one result per record")
{
    constexpr std::size_t Count = 1000;
    Fixture fixture;
    Withdraw bulk{{"anna", "wave", {}}, {}, {}};
    for (std::size_t i = 0; i < Count; ++i) {
        auto command = submitBy("anna", "a");
        command.key.name = "job-" + std::to_string(i);
        fixture.apply(command);
        bulk.keys.push_back(command.key);
    }
    bulk.keys.push_back({RecordKind::Batch, "never-submitted"});
    fixture.events.clear();
    const auto outcome = fixture.apply(bulk);
    REQUIRE(outcome.changes.size() == Count + 1);
    CHECK(std::all_of(outcome.changes.begin(), outcome.changes.end() - 1,
                      [](const auto &change) { return change.result == ChangeResult::Withdrawn; }));
    CHECK(outcome.changes.back().result == ChangeResult::Missing);
    CHECK(fixture.events.size() == Count);
    CHECK(fixture.apply(bulk).replayed);
    CHECK(fixture.events.size() == Count);
}

TEST_CASE("Withdrawn records are evicted oldest first and their revisions are not reused")
{
    Fixture fixture;
    fixture.book.setMaxWithdrawn(0);
    fixture.apply(submitBy("anna", "a"));
    fixture.apply(submitBy("anna", "b", 1));
    fixture.apply(Withdraw{{"anna", "", {}}, {Archive}, {}});
    CHECK(fixture.book.find(Archive) == nullptr);
    CHECK(fixture.one(submitBy("anna", "c")).revision == 4);
    CHECK(fixture.one(submitBy("bjorn", "d", 1)).result == ChangeResult::Conflict);
}

TEST_CASE("The number of stored answers is bounded")
{
    Fixture fixture;
    fixture.book.idempotencyTable().setMaxChanges(3);
    for (int i = 0; i < 10; ++i)
        fixture.apply(submitBy("anna", "a", std::nullopt, std::to_string(i)));
    CHECK(fixture.book.idempotencyTable().size() == 3);
    CHECK(fixture.apply(submitBy("anna", "a", std::nullopt, "9")).replayed);
    CHECK_FALSE(fixture.apply(submitBy("anna", "a", std::nullopt, "0")).replayed);
}

TEST_CASE("A record book is restored from its snapshot")
{
    Fixture fixture;
    fixture.apply(submitBy("anna", "a", std::nullopt, "k"));
    fixture.apply(Withdraw{{"anna", "", {}}, {Archive}, {}});
    auto copy = decode<RecordBook>(encode(fixture.book));
    REQUIRE(copy.has_value());
    CHECK(encode(*copy) == encode(fixture.book));
    CHECK(copy->apply(9, submitBy("anna", "a", std::nullopt, "k"), fixture.events).replayed);
}

TEST_CASE("The event history is bounded and reports its oldest event")
{
    EventHistory history;
    history.setMaxEvents(3);
    for (std::uint64_t i = 1; i <= 5; ++i)
        history.add(10 * i, {}, {SubjectKind::Batch, "a", "It changed.", "", ""});
    const auto page = history.after(0, 2);
    CHECK(page.oldest == 3);
    CHECK(page.newest == 5);
    REQUIRE(page.events.size() == 2);
    CHECK(page.events.front().number == 3);
    CHECK(history.after(4, 10).events.size() == 1);
    CHECK(history.after(5, 10).events.empty());
    const auto copy = decode<EventHistory>(encode(history));
    REQUIRE(copy.has_value());
    CHECK(copy->after(0, 10).events == history.after(0, 10).events);
}
