#include "Agent/workerinterface.h"

#include <catch2/catch.hpp>

#include <string>

using namespace Oleander;

namespace {

std::string listing(const std::string &attempt, const std::string &more = {})
{
    return R"([{"task":"batch/a/0","attempt":)" + attempt + R"(,"session":1,"state":"running")"
           + more + "}]";
}

std::string usage(const std::string &field, const std::string &value)
{
    return R"([{"task":"batch/a/0","attempt":1,")" + field + R"(":)" + value + "}]";
}

} // namespace

TEST_CASE("A deeply nested answer of a worker is refused")
{
    constexpr std::size_t Levels = 100'000;
    const std::string nested = std::string(Levels, '[') + std::string(Levels, ']');
    CHECK(parseListing(listing("1")).has_value());
    CHECK_FALSE(parseListing(nested).has_value());
    CHECK_FALSE(parseListing(listing("1", R"(,"unread":)" + nested)).has_value());
    CHECK_FALSE(parseUsage(usage("unread", nested)).has_value());
    CHECK(refusalReason({409, {}, R"({"reason":)" + nested + "}"})
          == "The worker answered with status 409.");
}

TEST_CASE("A number of a worker outside the range of its field is never reduced to another value")
{
    CHECK_FALSE(parseListing(listing("4294967297")).has_value());
    CHECK_FALSE(parseUsage(usage("millicores", "4294967297")).has_value());
    CHECK_FALSE(parseUsage(usage("accelerators", "4294967297")).has_value());
    CHECK(parseUsage(usage("age_us", "5000000")).value().at(0).age == std::chrono::seconds(5));
    for (const std::string field : {"age_us", "latency_p99_us"}) {
        INFO(field);
        CHECK_FALSE(parseUsage(usage(field, "18446744073709551615")).has_value());
        CHECK_FALSE(parseUsage(usage(field, "9223372036854775807")).has_value());
    }
}
