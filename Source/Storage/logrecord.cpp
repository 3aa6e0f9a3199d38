#include "Storage/logrecord.h"

#include "Protocol/codec.h"

#include <xxhash.h>

#include <cstring>

namespace Oleander {

namespace {

constexpr std::uint32_t RecordMagic = 0x31524c4fU;

/** Header of a record on disk, in native byte order. */
struct RecordHeader
{
    std::uint32_t magic = RecordMagic;
    std::uint32_t payloadSize = 0;
    std::uint64_t sequence = 0;
    std::uint64_t checksum = 0;
};

static_assert(sizeof(RecordHeader) == 24);

std::uint64_t checksumOf(std::uint64_t sequence, std::string_view payload)
{
    return XXH3_64bits_withSeed(payload.data(), payload.size(), sequence ^ payload.size());
}

/** Header and undecoded payload of a valid record. */
using ParsedRecord = std::pair<RecordHeader, std::string_view>;

/** Validates the record at \a offset. */
std::optional<ParsedRecord> parseRecord(std::string_view bytes, std::size_t offset)
{
    RecordHeader header;
    if (offset > bytes.size() || bytes.size() - offset < sizeof(header))
        return std::nullopt;
    std::memcpy(&header, bytes.data() + offset, sizeof(header));
    const std::string_view rest = bytes.substr(offset + sizeof(header));
    if (header.magic != RecordMagic || header.payloadSize > rest.size())
        return std::nullopt;
    const std::string_view payload = rest.substr(0, header.payloadSize);
    if (header.checksum != checksumOf(header.sequence, payload))
        return std::nullopt;
    return std::pair(header, payload);
}

/** True if \a later is the record \a sequence or belongs to a later write. */
bool provesSync(const ParsedRecord &later, std::uint64_t sequence)
{
    const auto record = decode<LogRecord>(later.second);
    const bool hasWrite = record && record->firstOfWrite > 0;
    return later.first.sequence == sequence
           || (hasWrite ? record->firstOfWrite : later.first.sequence) > sequence;
}

} // namespace

std::string encodeLogRecord(std::uint64_t sequence, const LogRecord &record)
{
    const std::string payload = encode(record);
    RecordHeader header;
    header.payloadSize = static_cast<std::uint32_t>(payload.size());
    header.sequence = sequence;
    header.checksum = checksumOf(sequence, payload);
    std::string bytes(sizeof(header), '\0');
    std::memcpy(bytes.data(), &header, sizeof(header));
    bytes += payload;
    return bytes;
}

std::optional<DecodedRecord> decodeLogRecord(std::string_view bytes, std::size_t offset)
{
    const auto whole = parseRecord(bytes, offset);
    if (!whole)
        return std::nullopt;
    auto record = decode<LogRecord>(whole->second);
    if (!record)
        return std::nullopt;
    return DecodedRecord{whole->first.sequence, std::move(*record),
                         sizeof(RecordHeader) + whole->second.size()};
}

std::optional<std::size_t> findLaterLogRecord(std::string_view bytes, std::size_t offset,
                                              std::uint64_t sequence)
{
    std::string magic(sizeof(RecordMagic), '\0');
    std::memcpy(magic.data(), &RecordMagic, sizeof(RecordMagic));
    std::size_t found = bytes.find(magic, offset + 1);
    while (found != std::string_view::npos) {
        const auto whole = parseRecord(bytes, found);
        if (whole && provesSync(*whole, sequence))
            return found;
        found = bytes.find(magic, found + 1);
    }
    return std::nullopt;
}

} // namespace Oleander
