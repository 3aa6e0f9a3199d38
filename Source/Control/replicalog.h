#pragma once

#include "Control/logentry.h"

#include <deque>
#include <optional>
#include <vector>

namespace Oleander {

/**
 * \class ReplicaLog
 * \brief The entries after a base index, in memory; the base is where the log was last compacted.
 */
class ReplicaLog
{
public:
    ReplicaLog() = default;
    ReplicaLog(std::uint64_t baseIndex, std::uint64_t baseTerm);

    std::uint64_t baseIndex() const { return baseIndex_; }
    std::uint64_t lastIndex() const { return baseIndex_ + entries_.size(); }
    std::uint64_t lastTerm() const;
    /** Bytes of the commands held. */
    std::size_t bytes() const { return bytes_; }
    /** Term of the entry at \a index; nothing when it is compacted away or not there yet. */
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;
    /** Entry at \a index, which lies after the base and not after the last. */
    const LogEntry &at(std::uint64_t index) const;
    /** Entries from \a index on, at least one if there is any, up to about \a maxBytes. */
    std::vector<LogEntry> entriesFrom(std::uint64_t index, std::size_t maxBytes) const;
    /** First index whose entry has the same term as the one at \a index. */
    std::uint64_t firstIndexOfTermAt(std::uint64_t index) const;

    void append(LogEntry entry);
    /** Drops the entry at \a index and all after it. */
    void truncateFrom(std::uint64_t index);
    /** Moves the base up to \a index and drops the entries up to it. */
    void compactTo(std::uint64_t index);

private:
    std::uint64_t baseIndex_ = 0;
    std::uint64_t baseTerm_ = 0;
    std::size_t bytes_ = 0;
    std::deque<LogEntry> entries_;
};

} // namespace Oleander
