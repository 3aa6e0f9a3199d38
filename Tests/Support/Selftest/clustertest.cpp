#include "Support/cluster.h"

#include <catch2/catch.hpp>

#include <iostream>
#include <sstream>
#include <stdexcept>

using namespace Oleander::Testing;

namespace {

/** Returns what a cluster with one worker writes to std::cerr until its destruction. */
std::string outputOfCluster(bool isTestFailing)
{
    const std::ostringstream written;
    auto *const previous = std::cerr.rdbuf(written.rdbuf());
    try {
        ClusterOptions options;
        options.entries = 0;
        options.agents = 1;
        Cluster cluster(std::move(options));
        cluster.startWorker(0);
        waitFor([&] { return cluster.worker(0).standardError().starts_with("ready "); });
        if (isTestFailing)
            throw std::runtime_error("a failed REQUIRE");
    } catch (const std::runtime_error &) {
    }
    std::cerr.rdbuf(previous);
    return written.str();
}

} // namespace

TEST_CASE("A failed test shows how each process of its cluster ended and what it wrote")
{
    const std::string written = outputOfCluster(true);
    CHECK_THAT(written,
               Catch::Contains("worker of agent-1 runs; ") && Catch::Contains("ready 127."));
    CHECK(outputOfCluster(false).empty());
}
