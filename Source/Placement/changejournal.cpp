#include "Placement/changejournal.h"

namespace Oleander::Placement {

void ChangeJournal::note(Change change)
{
    ++end_;
    changes_.push_back(std::move(change));
    if (changes_.size() > MaxChanges)
        changes_.pop_front();
}

void ChangeJournal::reset()
{
    changes_.clear();
    end_ += 1;
}

std::optional<std::vector<Change>> ChangeJournal::since(std::uint64_t position) const
{
    const std::uint64_t begin = end_ - changes_.size();
    if (position < begin || position > end_)
        return std::nullopt;
    return std::vector<Change>(changes_.begin() + static_cast<std::ptrdiff_t>(position - begin),
                               changes_.end());
}

} // namespace Oleander::Placement
