#include "Protocol/value.h"

#include <msgpack.hpp>

namespace Oleander {

namespace {

constexpr std::size_t MaxElements = 1U << 22U;
constexpr std::size_t MaxBytes = 64U << 20U;
constexpr std::size_t MaxDepth = 32;

struct StringBuffer
{
    std::string *out;
    void write(const char *data, std::size_t size) { out->append(data, size); }
};

msgpack::packer<StringBuffer> packerFor(StringBuffer &buffer)
{
    return msgpack::packer<StringBuffer>(buffer);
}

const msgpack::object &asObject(const void *object)
{
    return *static_cast<const msgpack::object *>(object);
}

} // namespace

void ValueWriter::writeArrayHeader(std::size_t size)
{
    StringBuffer buffer{&bytes_};
    packerFor(buffer).pack_array(static_cast<std::uint32_t>(size));
}

void ValueWriter::writeUnsigned(std::uint64_t value)
{
    StringBuffer buffer{&bytes_};
    packerFor(buffer).pack_uint64(value);
}

void ValueWriter::writeSigned(std::int64_t value)
{
    StringBuffer buffer{&bytes_};
    packerFor(buffer).pack_int64(value);
}

void ValueWriter::writeDouble(double value)
{
    StringBuffer buffer{&bytes_};
    packerFor(buffer).pack_double(value);
}

void ValueWriter::writeBool(bool value)
{
    StringBuffer buffer{&bytes_};
    auto packer = packerFor(buffer);
    if (value)
        packer.pack_true();
    else
        packer.pack_false();
}

void ValueWriter::writeBytes(std::string_view value)
{
    StringBuffer buffer{&bytes_};
    auto packer = packerFor(buffer);
    packer.pack_bin(static_cast<std::uint32_t>(value.size()));
    packer.pack_bin_body(value.data(), static_cast<std::uint32_t>(value.size()));
}

void ValueWriter::writeNil()
{
    StringBuffer buffer{&bytes_};
    packerFor(buffer).pack_nil();
}

bool ValueReader::isNil() const
{
    return asObject(object_).is_nil();
}

bool ValueReader::arraySize(std::size_t &size) const
{
    const auto &object = asObject(object_);
    if (object.type != msgpack::type::ARRAY)
        return false;
    size = object.via.array.size;
    return true;
}

ValueReader ValueReader::element(std::size_t index) const
{
    return ValueReader(asObject(object_).via.array.ptr + index);
}

bool ValueReader::readUnsigned(std::uint64_t &value) const
{
    const auto &object = asObject(object_);
    if (object.type != msgpack::type::POSITIVE_INTEGER)
        return false;
    value = object.via.u64;
    return true;
}

bool ValueReader::readSigned(std::int64_t &value) const
{
    const auto &object = asObject(object_);
    if (object.type == msgpack::type::NEGATIVE_INTEGER) {
        value = object.via.i64;
        return true;
    }
    if (object.type != msgpack::type::POSITIVE_INTEGER || object.via.u64 > INT64_MAX)
        return false;
    value = static_cast<std::int64_t>(object.via.u64);
    return true;
}

bool ValueReader::readDouble(double &value) const
{
    const auto &object = asObject(object_);
    // The packer encodes a floating-point number without a fraction as an integer.
    switch (object.type) {
    case msgpack::type::FLOAT32:
    case msgpack::type::FLOAT64:
        value = object.via.f64;
        return true;
    case msgpack::type::POSITIVE_INTEGER:
        value = static_cast<double>(object.via.u64);
        return true;
    case msgpack::type::NEGATIVE_INTEGER:
        value = static_cast<double>(object.via.i64);
        return true;
    default:
        return false;
    }
}

bool ValueReader::readBool(bool &value) const
{
    const auto &object = asObject(object_);
    if (object.type != msgpack::type::BOOLEAN)
        return false;
    value = object.via.boolean;
    return true;
}

bool ValueReader::readBytes(std::string &value) const
{
    const auto &object = asObject(object_);
    if (object.type != msgpack::type::BIN)
        return false;
    value.assign(object.via.bin.ptr, object.via.bin.size);
    return true;
}

struct ValueDocument::Holder
{
    msgpack::object_handle handle;
};

ValueDocument::ValueDocument(std::unique_ptr<Holder> holder) : holder_(std::move(holder)) {}

ValueDocument::~ValueDocument() = default;

std::unique_ptr<ValueDocument> ValueDocument::parse(std::string_view bytes)
{
    // Strings refer to the caller's buffer instead of being copied into the document, which saves
    // one copy of every body; readBytes() copies them once into the typed message.
    const auto referToInput = [](msgpack::type::object_type, std::size_t, void *) { return true; };
    const msgpack::unpack_limit limit(MaxElements, MaxElements, MaxBytes, MaxBytes, MaxBytes,
                                      MaxDepth);
    try {
        std::size_t offset = 0;
        bool referenced = false;
        auto holder = std::make_unique<Holder>();
        msgpack::unpack(holder->handle, bytes.data(), bytes.size(), offset, referenced,
                        referToInput, nullptr, limit);
        if (offset != bytes.size())
            return nullptr;
        return std::unique_ptr<ValueDocument>(new ValueDocument(std::move(holder)));
    } catch (const std::exception &) {
        return nullptr;
    }
}

ValueReader ValueDocument::root() const
{
    return ValueReader(&holder_->handle.get());
}

} // namespace Oleander
