#include "Soak/soakrun.h"
#include "Support/temporaryfolder.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <iostream>

using namespace Oleander::Testing;

namespace {

/** Plays \a seed; a violation fails the test and keeps the output of all processes. */
void play(std::uint64_t seed)
{
    const auto plan = makeSoakPlan(seed);
    std::cout << "seed " << seed << std::endl;
    const TemporaryFolder folder;
    const auto result = SoakRun(plan, folder.path()).run();
    const auto kept = std::filesystem::absolute("soak-logs") / ("seed-" + std::to_string(seed));
    INFO(plan.text() << result.text(seed) << "\nkept: " << kept.string());
    for (const auto &violation : result.violations)
        FAIL_CHECK(violation);
    CHECK(result.answered > 0);
    if (!result.violations.empty()) {
        std::filesystem::remove_all(kept);
        std::filesystem::create_directories(kept);
        std::filesystem::copy(folder.path(), kept, std::filesystem::copy_options::recursive);
    }
}

} // namespace

// Failed when entries closed kept connections with waiting requests after a freeze.
TEST_CASE("No promise is broken under the faults of seed 6")
{
    play(6);
}

// Failed when a stopping agent took new requests after its minions announced themselves.
TEST_CASE("No promise is broken under the faults of seed 8")
{
    play(8);
}

TEST_CASE("No promise is broken under the faults of seed 9")
{
    play(9);
}

TEST_CASE("No promise is broken under the faults of seed 10")
{
    play(10);
}
