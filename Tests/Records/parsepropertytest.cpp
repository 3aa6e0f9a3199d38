#include "Placement/property.h"
#include "Records/parse.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace Oleander;
using namespace Oleander::Records;
using nlohmann::json;

namespace {

const std::vector<std::pair<RecordKind, std::string>> Bodies = {
    {RecordKind::Service,
     R"({"schema":1,"team":"t","cores":1,"memory-gib":1,"replicas":2,"command":"c"})"},
    {RecordKind::Service,
     R"({"schema":2,"team":"t","resources":{"milli-cores":500,"memory-mib":64,"accelerators":1},)"
     R"("payload":"c","spread":"rack","latency-target-ms":250,"replicas":3})"},
    {RecordKind::Batch,
     R"({"schema":1,"team":"b","cores":2,"memory-gib":4,"command":"pack","urgent":true})"},
    {RecordKind::Batch,
     R"({"schema":2,"team":"b","resources":{"milli-cores":2000,"memory-mib":4096},)"
     R"("payload":"pack","urgency":"urgent","idempotent":false,"max-attempts":5,)"
     R"("expected-seconds":60})"},
    {RecordKind::Drain, R"({"schema":1,"host":"w1","reason":"fan"})"},
    {RecordKind::Drain, R"({"schema":2,"worker":"w1","reason":"fan \u00e9\ud83d\ude00"})"},
    {RecordKind::Configuration, R"({"schema":1,"settings":{"a":"1"}})"},
    {RecordKind::Configuration, R"({"schema":2,"values":{"a":"1","b":"two"}})"},
};

/** Fragments that often break JSON parsers. */
const std::vector<std::string> Splices = {"{",
                                          "}",
                                          "[",
                                          "]",
                                          "\"",
                                          ":",
                                          ",",
                                          "null",
                                          "true",
                                          "-1",
                                          "1e99",
                                          "0.5",
                                          "18446744073709551616",
                                          "\\u0000",
                                          "\\ud800",
                                          "\xff",
                                          "\xc3",
                                          std::string(1, '\0'),
                                          "\"schema\":1,",
                                          "\"team\":\"x\",",
                                          "[[[[[[[[",
                                          "\"a\":{\"b\":{\"c\":{\"d\":{}}}},",
                                          "//",
                                          "NaN"};

std::string mutated(std::string text)
{
    const int edits = *rc::gen::inRange(1, 5);
    for (int i = 0; i < edits && !text.empty(); ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto length =
            *rc::gen::inRange<std::size_t>(0, std::min<std::size_t>(8, text.size()));
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            text.erase(at, length);
            break;
        case 1:
            text.insert(at, *rc::gen::elementOf(Splices));
            break;
        case 2:
            text[at] = static_cast<char>(*rc::gen::inRange(0, 256));
            break;
        case 3:
            text.resize(at);
            break;
        default:
            text.insert(at, text.substr(at / 2, length));
        }
    }
    return text;
}

/** True if \a actual contains each field of \a expected with the same value. */
bool containsAll(const json &actual, const json &expected)
{
    for (const auto &[field, value] : expected.items()) {
        if (!actual.contains(field))
            return false;
        if (value.is_object() ? !containsAll(actual[field], value) : actual[field] != value)
            return false;
    }
    return true;
}

} // namespace

TEST_CASE("Any body is either stored completely or rejected with a clear error")
{
    int accepted = 0;
    int refused = 0;
    const auto failure = Testing::propertyFailure(42, 20000, [&] {
        const auto [kind, body] = *rc::gen::elementOf(Bodies);
        const auto text = mutated(body);
        const auto parsed = parseBody(kind, text);
        if (!parsed) {
            ++refused;
            RC_ASSERT(parsed.error().step == Step::Receive);
            RC_ASSERT(parsed.error().detail.size() > 10);
            RC_ASSERT(parsed.error().detail.back() == '.');
            // The error must be valid UTF-8 for any input, so that an answer can contain it.
            RC_ASSERT(json(parsed.error().detail).dump().size() > 10);
            return;
        }
        ++accepted;
        const auto written = serializeBody(parsed->schema, parsed->spec);
        RC_ASSERT(containsAll(json::parse(written), json::parse(text)));
        const auto again = parseBody(kind, written);
        RC_ASSERT(again.has_value());
        RC_ASSERT(again->spec == parsed->spec);
        RC_ASSERT(again->schema == parsed->schema);
    });
    INFO(failure);
    CHECK(failure.empty());
    // The mutations must reach both outcomes often enough for the test to be meaningful.
    CHECK(accepted > 500);
    CHECK(refused > 5000);
}

TEST_CASE("Any path gives either a valid key or a clear error")
{
    const auto failure = Testing::propertyFailure(43, 5000, [] {
        const auto kind = *rc::gen::element<std::string>("batch", "service", "drain", "Batch", "");
        const auto name = mutated("archive-2026.11_a");
        const auto key = parseKey(kind, name);
        if (key) {
            RC_ASSERT(key->name == name);
            RC_ASSERT(kindName(key->kind) == kind);
        } else {
            RC_ASSERT(key.error().detail.find("allowed") != std::string::npos);
        }
    });
    INFO(failure);
    CHECK(failure.empty());
}
