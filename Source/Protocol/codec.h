#pragma once

#include "Base/clock.h"
#include "Base/error.h"
#include "Protocol/fields.h"
#include "Protocol/value.h"

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace Oleander {

namespace CodecDetail {

template<typename T>
struct IsVector : std::false_type
{};
template<typename T>
struct IsVector<std::vector<T>> : std::true_type
{};
template<typename T>
struct IsOptional : std::false_type
{};
template<typename T>
struct IsOptional<std::optional<T>> : std::true_type
{};
template<typename T>
struct IsVariant : std::false_type
{};
template<typename... T>
struct IsVariant<std::variant<T...>> : std::true_type
{};
template<typename T>
struct IsPair : std::false_type
{};
template<typename A, typename B>
struct IsPair<std::pair<A, B>> : std::true_type
{};
template<typename T>
concept MapLike = requires
{
    typename T::mapped_type;
};
template<typename T>
concept SetLike = requires
{
    typename T::key_type;
}
&&!MapLike<T>;

/** Counts the fields of an aggregate. */
struct CountFields
{
    std::size_t *count;
    template<typename T>
    void operator()(const T &)
    {
        ++*count;
    }
};

} // namespace CodecDetail

/** Appends \a value to \a writer. */
template<typename T>
void encodeValue(ValueWriter &writer, const T &value)
{
    using namespace CodecDetail;
    if constexpr (std::is_same_v<T, bool>) {
        writer.writeBool(value);
    } else if constexpr (std::is_enum_v<T>) {
        writer.writeUnsigned(static_cast<std::uint64_t>(value));
    } else if constexpr (std::is_floating_point_v<T>) {
        writer.writeDouble(value);
    } else if constexpr (std::is_integral_v<T> && std::is_unsigned_v<T>) {
        writer.writeUnsigned(value);
    } else if constexpr (std::is_integral_v<T>) {
        writer.writeSigned(value);
    } else if constexpr (std::is_same_v<T, std::string>) {
        writer.writeBytes(value);
    } else if constexpr (std::is_same_v<T, Duration>) {
        writer.writeSigned(value.count());
    } else if constexpr (std::is_same_v<T, WallTime>) {
        writer.writeSigned(value.time_since_epoch().count());
    } else if constexpr (IsOptional<T>::value) {
        if (value)
            encodeValue(writer, *value);
        else
            writer.writeNil();
    } else if constexpr (IsVariant<T>::value) {
        writer.writeArrayHeader(2);
        writer.writeUnsigned(value.index());
        std::visit([&](const auto &held) { encodeValue(writer, held); }, value);
    } else if constexpr (IsPair<T>::value) {
        writer.writeArrayHeader(2);
        encodeValue(writer, value.first);
        encodeValue(writer, value.second);
    } else if constexpr (IsVector<T>::value || MapLike<T> || SetLike<T>) {
        writer.writeArrayHeader(value.size());
        for (const auto &element : value)
            encodeValue(writer, element);
    } else {
        std::size_t count = 0;
        visitFields(CountFields{&count}, value);
        writer.writeArrayHeader(count);
        visitFields([&](const auto &field) { encodeValue(writer, field); }, value);
    }
}

template<typename T>
bool decodeValue(ValueReader reader, T &value);

namespace CodecDetail {

template<typename Variant, std::size_t Index = 0>
bool decodeAlternative(ValueReader reader, std::uint64_t wanted, Variant &value)
{
    if constexpr (Index < std::variant_size_v<Variant>) {
        if (wanted != Index)
            return decodeAlternative<Variant, Index + 1>(reader, wanted, value);
        return decodeValue(reader, value.template emplace<Index>());
    } else {
        return false;
    }
}

template<typename T>
bool decodeInteger(ValueReader reader, T &value)
{
    if constexpr (std::is_unsigned_v<T>) {
        std::uint64_t wide = 0;
        if (!reader.readUnsigned(wide) || wide > std::numeric_limits<T>::max())
            return false;
        value = static_cast<T>(wide);
    } else {
        std::int64_t wide = 0;
        if (!reader.readSigned(wide) || wide > std::numeric_limits<T>::max()
            || wide < std::numeric_limits<T>::min())
            return false;
        value = static_cast<T>(wide);
    }
    return true;
}

template<typename T>
bool decodeContainer(ValueReader reader, T &value)
{
    std::size_t size = 0;
    if (!reader.arraySize(size))
        return false;
    value.clear();
    for (std::size_t i = 0; i < size; ++i) {
        if constexpr (IsVector<T>::value) {
            typename T::value_type element{};
            if (!decodeValue(reader.element(i), element))
                return false;
            value.push_back(std::move(element));
        } else if constexpr (MapLike<T>) {
            std::pair<typename T::key_type, typename T::mapped_type> element{};
            if (!decodeValue(reader.element(i), element))
                return false;
            value.insert(std::move(element));
        } else {
            typename T::key_type element{};
            if (!decodeValue(reader.element(i), element))
                return false;
            value.insert(std::move(element));
        }
    }
    return true;
}

} // namespace CodecDetail

/**
 * Reads \a value from \a reader; returns false on any mismatch of type or range. Missing trailing
 * fields of an aggregate keep their defaults and surplus ones are ignored.
 */
template<typename T>
bool decodeValue(ValueReader reader, T &value)
{
    using namespace CodecDetail;
    if constexpr (std::is_same_v<T, bool>) {
        return reader.readBool(value);
    } else if constexpr (std::is_enum_v<T>) {
        std::uint32_t number = 0;
        if (!decodeInteger(reader, number))
            return false;
        value = static_cast<T>(number);
        return true;
    } else if constexpr (std::is_floating_point_v<T>) {
        return reader.readDouble(value);
    } else if constexpr (std::is_integral_v<T>) {
        return decodeInteger(reader, value);
    } else if constexpr (std::is_same_v<T, std::string>) {
        return reader.readBytes(value);
    } else if constexpr (std::is_same_v<T, Duration> || std::is_same_v<T, WallTime>) {
        std::int64_t count = 0;
        if (!reader.readSigned(count))
            return false;
        if constexpr (std::is_same_v<T, Duration>)
            value = Duration(count);
        else
            value = WallTime(std::chrono::milliseconds(count));
        return true;
    } else if constexpr (IsOptional<T>::value) {
        if (reader.isNil()) {
            value.reset();
            return true;
        }
        return decodeValue(reader, value.emplace());
    } else if constexpr (IsVariant<T>::value) {
        std::size_t size = 0;
        std::uint64_t index = 0;
        if (!reader.arraySize(size) || size != 2 || !reader.element(0).readUnsigned(index))
            return false;
        return decodeAlternative(reader.element(1), index, value);
    } else if constexpr (IsPair<T>::value) {
        std::size_t size = 0;
        return reader.arraySize(size) && size == 2 && decodeValue(reader.element(0), value.first)
               && decodeValue(reader.element(1), value.second);
    } else if constexpr (IsVector<T>::value || MapLike<T> || SetLike<T>) {
        return decodeContainer(reader, value);
    } else {
        std::size_t size = 0;
        if (!reader.arraySize(size))
            return false;
        std::size_t next = 0;
        bool ok = true;
        visitFields(
            [&](auto &field) {
                if (ok && next < size)
                    ok = decodeValue(reader.element(next++), field);
            },
            value);
        return ok;
    }
}

/** Encodes \a value as one msgpack value. */
template<typename T>
std::string encode(const T &value)
{
    ValueWriter writer;
    encodeValue(writer, value);
    return writer.takeBytes();
}

/** Decodes one value from \a bytes; an error names \a peer as the sender of the bytes. */
template<typename T>
Result<T> decode(std::string_view bytes, const std::string &peer = {})
{
    const auto document = ValueDocument::parse(bytes);
    T value{};
    if (!document || !decodeValue(document->root(), value)) {
        return fail(Failure::Protocol, Step::Decode, peer,
                    "The bytes do not decode to a message of the expected type.");
    }
    return value;
}

} // namespace Oleander
