#include "Records/parse.h"

#include "Records/fieldreader.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Oleander;
using namespace Oleander::Records;
using Catch::Matchers::Contains;

namespace {

std::string errorOf(RecordKind kind, const std::string &body)
{
    const auto parsed = parseBody(kind, body);
    REQUIRE_FALSE(parsed.has_value());
    CHECK(parsed.error().step == Step::Receive);
    return parsed.error().detail;
}

const std::string Batch1 = R"({"schema":1,"team":"billing","cores":2,"memory-gib":4,)"
                           R"("command":"pack","urgent":true})";
const std::string Batch2 = R"({"schema":2,"team":"billing","resources":{"milli-cores":2000,)"
                           R"("memory-mib":4096},"payload":"pack","urgency":"urgent"})";

} // namespace

TEST_CASE("Both schema versions of a batch job give the same spec")
{
    const auto first = parseBody(RecordKind::Batch, Batch1);
    const auto second = parseBody(RecordKind::Batch, Batch2);
    REQUIRE(first.has_value());
    REQUIRE(second.has_value());
    CHECK(first->schema == 1);
    CHECK(second->schema == 2);
    CHECK(first->spec == second->spec);
}

TEST_CASE("A body is written under the schema version in which it was read")
{
    const std::pair<RecordKind, std::string> bodies[] = {
        {RecordKind::Batch, Batch1},
        {RecordKind::Batch, Batch2},
        {RecordKind::Service,
         R"({"schema":1,"team":"t","cores":1,"memory-gib":1,"replicas":2,"command":"c"})"},
        {RecordKind::Service,
         R"({"schema":2,"team":"t","resources":{"milli-cores":500,"memory-mib":64,)"
         R"("accelerators":1},"payload":"c","spread":"rack","latency-target-ms":250})"},
        {RecordKind::Drain, R"({"schema":1,"host":"w1","reason":"fan"})"},
        {RecordKind::Drain, R"({"schema":2,"worker":"w1","reason":"fan"})"},
        {RecordKind::Configuration, R"({"schema":1,"settings":{"a":"1"}})"},
        {RecordKind::Configuration, R"({"schema":2,"values":{"a":"1"}})"},
    };
    for (const auto &[kind, body] : bodies) {
        INFO(body);
        const auto parsed = parseBody(kind, body);
        REQUIRE(parsed.has_value());
        const auto again = parseBody(kind, serializeBody(parsed->schema, parsed->spec));
        REQUIRE(again.has_value());
        CHECK(again->schema == parsed->schema);
        CHECK(again->spec == parsed->spec);
    }
}

TEST_CASE("Each error of a body names the field, its value and the allowed values")
{
    const auto text =
        errorOf(RecordKind::Batch,
                R"({"schema":2,"team":"Big Team","resources":{"milli-cores":0,"memory-mib":"4"},)"
                R"("payload":"p","urgency":"now","max-attempts":-1,"colour":"red"})");
    CHECK_THAT(text, Contains("'team' is \"Big Team\"; allowed is a name"));
    CHECK_THAT(text, Contains("'resources.milli-cores' is 0; allowed is a whole number from 1"));
    CHECK_THAT(text, Contains("'resources.memory-mib' is \"4\""));
    CHECK_THAT(text, Contains("'urgency' is \"now\"; allowed is ordinary or urgent"));
    CHECK_THAT(text, Contains("'max-attempts' is -1"));
    CHECK_THAT(text, Contains("colour"));
    CHECK_THAT(text, Contains("allowed are schema, team, resources"));
}

TEST_CASE("A field of one schema version is rejected under the other")
{
    CHECK_THAT(errorOf(RecordKind::Drain, R"({"schema":2,"host":"w1","reason":"fan"})"),
               Contains("'worker' is missing") && Contains("host"));
    CHECK_THAT(errorOf(RecordKind::Drain, R"({"schema":3,"worker":"w1","reason":"fan"})"),
               Contains("'schema' is 3; allowed is a whole number from 1 to 2"));
}

TEST_CASE("Bodies that are not a single well-formed object are rejected")
{
    CHECK_THAT(errorOf(RecordKind::Batch, ""), Contains("not valid JSON"));
    CHECK_THAT(errorOf(RecordKind::Batch, "[1]"), Contains("JSON array; allowed is an object"));
    CHECK_THAT(errorOf(RecordKind::Drain, R"({"schema":2,"worker":"a","worker":"b"})"),
               Contains("\"worker\" appears twice"));
    CHECK_THAT(errorOf(RecordKind::Batch, std::string(1000, '[')), Contains("nested"));
    CHECK_THAT(errorOf(RecordKind::Batch, std::string(MaxBodyBytes + 1, ' ')),
               Contains("allowed are at most"));
    CHECK_THAT(errorOf(RecordKind::Drain, "{\"schema\":2,\"worker\":\"\xff\"}"),
               Contains("not valid JSON"));
}

TEST_CASE("Kinds, record names and operator names are checked")
{
    CHECK(parseKey("batch", "archive-2026.11").has_value());
    CHECK_THAT(parseKey("job", "a").error().detail,
               Contains("'job'; allowed is service, batch, drain or configuration"));
    CHECK_FALSE(parseKey("batch", "").has_value());
    CHECK_FALSE(parseKey("batch", "-a").has_value());
    CHECK_FALSE(parseKey("batch", "a/b").has_value());
    CHECK_FALSE(parseKey("batch", std::string(129, 'a')).has_value());
    CHECK(checkAuthor("anna@night").has_value());
    CHECK_FALSE(checkAuthor("").has_value());
    CHECK_FALSE(checkAuthor("a\nb").has_value());
}

TEST_CASE("A deeply nested value in a record is an error, and its message is short")
{
    constexpr std::size_t Levels = 100'000;
    constexpr std::size_t MaxMessageBytes = 500;
    const std::string nested = std::string(Levels, '[') + std::string(Levels, ']');
    const auto object = nlohmann::json::parse(R"({"a":)" + nested + R"(,"b":)" + nested + "}");
    std::vector<std::string> errors;
    FieldReader fields(object, {}, errors);
    CHECK(fields.number("a", 1, 2) == 1);
    fields.finish();
    REQUIRE(errors.size() == 2);
    for (const auto &error : errors)
        CHECK(error.size() < MaxMessageBytes);
    CHECK_THAT(errorOf(RecordKind::Batch, R"({"schema":)" + nested + "}"),
               Contains("nested more than 4 levels deep"));
}
