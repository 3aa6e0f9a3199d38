#include "Soak/checks.h"

#include <catch2/catch.hpp>

using namespace Oleander::Testing;

namespace {

CallRecord callOf(const std::string &request, int resend = 0)
{
    CallRecord call;
    call.request = request;
    call.id = request + '.' + std::to_string(resend);
    call.entry = "entry-1";
    call.begin = 100;
    call.end = 200;
    call.status = 200;
    return call;
}

CallRecord refusedCall(const std::string &request, const std::string &outcome)
{
    auto call = callOf(request);
    call.status = 503;
    call.outcome = outcome;
    return call;
}

CallRecord cutCall(SoakTime begin, SoakTime end)
{
    auto call = callOf("a");
    call.result = CallEnd::Cut;
    call.status = 0;
    call.begin = begin;
    call.end = end;
    return call;
}

} // namespace

TEST_CASE("An answer of another request and a call without an answer are reported")
{
    auto wrong = callOf("a");
    wrong.isOwnAnswer = false;
    auto hanging = callOf("b");
    hanging.result = CallEnd::TimedOut;
    CHECK(findWrongAnswers({callOf("c")}).empty());
    CHECK(findWrongAnswers({callOf("c"), wrong}).size() == 1);
    CHECK(findWrongAnswers({hanging}).size() == 1);
}

TEST_CASE("A call that was told as not run and ran is reported")
{
    CHECK(findUntrueRefusals({refusedCall("a", "not-run")}, {}).empty());
    CHECK(findUntrueRefusals({refusedCall("a", "unknown")}, {{"a.0", 1}}).empty());
    CHECK(findUntrueRefusals({refusedCall("a", "not-run")}, {{"a.0", 1}}).size() == 1);
}

TEST_CASE("A second run of a non-idempotent request is reported, also one of its resend")
{
    auto idempotent = callOf("b");
    idempotent.idempotent = true;
    CHECK(findSecondRuns({callOf("a"), idempotent}, {{"a.0", 1}, {"b.0", 2}}).empty());
    CHECK(findSecondRuns({callOf("a")}, {{"a.0", 2}}).size() == 1);
    CHECK(findSecondRuns({callOf("a"), callOf("a", 1)}, {{"a.0", 1}, {"a.1", 1}}).size() == 1);
}

TEST_CASE("A call that a graceful stop cut off is reported, one that a kill cut off is not")
{
    const Outage kill{"entry-1", 150, 300, false};
    const Outage stop{"entry-1", 150, 300, true};
    CHECK(findCutCalls({cutCall(100, 200)}, {kill}, {}).empty());
    CHECK(findCutCalls({cutCall(100, 200)}, {stop}, {}).size() == 1);
    CHECK(findCutCalls({cutCall(160, 200)}, {stop}, {}).empty());
    CHECK(findCutCalls({cutCall(160, 200)}, {stop}, {{"a.0", 1}}).size() == 1);
    CHECK(findCutCalls({cutCall(100, 200)}, {}, {}).size() == 1);
    CHECK(findCutCalls({cutCall(100, 200)}, {{"entry-2", 150, 300, false}}, {}).size() == 1);
    CHECK(findCutCalls({cutCall(400, 500)}, {kill}, {}).size() == 1);
}

TEST_CASE("An unknown outcome is reported while processes are only stopped gracefully")
{
    auto unknown = refusedCall("a", "unknown");
    CHECK(findUnknownOutcomes({unknown}).empty());
    unknown.inGracefulPart = true;
    CHECK(findUnknownOutcomes({unknown}).size() == 1);
    auto notRun = refusedCall("a", "not-run");
    notRun.inGracefulPart = true;
    CHECK(findUnknownOutcomes({notRun}).empty());
}

TEST_CASE("An entry that does not serve again and a job that is not done are reported")
{
    CHECK(findMissingService({{}, {{"batch/a", "done"}}}).empty());
    CHECK(findMissingService({{"entry-1"}, {}}).size() == 1);
    CHECK(findMissingService({{}, {{"batch/a", "queued"}, {"batch/b", ""}}}).size() == 2);
}

TEST_CASE("Attempts of a task that overlap on two workers are reported")
{
    const std::string first = "begin t 1 100 11 \n";
    CHECK(findOverlappingAttempts(first + "end t 1 200 11 stopped\nbegin t 2 200 12 \n").empty());
    CHECK(findOverlappingAttempts(first + "begin t 2 200 12 \n").size() == 1);
    CHECK(findOverlappingAttempts(first + "begin t 2 150 12 \nend t 1 200 11 stopped\n").size()
          == 1);
    CHECK(findOverlappingAttempts(first + "begin other 1 150 12 \n").empty());
}

TEST_CASE("Attempts end with their worker, and those of other workers do not")
{
    const std::string first = "begin t 1 100 11 \n";
    CHECK(findOverlappingAttempts(first + "died - 0 150 11\nbegin t 2 200 12 \n").empty());
    CHECK(findOverlappingAttempts(first + "died - 0 150 13\nbegin t 2 200 12 \n").size() == 1);
}

TEST_CASE("An accepted record that is lost, older or changed is reported")
{
    RecordCheck check("batch/a");
    check.accept(1, "x");
    check.read("entry-1", check.floor(), 1, "x");
    check.accept(2, "y");
    check.read("entry-1", check.floor(), 2, "y");
    // A read that began before the change was accepted may show the revision before it.
    check.read("entry-1", 1, 1, "x");
    CHECK(check.violations().empty());
    check.read("entry-1", check.floor(), 1, "x");
    CHECK(check.violations().size() == 1);
    check.read("entry-2", check.floor(), 0, "");
    CHECK(check.violations().size() == 2);
    check.read("entry-2", check.floor(), 2, "z");
    CHECK(check.violations().size() == 3);
}

TEST_CASE("A revision that was read once is not missing in later reads")
{
    RecordCheck check("configuration/a");
    check.read("entry-1", 0, 3, "x");
    check.read("entry-2", check.floor(), 2, "w");
    CHECK(check.violations().size() == 1);
}
