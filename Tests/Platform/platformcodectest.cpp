#include "platformcodec.h"

#include "jobformat.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <limits>
#include <sstream>

using namespace Oleander;
using namespace Oleander::Platform;

namespace {

const Fleet::FleetCodec &codec = platformCodec();

HttpRequest request(const std::string &method, const std::string &path,
                    const std::string &body = {})
{
    HttpRequest made;
    made.method = method;
    made.path = path;
    made.headers = {{"Host", "Press.example:8080"}};
    made.body = body;
    return made;
}

std::string announcement(const std::string &more)
{
    return R"({"service":"s","address":"10.0.0.1:1","zone":"z","version":"v1","slots":8,)"
           R"("state":"ready","coldRemainingMs":0,"capacity":{"cpu":16000,"memMb":32768,"gpu":0},)"
           R"("labels":["a","r1-3"],"clockMs":482113,"sequence":4)"
           + more + "}";
}

/** An announcement in which \a field has the value \a value. */
std::string announcementWith(const std::string &field, const std::string &value)
{
    auto body = nlohmann::json::parse(announcement(R"(,"born":1700000000000)"));
    auto &object = field == "cpu" || field == "memMb" || field == "gpu" ? body["capacity"] : body;
    object[field] = nlohmann::json::parse(value);
    return body.dump();
}

bool isAnnouncementRefused(const std::string &body)
{
    const auto call = codec.decodeMinionCall(request("PUT", "/oleanderusher/instances/i-1", body));
    return !call.has_value();
}

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

} // namespace

TEST_CASE("The fields of a job are decoded")
{
    const auto call = codec.decodeClientCall(request(
        "POST", "/press/5c0e7a21d94b36f8",
        R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900,)"
        R"("affinity":"r1-3"},{"count":20,"cpu":2000,"memMb":1024,"gpu":1,"dependsOn":[0],)"
        R"("checkpointing":true,"speculative":true,"maxPerServer":2,"image":"i","fills":true},)"
        R"({"count":1,"longRunning":true,"targetMs":25,"maxUnavailable":1,"requiredLabel":"a"}]})"));
    REQUIRE(call.has_value());
    const auto *submit = std::get_if<SubmitCall>(&call->body);
    REQUIRE(submit != nullptr);
    CHECK(submit->host == "press.example");
    CHECK(submit->job.id == "5c0e7a21d94b36f8");
    REQUIRE(submit->job.steps.size() == 3);
    CHECK(submit->job.steps[0].milliCores == 500);
    CHECK(submit->job.steps[0].affinity == "r1-3");
    const StepSpec &second = submit->job.steps[1];
    CHECK(second.accelerators == 1);
    CHECK(second.dependsOn == std::vector<std::uint32_t>{0});
    CHECK((second.checkpointing && second.speculative && second.filling));
    CHECK(second.maxPerMinion == 2);
    const StepSpec &third = submit->job.steps[2];
    CHECK((third.longRunning && third.targetLatencyMs == 25 && third.maxUnavailable == 1));
    CHECK(third.requiredLabel == "a");
}

TEST_CASE("An invalid job is refused with an error that names the step and field")
{
    const auto problem = [](const std::string &steps) {
        const auto call = codec.decodeClientCall(
            request("POST", "/press/5c0e7a21d94b36f8", R"({"spec":"x","steps":)" + steps + "}"));
        return call ? std::string("accepted") : call.error().detail;
    };
    CHECK(problem(R"([{"cpu":1}])") == "step 0: the field \"count\" is missing.");
    CHECK(problem(R"([{"count":-1}])")
          == "step 0: the field \"count\" is not an integer in its range.");
    CHECK(problem(R"([{"count":1,"dependsOn":[0]}])")
          == "step 0: the field \"dependsOn\" names a step that is not an earlier one.");
    CHECK(problem(R"([{"count":1,"fills":1}])") == "step 0: the field \"fills\" is not a boolean.");
    CHECK(problem("[]") == "the job: the field \"steps\" is empty.");
    CHECK(problem("[7]") == "step 0 is not an object.");
}

