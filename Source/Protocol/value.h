#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Oleander {

/**
 * \class ValueWriter
 * \brief Appends msgpack values to a byte string.
 */
class ValueWriter
{
public:
    void writeArrayHeader(std::size_t size);
    void writeUnsigned(std::uint64_t value);
    void writeSigned(std::int64_t value);
    void writeDouble(double value);
    void writeBool(bool value);
    void writeBytes(std::string_view value);
    void writeNil();

    std::string takeBytes() { return std::move(bytes_); }

private:
    std::string bytes_;
};

/**
 * \class ValueReader
 * \brief Read-only view of one decoded msgpack value; valid while its ValueDocument lives.
 *
 * Each read returns false and leaves its output unchanged if the value has another type or is out
 * of range, so that corrupt or malicious input never causes an exception outside the decoder.
 */
class ValueReader
{
public:
    explicit ValueReader(const void *object) : object_(object) {}

    bool isNil() const;
    bool arraySize(std::size_t &size) const;
    ValueReader element(std::size_t index) const;
    bool readUnsigned(std::uint64_t &value) const;
    bool readSigned(std::int64_t &value) const;
    bool readDouble(double &value) const;
    bool readBool(bool &value) const;
    bool readBytes(std::string &value) const;

private:
    const void *object_;
};

/**
 * \class ValueDocument
 * \brief Owns one msgpack value parsed from bytes, within fixed size and depth limits.
 */
class ValueDocument
{
public:
    /** Parses exactly one value; returns null on malformed or trailing bytes. */
    static std::unique_ptr<ValueDocument> parse(std::string_view bytes);
    ~ValueDocument();
    ValueDocument(const ValueDocument &) = delete;
    ValueDocument &operator=(const ValueDocument &) = delete;

    ValueReader root() const;

private:
    struct Holder;
    explicit ValueDocument(std::unique_ptr<Holder> holder);
    std::unique_ptr<Holder> holder_;
};

} // namespace Oleander
