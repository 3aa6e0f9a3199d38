#include "Soak/plan.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace Oleander::Testing;
using Catch::Matchers::EndsWith;
using Catch::Matchers::StartsWith;

TEST_CASE("A seed gives the same plan on every machine and build")
{
    CHECK(makeSoakPlan(7).text() == makeSoakPlan(7).text());
    CHECK(makeSoakPlan(7).text() != makeSoakPlan(8).text());
    CHECK_THAT(makeSoakPlan(7).text(),
               StartsWith("seed 7: 3 entries, 2 agents, 2 callers an entry, answers of up to 161 "
                          "ms, 19 jobs, only stops up to call 314\n"
                          "calls 40 to 160: stop entry-2 0\n"
                          "calls 84 to 149: stop minion-1 0\n"
                          "calls 162 to 274: stop agent-2 0\n"
                          "calls 314 to 523: cut-from-target entry-3>entry-1 0\n")
                   && EndsWith("calls 1038 to 1181: cut-to-target agent-2>entry-1 0\n"));
}

TEST_CASE("Every plan freezes a worker")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const auto plan = makeSoakPlan(seed);
        INFO(plan.text());
        CHECK(std::ranges::any_of(plan.faults, [](const Fault &fault) {
            return fault.kind == FaultKind::Freeze && fault.target.starts_with("worker-");
        }));
        CHECK(std::ranges::is_sorted(plan.faults, {}, &Fault::begin));
    }
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
