#include "playedfleet.h"

using namespace Oleander;
using namespace Oleander::Testing;

namespace {

StepSpec lasting(std::uint32_t count, std::uint32_t milliCores)
{
    StepSpec spec = step(count, milliCores);
    spec.estimateMs = 0;
    spec.lasting = true;
    return spec;
}

StepSpec brief(std::uint32_t count, std::uint32_t milliCores, std::uint32_t estimateMs)
{
    StepSpec spec = step(count, milliCores);
    spec.estimateMs = estimateMs;
    return spec;
}

/** Minions of 16 and 24 cores in the proportion of two to one. */
std::vector<std::uint32_t> mixedMinions(std::size_t count)
{
    std::vector<std::uint32_t> sizes;
    for (std::size_t i = 0; i < count; ++i)
        sizes.push_back(i % 3 == 2 ? 24'000 : 16'000);
    return sizes;
}

} // namespace

TEST_CASE(
    "A lasting job that comes to a full service is served at least half as much as the others")
{
    PlayedFleet fleet(mixedMinions(12));
    // 214 of 224 cores.
    const std::vector<std::pair<std::uint32_t, std::uint32_t>> sizes{
        {14, 3'100}, {10, 4'100}, {9, 4'250}, {13, 2'200}, {14, 1'800}, {8, 4'350}, {3, 1'600}};
    std::vector<std::string> first;
    for (const auto &[count, milliCores] : sizes) {
        first.push_back("first-" + std::to_string(first.size()));
        fleet.leader().submit(first.back(), {lasting(count, milliCores)});
    }
    fleet.pass(5s);
    fleet.leader().submit("wide", {lasting(14, 3'800)});
    fleet.leader().submit("large", {lasting(6, 5'000)});
    fleet.pass(5s);
    double wide = 0;
    double large = 0;
    double others = 0;
    int looks = 0;
    fleet.pass(10s, [&] {
        ++looks;
        wide += fleet.shareAtWork("wide");
        large += fleet.shareAtWork("large");
        for (const std::string &id : first)
            others += fleet.shareAtWork(id) / static_cast<double>(first.size());
    });
    const double all = (wide + large + others * static_cast<double>(first.size()))
                       / static_cast<double>(first.size() + 2);
    CHECK(wide / all >= 0.5);
    CHECK(large / all >= 0.5);
    CHECK(all / looks >= 0.7);
    CHECK(fleet.overCapacity() == 0);
}

TEST_CASE("A lasting task that failed runs again before small tasks have taken its room")
{
    PlayedFleet fleet({16'000, 16'000, 16'000, 16'000});
    fleet.leader().submit("base", {lasting(12, 5'000)});
    fleet.pass(2s);
    REQUIRE(fleet.shareAtWork("base") == 1.0);
    int number = 0;
    const auto smallJobs = [&] {
        if (++number % 2 == 0)
            fleet.leader().submit("small-" + std::to_string(number), {brief(6, 320, 900)});
    };
    fleet.pass(3s, smallJobs);
    fleet.fail({"base", 0, 7});
    // The platform minds a lasting task that does not run for 3 s.
    fleet.pass(3s, smallJobs);
    CHECK(fleet.shareAtWork("base") == 1.0);
    CHECK(fleet.overCapacity() == 0);
}

TEST_CASE("No more tasks of a step than its limit start on one minion in one pass over the jobs")
{
    PlayedFleet fleet({16'000, 16'000});
    StepSpec apart = lasting(6, 2'000);
    apart.maxPerMinion = 2;
    fleet.leader().submit("apart", {apart});
    fleet.pass(1s);
    CHECK(fleet.mostOnOneMinion("apart") == 2);
    fleet.fail({"apart", 0, 0});
    fleet.pass(1s);
    CHECK(fleet.mostOnOneMinion("apart") == 2);
}