TEST_CASE("Bodies are expected only where a call takes one")
{
    // Elsewhere the server does not read a large body.
    CHECK(codec.acceptsClientBody("POST", "/press/5c0e7a21d94b36f8"));
    CHECK_FALSE(codec.acceptsClientBody("POST", "/press/other"));
    CHECK_FALSE(codec.acceptsClientBody("DELETE", "/press/5c0e7a21d94b36f8"));
    CHECK(codec.acceptsOperatorBody("PUT", "/oleanderusher/config"));
    CHECK_FALSE(codec.acceptsOperatorBody("GET", "/oleanderusher/config"));
    CHECK_FALSE(codec.acceptsOperatorBody("PUT", "/oleanderusher/other"));
    CHECK(codec.acceptsMinionBody("PUT", "/oleanderusher/instances/i-1"));
    CHECK_FALSE(codec.acceptsMinionBody("POST", "/oleanderusher/instances/i-1"));
}

TEST_CASE("A job has the steps of the largest body, but not more values than are allowed")
{
    // A value takes many times its size once parsed; a configuration of 4 MiB has more of them.
    const auto jobWith = [](const std::string &step, std::size_t count) {
        std::string steps = step;
        for (std::size_t i = 1; i < count; ++i)
            steps += ',' + step;
        return R"({"spec":"","steps":[)" + steps + "]}";
    };
    const auto decode = [](const std::string &body) {
        return codec.decodeClientCall(request("POST", "/press/5c0e7a21d94b36f8", body));
    };
    const std::string largest = jobWith(R"({"count":1})", 21'840);
    REQUIRE(largest.size() <= 262'144);
    CHECK(decode(largest).has_value());
    const auto refused = decode(jobWith("1", MaxJobValues));
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().detail.find("65536 values") != std::string::npos);
    std::string services = R"({"name":"s"})";
    for (int i = 1; i < 120'000; ++i)
        services += R"(,{"name":"s"})";
    CHECK(codec
              .decodeOperatorCall(
                  request("PUT", "/oleanderusher/config",
                          R"({"version":1,"routes":[],"services":[)" + services + "]}"))
              .has_value());
}

// One body of legal size could ask for more tasks than the memory of a control host holds.
TEST_CASE("A job with too many tasks in all its steps is refused")
{
    const auto isAccepted = [](std::size_t steps) {
        std::string list;
        for (std::size_t i = 0; i < steps; ++i)
            list += fmt::format("{}{{\"count\":10000}}", i == 0 ? "" : ",");
        return codec
            .decodeClientCall(request("POST", "/press/5c0e7a21d94b36f8",
                                      R"({"spec":"x","steps":[)" + list + "]}"))
            .has_value();
    };
    CHECK(isAccepted(10));
    CHECK_FALSE(isAccepted(11));
}

TEST_CASE("A configuration with any invalid part is refused as a whole")
{
    const std::string route =
        R"({"name":"r","host":"h","pathPrefix":"/p/","service":"s","timeoutMs":3000})";
    const auto accepted = [](const std::string &routes, const std::string &services) {
        return parseConfiguration(R"({"version":7,"routes":[)" + routes + R"(],"services":[)"
                                  + services + R"(],"limits":{}})")
            .has_value();
    };
    CHECK(accepted(route, R"({"name":"s"})"));
    CHECK_FALSE(accepted(route, R"({"name":"other"})"));
    CHECK_FALSE(accepted(route + "," + route, R"({"name":"s"})"));
    CHECK_FALSE(
        accepted(R"({"name":"r","host":"h","pathPrefix":"/p/","service":"s","timeoutMs":0})",
                 R"({"name":"s"})"));
    CHECK_FALSE(accepted(route, "7"));
    CHECK_FALSE(parseConfiguration(R"({"version":7,"routes":[])").has_value());
    CHECK_FALSE(parseConfiguration(R"({"version":"7","routes":[],"services":[]})").has_value());
    const auto factor = parseConfiguration(
        R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","service":"s",)"
        R"("timeoutMs":1,"stretchFactor":1.5}],"services":[{"name":"s"}],"limits":{}})");
    REQUIRE(factor.has_value());
    CHECK(factor->queues.at(0).stretchThousandths == 1500);
}

TEST_CASE("A minion announcement with a missing field or a field of the wrong type is refused")
{
    const std::string path = "/oleanderusher/instances/i-7f3a91c2";
    const auto good =
        codec.decodeMinionCall(request("PUT", path, announcement(R"(,"born":1700000000000)")));
    REQUIRE(good.has_value());
    const auto &minion = std::get<Fleet::MinionAnnouncement>(*good).minion;
    CHECK(minion.life == MinionLife{"i-7f3a91c2", 1'700'000'000'000});
    CHECK(minion.milliCores == 16'000);
    CHECK(minion.labels == std::vector<std::string>{"a", "r1-3"});
    CHECK_FALSE(codec.decodeMinionCall(request("PUT", path, announcement(""))).has_value());
    CHECK_FALSE(
        codec.decodeMinionCall(request("PUT", path, announcement(R"(,"born":"now")"))).has_value());
    CHECK_FALSE(codec.decodeMinionCall(request("PUT", path, "\xff\xfe")).has_value());
    CHECK_FALSE(codec.decodeMinionCall(request("PUT", path, "[]")).has_value());
    CHECK(std::holds_alternative<Fleet::MinionDeparture>(
        *codec.decodeMinionCall(request("DELETE", path))));
}

// Guards against cold minions that receive as many starts as warm ones.
TEST_CASE("The remaining cold time of a minion is decoded")
{
    const auto call = codec.decodeMinionCall(request("PUT", "/oleanderusher/instances/i-1",
                                                     announcementWith("coldRemainingMs", "2500")));
    REQUIRE(call.has_value());
    CHECK(std::get<Fleet::MinionAnnouncement>(*call).minion.coldRemainingMs == 2'500);
}

TEST_CASE("An announcement whose address names no reachable port is refused")
{
    CHECK_FALSE(isAnnouncementRefused(announcementWith("address", R"("10.0.0.1:65535")")));
    for (const std::string address :
         {R"("10.0.0.1:99999")", R"("10.0.0.1:65536")", R"("10.0.0.1:0")", R"("10.0.0.1:-1")",
          R"("10.0.0.1")", R"("10.0.0.256:80")", R"("somewhere:80")", R"("")", "80", "null"}) {
        INFO(address);
        CHECK(isAnnouncementRefused(announcementWith("address", address)));
    }
}

TEST_CASE("The error about an odd address is short")
{
    constexpr std::size_t MaxDetailBytes = 500;
    const std::string address = '"' + std::string(100'000, '1') + '"';
    const auto refused = codec.decodeMinionCall(
        request("PUT", "/oleanderusher/instances/i-1", announcementWith("address", address)));
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().detail.size() < MaxDetailBytes);
}

TEST_CASE("An announcement with a number outside the range of its field is refused")
{
    CHECK_FALSE(isAnnouncementRefused(announcementWith("cpu", "256000")));
    for (const std::string field :
         {"cpu", "memMb", "gpu", "born", "sequence", "clockMs", "slots", "coldRemainingMs"}) {
        for (const std::string value :
             {"4294967297000000", "18446744073709551615", "-1", "1e30", "1.5", R"("8")", "[]"}) {
            INFO(field << " " << value);
            const bool isTimeOrCounter =
                field == "born" || field == "clockMs" || field == "sequence";
            const bool isInRange = isTimeOrCounter && value == "4294967297000000";
            CHECK(isAnnouncementRefused(announcementWith(field, value)) == !isInRange);
        }
    }
    CHECK(isAnnouncementRefused(announcementWith("cpu", "4294967297")));
    CHECK(isAnnouncementRefused(announcementWith("memMb", "4294967296")));
}

TEST_CASE("An announcement under a name that no header can carry is refused")
{
    const std::string body = announcement(R"(,"born":1700000000000)");
    for (const std::string &name :
         {std::string("a b"), std::string("a\r\nb"), std::string("a\xff"), std::string(129, 'a')}) {
        INFO(name);
        const auto call =
            codec.decodeMinionCall(request("PUT", "/oleanderusher/instances/" + name, body));
        CHECK_FALSE(call.has_value());
    }
}

TEST_CASE("A deeply nested body is refused by every reader")
{
    const std::string deep = nested(1'000);
    CHECK(isAnnouncementRefused(announcementWith("labels", deep)));
    CHECK(isAnnouncementRefused(announcement(R"(,"born":1700000000000,"unread":)" + deep)));
    CHECK_FALSE(parseJob("5c0e7a21d94b36f8",
                         R"({"spec":"s","steps":[{"count":1}],"unread":)" + deep + "}"));
    CHECK_FALSE(
        parseConfiguration(R"({"version":7,"routes":[],"services":[],"limits":)" + deep + "}"));
    CHECK_FALSE(codec.decodeRunLists(
        {200, {}, R"({"clockMs":1,"born":5,"running":[],"finished":[],"unread":)" + deep + "}"}));
}

TEST_CASE("A number outside the range of its field is never reduced to another value")
{
    const auto lists = [](const std::string &running, const std::string &finished) {
        return codec.decodeRunLists({200,
                                     {},
                                     R"({"clockMs":1,"born":5,"running":[)" + running
                                         + R"(],"finished":[)" + finished + "]}"});
    };
    CHECK(lists(R"(["5c0e7a21d94b36f8.0.1.17",2,"",41,9])", ""));
    CHECK_FALSE(lists(R"(["5c0e7a21d94b36f8.0.1.17",4294967298,"",41,9])", ""));
    CHECK_FALSE(lists("", R"([58,"5c0e7a21d94b36f8.0.1.9",4294967297,"done",""])"));
    CHECK_FALSE(lists("", R"([18446744073709551615,"5c0e7a21d94b36f8.0.1.9",1,"done",""])"));
    const auto large = lists(R"(["5c0e7a21d94b36f8.0.1.17",2,"",1e30,1e30])", "");
    REQUIRE(large);
    CHECK(large->running.at(0).percent == 100);
    CHECK(large->running.at(0).latencyOrMilliCores == std::numeric_limits<std::uint32_t>::max());
    const auto negative = lists(R"(["5c0e7a21d94b36f8.0.1.17",2,"",-1,-1e30])", "");
    REQUIRE(negative);
    CHECK(negative->running.at(0).percent == 0);
    CHECK(negative->running.at(0).latencyOrMilliCores == 0);

    const auto configuration = [](const std::string &version, const std::string &factor) {
        return parseConfiguration(
            R"({"version":)" + version
            + R"(,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","service":"s",)"
              R"("timeoutMs":1,"stretchFactor":)"
            + factor + R"(}],"services":[{"name":"s"}],"limits":{}})");
    };
    CHECK(configuration("7", "1.5"));
    CHECK_FALSE(configuration("7", "1e30"));
    CHECK_FALSE(configuration("7", "4294968"));
    CHECK_FALSE(configuration("18446744073709551615", "1.5"));
    CHECK_FALSE(parseJob("5c0e7a21d94b36f8",
                         R"({"spec":"s","steps":[{"count":1,"memMb":18446744073709551615}]})"));
}

TEST_CASE("A deadline that is no usable number never becomes a negative timeout")
{
    const auto timeoutOf = [](const std::string &deadline) {
        HttpRequest call = request("GET", "/press/5c0e7a21d94b36f8");
        call.headers.push_back({"Oleanderusher-Deadline-Ms", deadline});
        return codec.decodeClientCall(call)->timeout;
    };
    CHECK(timeoutOf("1000") == std::chrono::milliseconds(900));
    const Duration fallback = codec.decodeClientCall(request("GET", "/press/x"))->timeout;
    for (const std::string text : {"-5", "soon", "", "1000ms", "0x10"}) {
        INFO(text);
        CHECK(timeoutOf(text) == fallback);
    }
    for (const std::string text : {"9223372036854775807", "99999999999999999999"}) {
        INFO(text);
        CHECK(timeoutOf(text) >= fallback);
        CHECK(timeoutOf(text) <= std::chrono::hours(1));
    }
}

TEST_CASE("The run lists of a minion are refused if any row or field is invalid")
{
    const auto lists = codec.decodeRunLists(
        {200,
         {},
         R"({"clockMs":482113,"born":5,"running":[["5c0e7a21d94b36f8.0.1.17",2,"0000",41,9]],)"
         R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],)"
         R"([59,"5c0e7a21d94b36f8.0.1.8",1,"broken","ab"]]})"});
    REQUIRE(lists.has_value());
    CHECK(lists->bornMs == 5);
    CHECK(lists->running.at(0).task == TaskRef{"5c0e7a21d94b36f8", 1, 17});
    CHECK(lists->running.at(0).percent == 41);
    CHECK(lists->running.at(0).latencyOrMilliCores == 9);
    CHECK(lists->finished.at(0).kind == RunEndKind::Done);
    CHECK(lists->finished.at(1).kind == RunEndKind::Stopped);
    CHECK(lists->finished.at(1).checkpoint == "ab");
    CHECK_FALSE(
        codec.decodeRunLists({200, {}, R"({"clockMs":1,"running":[],"finished":[]})"}).has_value());
    CHECK_FALSE(codec
                    .decodeRunLists(
                        {200, {}, R"({"clockMs":1,"born":5,"running":[["x",1]],"finished":[]})"})
                    .has_value());
    CHECK_FALSE(codec.decodeRunLists({503, {}, "{}"}).has_value());
}

TEST_CASE("A list of as many ends as the platform lists at a time may not be the list of all ends")
{
    constexpr std::size_t MaxListedEnds = 500;
    const auto hasMoreEnds = [](std::size_t ends) {
        std::string rows;
        for (std::size_t i = 1; i <= ends; ++i) {
            rows += fmt::format(R"({}[{},"5c0e7a21d94b36f8.0.1.{}",1,"done",""])",
                                i == 1 ? "" : ",", i, i);
        }
        const auto lists = codec.decodeRunLists(
            {200,
             {},
             fmt::format(R"({{"clockMs":9,"born":5,"running":[],"finished":[{}]}})", rows)});
        REQUIRE(lists.has_value());
        CHECK(lists->finished.size() == ends);
        return lists->hasMoreEnds;
    };
    CHECK_FALSE(hasMoreEnds(0));
    CHECK_FALSE(hasMoreEnds(MaxListedEnds - 1));
    CHECK(hasMoreEnds(MaxListedEnds));
    CHECK(hasMoreEnds(MaxListedEnds + 1));
}

TEST_CASE("A minion that has seen a higher fence is told from one that refuses for another reason")
{
    CHECK(codec.isFenceRefusal({409, {}, R"({"clockMs":1,"reason":"fence"})"}));
    CHECK_FALSE(codec.isFenceRefusal({409, {}, R"({"clockMs":1,"reason":"old"})"}));
    CHECK_FALSE(codec.isFenceRefusal({409, {}, R"({"clockMs":1})"}));
    CHECK_FALSE(codec.isFenceRefusal({409, {}, "reason"}));
    CHECK_FALSE(codec.isFenceRefusal({200, {}, R"({"reason":"fence"})"}));
}

TEST_CASE("Every kind of answer has the HTTP status that the platform's callers expect")
{
    const auto status = [](JobAnswerKind kind) {
        JobAnswer answer;
        answer.kind = kind;
        return codec.encodeClientAnswer(answer).status;
    };
    CHECK(status(JobAnswerKind::Accepted) == 200);
    CHECK(status(JobAnswerKind::NoSuchQueue) == 404);
    CHECK(status(JobAnswerKind::NoSuchJob) == 410);
    CHECK(status(JobAnswerKind::NoConfiguration) == 503);
    CHECK(status(JobAnswerKind::Overloaded) == 503);
    CHECK(status(JobAnswerKind::NotOffered) == 404);
    CHECK(status(JobAnswerKind::UnknownFailureDomain) == 422);
    // After 409 an operator gives up.
    CHECK(status(JobAnswerKind::OutdatedEvacuation) == 503);
    // A call that may have taken effect must not be reported as refused.
    CHECK(status(JobAnswerKind::Unknown) == 504);
    JobAnswer answer;
    answer.kind = JobAnswerKind::Overloaded;
    answer.retryAfterMs = 1'200;
    CHECK(codec.encodeClientAnswer(answer).headers.back().value == "2");
}

TEST_CASE("The evacuation of a failure domain is requested and withdrawn by path and method")
{
    // Guards against a name that reaches the leader in another form than the minions announce it.
    const auto decoded = [](const std::string &method, const std::string &name) {
        const auto call =
            codec.decodeOperatorCall(request(method, "/oleanderusher/evacuations" + name));
        REQUIRE(call.has_value());
        return std::get<EvacuationCall>(call->body);
    };
    CHECK(decoded("POST", "/z-1").failureDomain == "z-1");
    CHECK(decoded("POST", "/z-1").requested);
    CHECK_FALSE(decoded("DELETE", "/z-1").requested);
    CHECK(decoded("POST", "/z%2d%C3%a91").failureDomain == "z-\xc3\xa9\x31");
    CHECK(decoded("POST", "/z-1").expected == EvacuationVersion{});
}

TEST_CASE("An evacuation request with a missing or malformed name is refused with the reason")
{
    const auto problem = [](const std::string &method, const std::string &rest) {
        const auto call =
            codec.decodeOperatorCall(request(method, "/oleanderusher/evacuations" + rest));
        return call ? std::string("accepted") : call.error().detail;
    };
    CHECK(problem("POST", "") == "The path names no failure domain.");
    CHECK(problem("DELETE", "/") == "The path names no failure domain.");
    CHECK(problem("GET", "/z") == "The method is not POST or DELETE.");
    CHECK(problem("POST", "more") == "The path is not that of an operator call.");
    const std::string names[] = {
        "a/b", "a,b", "a%2Fb", "a%20b", "a%00", "a%", "a%4", "a%zz", std::string(129, 'a')};
    for (const std::string &name : names) {
        INFO(name);
        const std::string detail = problem("POST", "/" + name);
        CHECK(detail.find("'" + name.substr(0, 64) + "'") != std::string::npos);
        CHECK(detail.size() < 256);
    }
}

TEST_CASE("Task names are parsed as they are formatted")
{
    const TaskRef task{"5c0e7a21d94b36f8", 1, 17};
    TaskRef read;
    CHECK(taskName(task) == "5c0e7a21d94b36f8.0.1.17");
    REQUIRE(parseTaskName(taskName(task), read));
    CHECK(read == task);
    for (const char *bad : {"", "x", "x.0.1", "x.0.1.", "x.0.1.2.3", "x.0.a.2"})
        CHECK_FALSE(parseTaskName(bad, read));
}

TEST_CASE("No name of the platform appears outside its folder")
{
    for (const auto &file :
         std::filesystem::recursive_directory_iterator(OLEANDER_ROOT "/Source")) {
        if (!file.is_regular_file())
            continue;
        std::ifstream stream(file.path());
        std::ostringstream text;
        text << stream.rdbuf();
        for (const char *name : {"/oleanderusher/", "Oleanderusher-", "OLEANDERUSHER_", "run-start",
                                 "ackCursor", "pathPrefix\"", "memMb", "stretchFactor"}) {
            INFO(file.path() << " holds " << name);
            CHECK(text.str().find(name) == std::string::npos);
        }
    }
}
