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

/** A command and the callback for its outcome. */
struct Proposal
{
    std::string command;
    std::function<void(Result<std::string>)> callback;
    TimePoint deadline;
    /** True when the command must not be forwarded to another replica. */
    bool isLocalOnly = false;
};

/**
 * \class PendingProposals
 * \brief Tracks proposals until their outcome is known or their deadline passes.
 *
 * A waiting proposal is neither appended nor forwarded yet, an appended one is in the local log,
 * and a forwarded one was sent to the leader. Callbacks are queued until takeFinished() returns
 * them.
 */
class PendingProposals
{
public:
    using Finished = std::function<void()>;

    void addWaiting(Proposal proposal) { waiting_.push_back(std::move(proposal)); }
    std::deque<Proposal> takeWaiting();
    void addAppended(LogPosition position, Proposal proposal);
    /** Returns the id that identifies the reply of \a peer. */
    std::uint64_t addForwarded(Proposal proposal, const std::string &peer);
    /** Removes a forwarded proposal, to finish or retry it; returns false if \a id is unknown. */
    bool takeForwarded(std::uint64_t id, Proposal &proposal);

    /** Finishes the proposal at \a position, whose entry is committed, with \a outcome. A proposal
     * of another term at the same index waits again, or fails if it is local only. */
    void complete(LogPosition position, const std::string &outcome);
    /** Finishes the proposals up to \a index as unknown: a snapshot replaced their entries. */
    void replacedBySnapshot(std::uint64_t index);
    /** Finishes as unknown the proposals forwarded to peers for which \a isLost returns true, since
     * their replies may be lost. */
    void failForwardedTo(const std::function<bool(const std::string &)> &isLost);
    /** Finishes proposals past their deadline; \a why is the error detail of those that are still
     * waiting. */
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
