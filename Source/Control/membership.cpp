#include "Control/membership.h"

#include <algorithm>

namespace Oleander {

const Member *Membership::find(const std::string &name) const
{
    const auto found = std::find_if(members.begin(), members.end(),
                                    [&](const Member &member) { return member.name == name; });
    return found == members.end() ? nullptr : &*found;
}

bool Membership::isVoter(const std::string &name, std::uint64_t incarnation) const
{
    const Member *member = find(name);
    return member != nullptr && member->voter && member->incarnation == incarnation;
}

std::size_t Membership::voterCount() const
{
    return static_cast<std::size_t>(std::count_if(
        members.begin(), members.end(), [](const Member &member) { return member.voter; }));
}

Membership Membership::with(Member member) const
{
    Membership changed = without(member.name);
    changed.members.push_back(std::move(member));
    return changed;
}

Membership Membership::without(const std::string &name) const
{
    Membership changed;
    for (const Member &member : members) {
        if (member.name != name)
            changed.members.push_back(member);
    }
    return changed;
}

} // namespace Oleander
