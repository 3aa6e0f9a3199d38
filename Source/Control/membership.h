#pragma once

#include "Protocol/fields.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Oleander {

/**
 * One replica of a group. The incarnation is that of its data folder: a replica whose disk was
 * lost has a new one, and nothing that the old one promised counts for it.
 */
struct Member
{
    std::string name;
    /** 0 for a member that was added but has not joined yet. */
    std::uint64_t incarnation = 0;
    bool voter = false;

    bool operator==(const Member &) const = default;
};

template<typename F>
void visitFields(F &&f, Fields<Member> auto &&v)
{
    f(v.name);
    f(v.incarnation);
    f(v.voter);
}

/**
 * \struct Membership
 * \brief The replicas of a group; two memberships that follow each other differ in one voter at
 * most, so that their quorums always share a replica.
 */
struct Membership
{
    std::vector<Member> members;

    bool operator==(const Membership &) const = default;

    const Member *find(const std::string &name) const;
    /** True when \a name with exactly this incarnation votes. */
    bool isVoter(const std::string &name, std::uint64_t incarnation) const;
    std::size_t voterCount() const;
    /** Smallest number of voters that is a majority. */
    std::size_t quorum() const { return voterCount() / 2 + 1; }
    /** Copy in which \a member replaces the one of its name, or is added. */
    Membership with(Member member) const;
    Membership without(const std::string &name) const;
};

template<typename F>
void visitFields(F &&f, Fields<Membership> auto &&v)
{
    f(v.members);
}

} // namespace Oleander
