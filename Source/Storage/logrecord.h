#pragma once

#include "Control/logentry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Oleander {

/** Index and term of a received snapshot that replaced the log. */
struct LogReset
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
};

template<typename F>
void visitFields(F &&f, Fields<LogReset> auto &&v)
{
    f(v.index);
    f(v.term);
}

/** One record of a log segment: the changes of one WriteBatch. */
struct LogRecord
{
    std::optional<HardState> hardState;
    std::optional<LogReset> reset;
    /** Index of the first of \a entries, which replace the log from there on. */
    std::uint64_t firstIndex = 0;
    std::vector<LogEntry> entries;
    /** Sequence number of the first record that was written and synced together with this one; 0 in
     * records of earlier versions. */
    std::uint64_t firstOfWrite = 0;
};

template<typename F>
void visitFields(F &&f, Fields<LogRecord> auto &&v)
{
    f(v.hardState);
    f(v.reset);
    f(v.firstIndex);
    f(v.entries);
    f(v.firstOfWrite);
}

/** A record read from a segment. */
struct DecodedRecord
{
    std::uint64_t sequence = 0;
    LogRecord record;
    /** Encoded size of the record, including its header. */
    std::size_t size = 0;
};

/**
 * Encodes \a record with its length, its \a sequence number and a checksum over all of them.
 * Sequence numbers increase by one from record to record, also across segments.
 */
std::string encodeLogRecord(std::uint64_t sequence, const LogRecord &record);

/** Decodes the record at \a offset; empty if there is no complete, valid record. */
std::optional<DecodedRecord> decodeLogRecord(std::string_view bytes, std::size_t offset);

/**
 * Returns the offset of a complete record after \a offset that proves that the record \a sequence,
 * expected at \a offset, had been synced; empty if there is none. Each write is synced before the
 * next one, but the records of one write may reach the disk in any order.
 */
std::optional<std::size_t> findLaterLogRecord(std::string_view bytes, std::size_t offset,
                                              std::uint64_t sequence);

} // namespace Oleander
