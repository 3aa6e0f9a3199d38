#include "Protocol/codec.h"

#include "Protocol/messages.h"

#include <catch2/catch.hpp>

using namespace Oleander;

namespace {

Frame sampleFrame()
{
    Heartbeat heartbeat;
    heartbeat.stamp = 7;
    heartbeat.minions.push_back({"m1", "notices", MinionState::Draining, 8, 64, 3, 1});
    heartbeat.usage.push_back({"t1", 2, std::chrono::seconds(5), {500, 64, 0}, {}, 0.75});
    Frame frame;
    frame.sender = "agent-1";
    frame.incarnation = 3;
    frame.message = heartbeat;
    return frame;
}

} // namespace

TEST_CASE("A frame is unchanged after encoding and decoding")
{
    const auto decoded = decodeFrame(encodeFrame(sampleFrame()), "agent-1");
    REQUIRE(decoded.has_value());
    const auto &heartbeat = std::get<Heartbeat>(decoded->message);
    CHECK(heartbeat.stamp == 7);
    CHECK(heartbeat.minions.at(0).state == MinionState::Draining);
    CHECK(heartbeat.usage.at(0).age == std::chrono::seconds(5));
    CHECK(heartbeat.usage.at(0).progress == 0.75);
}

TEST_CASE("Decoding a truncated or malformed frame fails with an error that names the peer")
{
    const std::string bytes = encodeFrame(sampleFrame());
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decodeFrame(std::string_view(bytes).substr(0, length), "agent-1").has_value());
    const auto refused = decodeFrame("nonsense", "agent-1");
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().peer == "agent-1");
    CHECK(refused.error().step == Step::Decode);
}

TEST_CASE("A frame of another protocol version is refused")
{
    Frame frame = sampleFrame();
    frame.protocol = ProtocolVersion + 1;
    CHECK_FALSE(decodeFrame(encodeFrame(frame), "agent-1").has_value());
}

TEST_CASE("Doubles with and without a fraction and of either sign are decoded exactly")
{
    for (const double number : {0.0, 1.0, -1.0, 0.75, -2.5, 1e300, 4503599627370497.0}) {
        const auto decoded = decode<double>(encode(number));
        REQUIRE(decoded.has_value());
        CHECK(*decoded == number);
    }
}
