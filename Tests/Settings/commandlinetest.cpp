#include "Settings/commandline.h"

#include "Settings/exitcode.h"

#include <absl/flags/flag.h>
#include <catch2/catch.hpp>

#include <set>

// NOLINTBEGIN(readability-identifier-naming): Abseil generates its own names.
ABSL_FLAG(int, test_wait_s, 5, "Seconds to wait.");
ABSL_FLAG(bool, test_loud, false, "Whether to be loud.");
// NOLINTEND(readability-identifier-naming)

using namespace Oleander;

namespace {

Result<CommandLine> read(std::vector<std::string> words)
{
    std::vector<char *> arguments;
    arguments.reserve(words.size());
    for (auto &word : words)
        arguments.push_back(word.data());
    return readCommandLine(arguments);
}

} // namespace

TEST_CASE("Flags and positional arguments may be mixed in any order")
{
    const auto line = read({"show", "--test-wait-s", "7", "job-1", "--test_loud", "--", "--x"});
    REQUIRE(line);
    CHECK(line->positionals == std::vector<std::string>{"show", "job-1", "--x"});
    CHECK(line->flags == std::vector<std::string>{"test_wait_s", "test_loud"});
    CHECK(absl::GetFlag(FLAGS_test_wait_s) == 7);
    CHECK(absl::GetFlag(FLAGS_test_loud));
    CHECK(read({"show", "--help"})->help);
}

TEST_CASE("Errors of the command line name the flag and the value")
{
    CHECK(read({"--colour=red"}).error().detail
          == "The flag --colour is unknown; --help lists those allowed.");
    CHECK(read({"--test-wait-s=soon"})
              .error()
              .detail.find("The value \"soon\" of --test-wait-s is not allowed:")
          == 0);
    CHECK(read({"--test-wait-s"}).error().detail == "The flag --test-wait-s needs a value.");
    const std::string_view allowed[] = {"test_loud"};
    const auto refused = checkFlags(*read({"--test-wait-s=1"}), "show", allowed);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().detail
          == "The subcommand show takes no flag --test-wait-s; show --help lists those allowed.");
}

TEST_CASE("Help shows each flag with its default")
{
    const std::string_view names[] = {"test_wait_s"};
    CHECK(flagHelp(names) == "  --test-wait-s  Seconds to wait. Default: 5.\n");
}

TEST_CASE("Each failure maps to an exit code in the table")
{
    std::set<int> codes;
    for (const auto &row : exitCodeTable())
        CHECK(codes.insert(static_cast<int>(row.code)).second);
    for (int failure = 1; failure <= static_cast<int>(Failure::Unknown); ++failure) {
        const auto code = exitCodeOf(make_error_code(static_cast<Failure>(failure)));
        CHECK(codes.contains(static_cast<int>(code)));
        CHECK(code != ExitCode::Success);
    }
    CHECK(exitCodeOf(make_error_code(Failure::Unknown)) == ExitCode::OutcomeUnknown);
    CHECK(exitCodeOf(make_error_code(Failure::Conflict)) == ExitCode::Conflict);
}
