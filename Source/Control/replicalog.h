#pragma once

#include "Control/logentry.h"

#include <deque>
#include <optional>
#include <vector>

namespace Oleander {

/**
 * \class ReplicaLog
 * \brief The log entries after a base index, in memory; the base is the last compacted index.
 */
class ReplicaLog
{
public:
    ReplicaLog() = default;
    ReplicaLog(std::uint64_t baseIndex, std::uint64_t baseTerm);

    std::uint64_t baseIndex() const { return baseIndex_; }
    std::uint64_t lastIndex() const { return baseIndex_ + entries_.size(); }
    std::uint64_t lastTerm() const;
    /** Total payload size of the entries. */
    std::size_t bytes() const { return bytes_; }
    /** Term of the entry at \a index; empty if it is compacted or past the end of the log. */
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;
    /** Entry at \a index, which must be after the base and at most lastIndex(). */
    const LogEntry &at(std::uint64_t index) const;
    /** Entries from \a index on, up to about \a maxBytes; at least one if there is any. */
    std::vector<LogEntry> entriesFrom(std::uint64_t index, std::size_t maxBytes) const;
    /** Index of the first uncompacted entry with the term of the entry at \a index. */
    std::uint64_t firstIndexOfTermAt(std::uint64_t index) const;

    void append(LogEntry entry);
    /** Removes the entry at \a index and all later ones. */
    void truncateFrom(std::uint64_t index);
    /** Moves the base to \a index and removes the entries up to and including it. */
    void compactTo(std::uint64_t index);

private:
    std::uint64_t baseIndex_ = 0;
    std::uint64_t baseTerm_ = 0;
    std::size_t bytes_ = 0;
    std::deque<LogEntry> entries_;
};

} // namespace Oleander
