#include "Support/childprocess.h"

#include "Support/waitfor.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace Oleander::Testing;

TEST_CASE("runCommand returns the exit code and both output streams of a command")
{
    const auto result = runCommand({"/bin/sh", "-c", "cat; echo wrong >&2; exit 3"}, "input\n");
    CHECK(result.exitCode == 3);
    CHECK(result.output == "input\n");
    CHECK(result.errors == "wrong\n");
}

TEST_CASE(
    "A frozen process still counts as running, resumes, and is reaped after a signal ended it")
{
    ChildProcess process({"/bin/sh", "-c", "echo up; exec sleep 100"});
    REQUIRE(waitFor([&] { return process.standardOutput() == "up\n"; }));
    process.freeze();
    CHECK(process.running());
    process.resume();
    process.signal(SIGTERM);
    const auto end = process.wait();
    REQUIRE(end);
    CHECK(end->signal == SIGTERM);
    CHECK_FALSE(process.running());
}

TEST_CASE("The description of a process says how it ended and what it wrote to both streams")
{
    ChildProcess failed({"/bin/sh", "-c", "echo out; echo wrong >&2; exit 3"});
    REQUIRE(failed.wait());
    CHECK(failed.describe()
          == "ended with exit code 3; standard output:\nout\n\nstandard error:\nwrong\n");
    ChildProcess frozen({"/bin/sh", "-c", "exec sleep 100"});
    CHECK(frozen.describe().starts_with("runs; standard output:\n"));
    frozen.kill();
    CHECK(frozen.describe().starts_with("was killed by signal 9; "));
}
