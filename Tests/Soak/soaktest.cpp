#include "Soak/soakrun.h"
#include "Support/temporaryfolder.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace Oleander::Testing;

namespace {

/** Plays \a seed; each violation fails the test with the seed and the plan. */
void play(std::uint64_t seed)
{
    const auto plan = makeSoakPlan(seed);
    std::cout << "seed " << seed << std::endl;
    const TemporaryFolder folder;
    const auto result = SoakRun(plan, folder.path()).run();
    INFO(plan.text() << result.text(seed));
    for (const auto &violation : result.violations)
        FAIL_CHECK(violation);
    CHECK(result.answered > 0);
}

} // namespace

TEST_CASE("No promise is broken under the faults of seed 1")
{
    play(1);
}

TEST_CASE("No promise is broken under the faults of seed 2")
{
    play(2);
}

TEST_CASE("No promise is broken under the faults of seed 3")
{
    play(3);
}
