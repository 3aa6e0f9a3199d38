#include "Soak/plan.h"

#include <catch2/catch.hpp>

#include <set>

using namespace Oleander::Testing;
using Catch::Matchers::StartsWith;

TEST_CASE("A seed gives the same plan on every machine and build")
{
    CHECK(makeSoakPlan(7).text() == makeSoakPlan(7).text());
    CHECK(makeSoakPlan(7).text() != makeSoakPlan(8).text());
    CHECK_THAT(makeSoakPlan(7).text(), StartsWith("seed 7: 3 entries, "));
}

TEST_CASE("Every kind of fault is drawn, and faults of different targets overlap")
{
    std::set<FaultKind> kinds;
    bool overlap = false;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const auto plan = makeSoakPlan(seed);
        CHECK(plan.agents >= 2);
        CHECK(plan.agents <= 4);
        for (std::size_t i = 0; i < plan.faults.size(); ++i) {
            const auto &fault = plan.faults[i];
            kinds.insert(fault.kind);
            CHECK(fault.begin < fault.end);
            if (fault.begin < plan.gracefulCalls)
                CHECK(fault.kind == FaultKind::Stop);
            for (std::size_t j = 0; j < i; ++j) {
                const auto &earlier = plan.faults[j];
                if (earlier.end < fault.begin)
                    continue;
                CHECK(earlier.target != fault.target);
                overlap = true;
            }
        }
    }
    CHECK(kinds.size() == FaultKindNames.size());
    CHECK(overlap);
}
