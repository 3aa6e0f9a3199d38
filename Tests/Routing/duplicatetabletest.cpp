#include "Routing/duplicatetable.h"

#include <catch2/catch.hpp>

#include <random>
#include <set>

using namespace Oleander;
using Verdict = DuplicateTable::Verdict;

TEST_CASE("An AttemptId can be parsed from its text form")
{
    const auto id = AttemptId::parse(AttemptId{"entry/1", 3, 17}.text());
    REQUIRE(id.has_value());
    CHECK(id->entry == "entry/1");
    CHECK(id->incarnation == 3);
    CHECK(id->sequence == 17);
    for (const char *bad : {"", "/", "a/1", "a/1/", "/1/2", "a/x/2", "a/1/2x", "a/-1/2"})
        CHECK_FALSE(AttemptId::parse(bad).has_value());
}

TEST_CASE(
    "A duplicate attempt is rejected, and so is an attempt that was cancelled before it arrived")
{
    DuplicateTable table(16);
    CHECK(table.recordAttempt({"e", 1, 1}) == Verdict::Fresh);
    CHECK(table.recordAttempt({"e", 1, 1}) == Verdict::Duplicate);
    CHECK(table.recordCancel({"e", 1, 1}));
    CHECK_FALSE(table.recordCancel({"e", 1, 2}));
    CHECK(table.recordAttempt({"e", 1, 2}) == Verdict::Cancelled);
    CHECK(table.recordAttempt({"e", 2, 1}) == Verdict::Fresh);
    CHECK(table.recordAttempt({"f", 1, 1}) == Verdict::Fresh);
}

TEST_CASE("No attempt starts twice, with reordering, duplicates and cancels, in bounded memory")
{
    std::mt19937 random(20);
    DuplicateTable table(50);
    std::set<std::uint64_t> started;
    std::set<std::uint64_t> cancelledFirst;
    for (int i = 0; i < 20000; ++i) {
        const std::uint64_t sequence = 1 + static_cast<std::uint64_t>(i) / 10 + random() % 200;
        if (random() % 8 == 0) {
            table.recordCancel({"e", 1, sequence});
            if (!started.contains(sequence))
                cancelledFirst.insert(sequence);
            continue;
        }
        if (table.recordAttempt({"e", 1, sequence}) == Verdict::Fresh) {
            CHECK(started.insert(sequence).second);
            CHECK_FALSE(cancelledFirst.contains(sequence));
        }
    }
    CHECK(table.size() <= 50);
    CHECK(started.size() > 500);
}
