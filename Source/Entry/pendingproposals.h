#pragma once

#include "Base/clock.h"
#include "Base/error.h"
#include "Control/replicaoutput.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Oleander {

/** A command and who waits for its outcome. */
struct Proposal
{
    std::string command;
    std::function<void(Result<std::string>)> callback;
    TimePoint deadline;
    /** True when another replica must not append the command in the place of this one. */
    bool isLocalOnly = false;
};

/**
 * \class PendingProposals
 * \brief Tracks proposals from their arrival until their outcome is known or their time is over.
 *
 * Waiting ones were given to nobody yet; appended ones stand in the local log; forwarded ones were
 * sent to the leader. Finished callbacks collect until takeFinished().
 */
class PendingProposals
{
public:
    using Finished = std::function<void()>;

    void addWaiting(Proposal proposal) { waiting_.push_back(std::move(proposal)); }
    std::deque<Proposal> takeWaiting();
    void addAppended(LogPosition position, Proposal proposal);
    /** Returns the id under which the answer of \a peer will come. */
    std::uint64_t addForwarded(Proposal proposal, const std::string &peer);
    /** Takes a forwarded proposal back, for its answer or another try. */
    bool takeForwarded(std::uint64_t id, Proposal &proposal);

    /** The entry at \a position is committed and gave \a outcome. */
    void complete(LogPosition position, const std::string &outcome);
    /** A snapshot took the place of the entries up to \a index. */
    void replacedBySnapshot(std::uint64_t index);
    /** Ends what was forwarded to a peer for which \a isLost holds: its answer may be gone. */
    void failForwardedTo(const std::function<bool(const std::string &)> &isLost);
    /** Ends what has waited too long; \a why tells what a waiting one lacked. */
    void expire(TimePoint now, const std::string &why);
    void finish(Proposal proposal, Result<std::string> outcome);

    std::vector<Finished> takeFinished();

private:
    struct Appended
    {
        std::uint64_t term = 0;
        Proposal proposal;
    };
    struct Forwarded
    {
        std::string peer;
        Proposal proposal;
    };

    template<typename Condition>
    void failForwarded(const std::string &why, Condition mustFail);

    std::deque<Proposal> waiting_;
    std::multimap<std::uint64_t, Appended> appended_;
    std::map<std::uint64_t, Forwarded> forwarded_;
    std::uint64_t nextId_ = 1;
    std::vector<Finished> finished_;
};

} // namespace Oleander
