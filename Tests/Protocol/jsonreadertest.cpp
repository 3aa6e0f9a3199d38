#include "Protocol/jsonreader.h"

#include <catch2/catch.hpp>

using namespace Oleander;

TEST_CASE("A document is refused if it exceeds the allowed nesting or number of values")
{
    const JsonLimits limits{.maxDepth = 2, .maxValues = 5};
    for (const std::string text : {"1", "[[1]]", R"({"a":{"b":1}})", "[1,2,3,4,5]", "[[],[]]",
                                   R"(["[[[[,,,,,,","\"[[[[,,,,,,\\"])"}) {
        INFO(text);
        CHECK(parseJson(text, limits).has_value());
    }
    for (const std::string text :
         {"[[[1]]]", R"({"a":{"b":{}}})", "[1,2,3,4,5,6]", "[[],[],[]]", "[[[", "[,,,,,"}) {
        INFO(text);
        const auto refused = parseJson(text, limits);
        REQUIRE_FALSE(refused.has_value());
        CHECK(refused.error().detail.find("allowed are at most") != std::string::npos);
    }
    for (const std::string text : {"", "]]]", "[1", "\"a", "\"\\", "{\"a\"}", "\xff", "1e400"}) {
        INFO(text);
        CHECK_FALSE(parseJson(text, limits).has_value());
    }
}

TEST_CASE("Values are counted outside of strings, up to the given maximum")
{
    // The memory of a request is estimated from this number before the request is parsed.
    CHECK(countJsonValues(R"([1,{"a,[":2,"\\":3},"\",,"])", 100) == 5);
    CHECK(countJsonValues("[,,,,", 3) == 3);
}

TEST_CASE("Only integers within the range are read")
{
    using Json = nlohmann::json;
    CHECK(integerIn(Json(7), 7, 7) == 7U);
    for (const Json &value : {Json(6), Json(8), Json(-7), Json(7.0), Json("7"), Json(), Json{7}})
        CHECK_FALSE(integerIn(value, 7, 7).has_value());
    std::uint8_t number = 5;
    CHECK_FALSE(readInteger(Json(256), number));
    CHECK_FALSE(readInteger(Json(11), number, 10));
    CHECK(number == 5);
    CHECK(readInteger(Json(255), number));
    CHECK(number == 255);
}

TEST_CASE("The text of a value for an error message is short")
{
    using Json = nlohmann::json;
    CHECK(jsonText(Json("\xff")) == "\"\xef\xbf\xbd\"");
    CHECK(displayText(Json::parse("[1,[2]]")) == "[1,[2]]");
    CHECK(displayText(Json("\xff")) == R"("\ufffd")");
    CHECK(displayText(Json(std::string(100, 'x'))).size() == 83);
    CHECK(displayText(Json::parse(std::string(100, '[') + std::string(100, ']')))
          == "a deeply nested array");
}
