#pragma once

#include "Protocol/fields.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Oleander {

/**
 * One replica of a group. The incarnation identifies its data folder: a replica that lost its disk
 * gets a new incarnation, and votes and acknowledgements of the old one no longer count for it.
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
 * \brief The replicas of a group. Consecutive memberships differ in at most one voter, so that any
 * two of their quorums share a replica.
 */
struct Membership
{
    std::vector<Member> members;

    bool operator==(const Membership &) const = default;

    const Member *find(const std::string &name) const;
    /** True if the member \a name is a voter with exactly this incarnation. */
    bool isVoter(const std::string &name, std::uint64_t incarnation) const;
    std::size_t voterCount() const;
    /** Smallest number of voters that is a majority. */
    std::size_t quorum() const { return voterCount() / 2 + 1; }
    /** Returns a copy in which \a member is added or replaces the member of the same name. */
    Membership with(Member member) const;
    Membership without(const std::string &name) const;
};

template<typename F>
void visitFields(F &&f, Fields<Membership> auto &&v)
{
    f(v.members);
}

} // namespace Oleander
