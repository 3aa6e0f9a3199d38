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

/** Texts that often break readers of JSON. */
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

/** True when each field of \a asked stands in \a kept with the same value. */
bool holdsAll(const json &kept, const json &asked)
{
    for (const auto &[field, value] : asked.items()) {
        if (!kept.contains(field))
            return false;
        if (value.is_object() ? !holdsAll(kept[field], value) : kept[field] != value)
            return false;
    }
    return true;
}

} // namespace

TEST_CASE("Whatever the body, it is kept whole or refused with a clear error")
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
            // Whatever the bytes were, the error is text that an answer can carry.
            RC_ASSERT(json(parsed.error().detail).dump().size() > 10);
            return;
        }
        ++accepted;
        const auto kept = serializeBody(parsed->schema, parsed->spec);
        RC_ASSERT(holdsAll(json::parse(kept), json::parse(text)));
        const auto again = parseBody(kind, kept);
        RC_ASSERT(again.has_value());
        RC_ASSERT(again->spec == parsed->spec);
        RC_ASSERT(again->schema == parsed->schema);
    });
    INFO(failure);
    CHECK(failure.empty());
    // The mutations reach both outcomes often enough to mean something.
    CHECK(accepted > 500);
    CHECK(refused > 5000);
}

TEST_CASE("Whatever the path, a key is a name that can be kept or a clear error")
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
