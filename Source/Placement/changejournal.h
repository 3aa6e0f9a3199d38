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
 * \brief The last changes of a state, so that a reader need not scan all of it.
 */
class ChangeJournal
{
public:
    /** Changes that are kept; a reader further behind scans everything. */
    static constexpr std::size_t MaxChanges = 100'000;

    void note(Change change);
    /** Forgets all changes; every reader has to scan everything. */
    void reset();
    /** Position after the last change. */
    std::uint64_t end() const { return end_; }
    /** Returns the changes from \a position on, or nothing when they are no longer all kept. */
    std::optional<std::vector<Change>> since(std::uint64_t position) const;

private:
    std::deque<Change> changes_;
    std::uint64_t end_ = 0;
};

} // namespace Oleander::Placement
