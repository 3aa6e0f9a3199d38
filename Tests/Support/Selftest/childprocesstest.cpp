#include "Support/childprocess.h"

#include "Support/waitfor.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace Oleander::Testing;

TEST_CASE("A command's exit code, output and errors are seen")
{
    const auto result = runCommand({"/bin/sh", "-c", "cat; echo wrong >&2; exit 3"}, "input\n");
    CHECK(result.exitCode == 3);
    CHECK(result.output == "input\n");
    CHECK(result.errors == "wrong\n");
}

TEST_CASE("A frozen process stays, wakes, and is reaped when it is killed")
{
    ChildProcess process({"/bin/sh", "-c", "echo up; exec sleep 100"});
    REQUIRE(waitFor([&] { return process.standardOutput() == "up\n"; }));
    process.freeze();
    CHECK(process.running());
    process.wake();
    process.signal(SIGTERM);
    const auto end = process.wait();
    REQUIRE(end);
    CHECK(end->signal == SIGTERM);
    CHECK_FALSE(process.running());
}
