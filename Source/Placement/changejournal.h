#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Oleander::Placement {

/** One task or worker that changed. */
struct Change
{
    enum class Kind { Task, Worker };

    Kind kind = Kind::Task;
    std::string name;
};

/**
 * \class ChangeJournal
 * \brief Bounded log of recent changes to a state, so that readers don't have to scan all of it.
 */
class ChangeJournal
{
public:
    /** Maximum number of kept changes; a reader that is further behind scans the whole state. */
    static constexpr std::size_t MaxChanges = 100'000;

    void note(Change change);
    /** Discards all changes, so that every reader scans the whole state. */
    void reset();
    /** Position after the last change. */
    std::uint64_t end() const { return end_; }
    /** Returns the changes from \a position on, or nothing when some are no longer kept. */
    std::optional<std::vector<Change>> since(std::uint64_t position) const;

private:
    std::deque<Change> changes_;
    std::uint64_t end_ = 0;
};

} // namespace Oleander::Placement
