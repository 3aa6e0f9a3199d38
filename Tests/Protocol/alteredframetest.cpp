#include "Protocol/codec.h"
#include "Protocol/messages.h"
#include "Support/mutation.h"

#include <catch2/catch.hpp>

using namespace Oleander;
using Testing::Mutator;

namespace {

constexpr std::uint64_t MaxElements = 3;

template<typename T>
void fill(Mutator &mutator, T &value);

template<typename Variant, std::size_t Index = 0>
void fillAlternative(Mutator &mutator, std::size_t wanted, Variant &value)
{
    if constexpr (Index < std::variant_size_v<Variant>) {
        if (wanted == Index)
            fill(mutator, value.template emplace<Index>());
        else
            fillAlternative<Variant, Index + 1>(mutator, wanted, value);
    }
}

template<typename T>
void fillContainer(Mutator &mutator, T &value)
{
    for (auto left = mutator.draw(MaxElements); left > 0; --left) {
        if constexpr (CodecDetail::IsVector<T>::value) {
            fill(mutator, value.emplace_back());
        } else if constexpr (CodecDetail::MapLike<T>) {
            std::pair<typename T::key_type, typename T::mapped_type> element{};
            fill(mutator, element);
            value.insert(std::move(element));
        } else {
            typename T::key_type element{};
            fill(mutator, element);
            value.insert(std::move(element));
        }
    }
}

/** Gives each field of \a value, at any depth, a drawn value. */
template<typename T>
void fill(Mutator &mutator, T &value)
{
    using namespace CodecDetail;
    if constexpr (std::is_same_v<T, bool>) {
        value = mutator.draw(2) == 1;
    } else if constexpr (std::is_enum_v<T>) {
        value = static_cast<T>(mutator.draw(MaxElements));
    } else if constexpr (std::is_arithmetic_v<T>) {
        value = static_cast<T>(mutator.drawNumber());
    } else if constexpr (std::is_same_v<T, std::string>) {
        value.assign(mutator.draw(MaxElements), static_cast<char>('a' + mutator.draw(3)));
    } else if constexpr (std::is_same_v<T, Duration>) {
        value = Duration(static_cast<std::int64_t>(mutator.drawNumber()));
    } else if constexpr (std::is_same_v<T, WallTime>) {
        value =
            WallTime(std::chrono::milliseconds(static_cast<std::int64_t>(mutator.draw(1U << 31U))));
    } else if constexpr (IsOptional<T>::value) {
        if (mutator.draw(2) == 1)
            fill(mutator, value.emplace());
    } else if constexpr (IsVariant<T>::value) {
        fillAlternative(mutator, mutator.draw(std::variant_size_v<T>), value);
    } else if constexpr (IsPair<T>::value) {
        fill(mutator, value.first);
        fill(mutator, value.second);
    } else if constexpr (IsVector<T>::value || MapLike<T> || SetLike<T>) {
        fillContainer(mutator, value);
    } else {
        visitFields([&](auto &field) { fill(mutator, field); }, value);
    }
}

/** Returns a frame with the message at \a index of Message. */
Frame drawFrame(Mutator &mutator, std::size_t index)
{
    Frame frame;
    fill(mutator, frame);
    frame.protocol = ProtocolVersion;
    fillAlternative(mutator, index, frame.message);
    return frame;
}

constexpr std::size_t Messages = std::variant_size_v<Message>;

} // namespace

TEST_CASE("No field of any message is lost or changed between two processes")
{
    constexpr int FramesPerMessage = 100;
    Mutator mutator(1);
    for (std::size_t index = 0; index < Messages; ++index) {
        for (int i = 0; i < FramesPerMessage; ++i) {
            const std::string bytes = encodeFrame(drawFrame(mutator, index));
            const auto decoded = decodeFrame(bytes, "agent-1");
            INFO("message " << index << ", frame " << i);
            REQUIRE(decoded.has_value());
            REQUIRE(decoded->message.index() == index);
            REQUIRE(encodeFrame(*decoded) == bytes);
        }
    }
}

TEST_CASE("A frame with altered bytes is refused or decodes to a frame that can be encoded")
{
    constexpr int FramesPerMessage = 1'000;
    Mutator mutator(2);
    int refused = 0;
    int accepted = 0;
    for (std::size_t index = 0; index < Messages; ++index) {
        for (int i = 0; i < FramesPerMessage; ++i) {
            const std::string bytes = mutator.alter(encodeFrame(drawFrame(mutator, index)));
            const auto decoded = decodeFrame(bytes, "agent-1");
            INFO("message " << index << ", frame " << i);
            if (!decoded) {
                ++refused;
                REQUIRE(decoded.error().code == Failure::Protocol);
                REQUIRE(decoded.error().step == Step::Decode);
                continue;
            }
            ++accepted;
            const std::string again = encodeFrame(*decoded);
            const auto second = decodeFrame(again, "agent-1");
            REQUIRE(second.has_value());
            REQUIRE(encodeFrame(*second) == again);
        }
    }
    // The changes must reach both outcomes often enough for the test to be meaningful.
    CHECK(refused > FramesPerMessage);
    CHECK(accepted > FramesPerMessage);
}
