#include "jobformat.h"
#include "platformcodec.h"
#include "Support/mutation.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace Oleander;
using namespace Oleander::Platform;
using Testing::Mutator;

namespace {

constexpr int Calls = 5'000;

const Fleet::FleetCodec &codec = platformCodec();

HttpRequest request(const std::string &method, const std::string &path, const std::string &body)
{
    HttpRequest made;
    made.method = method;
    made.path = path;
    made.headers = {{"Host", "press.example"}};
    made.body = body;
    return made;
}

/** An error that can be sent to the caller and logged, whatever the bytes that led to it. */
void checkError(const Error &error)
{
    constexpr std::size_t MaxDetail = 400;
    REQUIRE(error.detail.size() > 10);
    REQUIRE(error.detail.size() < MaxDetail);
    JobAnswer answer;
    answer.kind = JobAnswerKind::Invalid;
    answer.detail = error.detail;
    REQUIRE(codec.encodeClientAnswer(answer).status == 400);
    REQUIRE(codec.encodeOperatorAnswer(answer).status == 400);
}

/** Decodes altered copies of \a body with \a decode, which returns the error or nullopt. */
void checkAltered(std::uint64_t seed, const std::string &body,
                  const std::function<std::optional<Error>(const std::string &)> &decode)
{
    REQUIRE_FALSE(decode(body).has_value());
    Mutator mutator(seed, Testing::jsonFragments());
    int refused = 0;
    for (int i = 0; i < Calls; ++i) {
        const std::string altered = mutator.alter(body);
        INFO("call " << i << ": " << altered);
        if (const auto error = decode(altered)) {
            ++refused;
            checkError(*error);
        }
    }
    // The changes must reach both outcomes often enough for the test to be meaningful.
    CHECK(refused > Calls / 10);
    CHECK(refused < Calls);
}

template<typename T>
std::optional<Error> errorOf(const Result<T> &result)
{
    return result ? std::nullopt : std::optional(result.error());
}

} // namespace

TEST_CASE("An altered job is accepted or refused with an error that can be sent")
{
    const std::string body =
        R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900,)"
        R"("affinity":"r1-3"},{"count":20,"cpu":2000,"memMb":1024,"gpu":1,"dependsOn":[0],)"
        R"("checkpointing":true,"maxPerServer":2,"image":"i","fills":true},)"
        R"({"count":1,"longRunning":true,"targetMs":25,"requiredLabel":"a"}]})";
    checkAltered(1, body, [](const std::string &text) {
        return errorOf(codec.decodeClientCall(request("POST", "/press/5c0e7a21d94b36f8", text)));
    });
}

TEST_CASE("An altered configuration is accepted or refused with an error that can be sent")
{
    const std::string body =
        R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","service":"s",)"
        R"("timeoutMs":3000,"stretchFactor":1.5}],"services":[{"name":"s"}],"limits":{}})";
    checkAltered(2, body,
                 [](const std::string &text) { return errorOf(parseConfiguration(text)); });
}

TEST_CASE("An altered announcement of a minion is accepted or refused")
{
    const std::string body =
        R"({"service":"s","address":"10.0.0.1:1","zone":"z","version":"v1","slots":8,)"
        R"("state":"ready","coldRemainingMs":0,"capacity":{"cpu":16000,"memMb":32768,"gpu":0},)"
        R"("labels":["a","r1-3"],"clockMs":482113,"sequence":4,"born":1700000000000})";
    checkAltered(3, body, [](const std::string &text) {
        return errorOf(
            codec.decodeMinionCall(request("PUT", "/oleanderusher/instances/i-1", text)));
    });
}

TEST_CASE("Altered run lists of a minion are accepted or refused")
{
    const std::string body =
        R"({"clockMs":482113,"born":5,"running":[["5c0e7a21d94b36f8.0.1.17",2,"0000",41,9]],)"
        R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],)"
        R"([59,"5c0e7a21d94b36f8.0.1.8",1,"broken","ab"]]})";
    checkAltered(4, body, [](const std::string &text) {
        return errorOf(codec.decodeRunLists({200, {}, text}));
    });
}

TEST_CASE("A path with altered bytes is accepted or refused with an error that can be sent")
{
    Mutator mutator(5, {"/", "//", "..", "%00", "?", "\xff", std::string(1, '\0'), "-1"});
    for (const std::string path : {"/press/5c0e7a21d94b36f8", "/oleanderusher/instances/i-1",
                                   "/oleanderusher/evacuations/z-%41"}) {
        for (int i = 0; i < Calls; ++i) {
            const std::string altered = mutator.alter(path);
            INFO("call " << i << ": " << altered);
            for (const char *method : {"GET", "PUT", "POST", "DELETE"}) {
                const HttpRequest call = request(method, altered, "{}");
                if (const auto error = errorOf(codec.decodeClientCall(call)))
                    checkError(*error);
                if (const auto error = errorOf(codec.decodeMinionCall(call)))
                    checkError(*error);
                if (const auto error = errorOf(codec.decodeOperatorCall(call)))
                    checkError(*error);
            }
        }
    }
}
