#include "Entry/pendingproposals.h"

namespace Oleander {

namespace {

Error unknownOutcome(const std::string &why)
{
    return makeError(Failure::Unknown, Step::Commit, {},
                     why + " The command may have been committed or may still be.");
}

} // namespace

std::deque<Proposal> PendingProposals::takeWaiting()
{
    std::deque<Proposal> taken;
    taken.swap(waiting_);
    return taken;
}

void PendingProposals::addAppended(LogPosition position, Proposal proposal)
{
    appended_.emplace(position.index, Appended{position.term, std::move(proposal)});
}

std::uint64_t PendingProposals::addForwarded(Proposal proposal, const std::string &peer)
{
    forwarded_.emplace(nextId_, Forwarded{peer, std::move(proposal)});
    return nextId_++;
}

bool PendingProposals::takeForwarded(std::uint64_t id, Proposal &proposal)
{
    const auto found = forwarded_.find(id);
    if (found == forwarded_.end())
        return false;
    proposal = std::move(found->second.proposal);
    forwarded_.erase(found);
    return true;
}

void PendingProposals::complete(LogPosition position, const std::string &outcome)
{
    const auto range = appended_.equal_range(position.index);
    for (auto found = range.first; found != range.second; ++found) {
        if (found->second.term == position.term) {
            finish(std::move(found->second.proposal), outcome);
        } else if (found->second.proposal.isLocalOnly) {
            // Decided by the leader of a term that has ended; the state may have changed since.
            finish(std::move(found->second.proposal),
                   fail(Failure::NotLeader, Step::Commit, {},
                        "Another leader replaced the entry; the command was not committed."));
        } else {
            // Another entry is committed at this index, so this one never will be, and a retry is
            // safe.
            addWaiting(std::move(found->second.proposal));
        }
    }
    appended_.erase(range.first, range.second);
}

void PendingProposals::replacedBySnapshot(std::uint64_t index)
{
    const auto end = appended_.upper_bound(index);
    for (auto skipped = appended_.begin(); skipped != end; ++skipped) {
        finish(std::move(skipped->second.proposal),
               tl::make_unexpected(
                   unknownOutcome("A snapshot replaced the log before the outcome was known.")));
    }
    appended_.erase(appended_.begin(), end);
}

void PendingProposals::expire(TimePoint now, const std::string &why)
{
    std::deque<Proposal> remaining;
    for (Proposal &proposal : waiting_) {
        if (now < proposal.deadline)
            remaining.push_back(std::move(proposal));
        else
            finish(std::move(proposal), fail(Failure::Unavailable, Step::Commit, {}, why));
    }
    waiting_.swap(remaining);
    for (auto appended = appended_.begin(); appended != appended_.end();) {
        if (now < appended->second.proposal.deadline) {
            ++appended;
            continue;
        }
        finish(std::move(appended->second.proposal),
               tl::make_unexpected(unknownOutcome("No quorum answered in time.")));
        appended = appended_.erase(appended);
    }
    failForwarded("The leader did not answer in time.",
                  [now](const Forwarded &forwarded) { return now >= forwarded.proposal.deadline; });
}

void PendingProposals::failForwardedTo(const std::function<bool(const std::string &)> &isLost)
{
    failForwarded("The connection to the leader was lost.",
                  [&](const Forwarded &forwarded) { return isLost(forwarded.peer); });
}

template<typename Condition>
void PendingProposals::failForwarded(const std::string &why, Condition mustFail)
{
    for (auto forwarded = forwarded_.begin(); forwarded != forwarded_.end();) {
        if (!mustFail(forwarded->second)) {
            ++forwarded;
            continue;
        }
        finish(std::move(forwarded->second.proposal), tl::make_unexpected(unknownOutcome(why)));
        forwarded = forwarded_.erase(forwarded);
    }
}

void PendingProposals::finish(Proposal proposal, Result<std::string> outcome)
{
    finished_.push_back([callback = std::move(proposal.callback), outcome = std::move(outcome)] {
        callback(outcome);
    });
}

std::vector<PendingProposals::Finished> PendingProposals::takeFinished()
{
    std::vector<Finished> taken;
    taken.swap(finished_);
    return taken;
}

} // namespace Oleander
