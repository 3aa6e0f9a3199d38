#pragma once

#include "Control/logentry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Oleander {

/** Index and term at which a received snapshot replaced the log. */
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

/** One record of a log segment: what one write of a replica changes. */
struct LogRecord
{
    std::optional<HardState> hardState;
    std::optional<LogReset> reset;
    /** Index of the first of \a entries, which supersede the log from there on. */
    std::uint64_t firstIndex = 0;
    std::vector<LogEntry> entries;
};

template<typename F>
void visitFields(F &&f, Fields<LogRecord> auto &&v)
{
    f(v.hardState);
    f(v.reset);
    f(v.firstIndex);
    f(v.entries);
}

/** A record as it was found in a segment. */
struct DecodedRecord
{
    std::uint64_t sequence = 0;
    LogRecord record;
    /** Bytes from the start of the record to its end. */
    std::size_t size = 0;
};

/**
 * Encodes \a record with its length, its \a sequence number and a checksum over all of them.
 * Sequence numbers rise by one from record to record, over the ends of segments too.
 */
std::string encodeLogRecord(std::uint64_t sequence, const LogRecord &record);

/** Decodes the record that starts at \a offset; nothing when there is no whole one. */
std::optional<DecodedRecord> decodeLogRecord(std::string_view bytes, std::size_t offset);

/**
 * Returns the offset of a whole record after \a offset with a sequence number of at least
 * \a minSequence. Each record is synced before the next is written, so one that follows damaged
 * bytes shows that these had been synced whole.
 */
std::optional<std::size_t> findLaterLogRecord(std::string_view bytes, std::size_t offset,
                                              std::uint64_t minSequence);

} // namespace Oleander
