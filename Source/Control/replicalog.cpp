#include "Control/replicalog.h"

namespace Oleander {

ReplicaLog::ReplicaLog(std::uint64_t baseIndex, std::uint64_t baseTerm)
    : baseIndex_(baseIndex), baseTerm_(baseTerm)
{}

std::uint64_t ReplicaLog::lastTerm() const
{
    return entries_.empty() ? baseTerm_ : entries_.back().term;
}

std::optional<std::uint64_t> ReplicaLog::termAt(std::uint64_t index) const
{
    if (index == baseIndex_)
        return baseTerm_;
    if (index < baseIndex_ || index > lastIndex())
        return std::nullopt;
    return at(index).term;
}

const LogEntry &ReplicaLog::at(std::uint64_t index) const
{
    return entries_.at(index - baseIndex_ - 1);
}

std::vector<LogEntry> ReplicaLog::entriesFrom(std::uint64_t index, std::size_t maxBytes) const
{
    std::vector<LogEntry> result;
    std::size_t size = 0;
    for (; index <= lastIndex() && (result.empty() || size < maxBytes); ++index) {
        result.push_back(at(index));
        size += result.back().bytes.size() + sizeof(LogEntry);
    }
    return result;
}

std::uint64_t ReplicaLog::firstIndexOfTermAt(std::uint64_t index) const
{
    const std::uint64_t term = at(index).term;
    while (index > baseIndex_ + 1 && at(index - 1).term == term)
        --index;
    return index;
}

void ReplicaLog::append(LogEntry entry)
{
    bytes_ += entry.bytes.size();
    entries_.push_back(std::move(entry));
}

void ReplicaLog::truncateFrom(std::uint64_t index)
{
    while (lastIndex() >= index && !entries_.empty()) {
        bytes_ -= entries_.back().bytes.size();
        entries_.pop_back();
    }
}

void ReplicaLog::compactTo(std::uint64_t index)
{
    while (baseIndex_ < index && !entries_.empty()) {
        baseTerm_ = entries_.front().term;
        bytes_ -= entries_.front().bytes.size();
        entries_.pop_front();
        ++baseIndex_;
    }
}

} // namespace Oleander
