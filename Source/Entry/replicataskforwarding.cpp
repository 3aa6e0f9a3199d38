#include "Entry/replicataskprivate.h"

namespace Oleander {

void ReplicaTask::Private::routePending()
{
    for (Proposal &proposal : proposals.takeWaiting())
        route(std::move(proposal));
}

void ReplicaTask::Private::route(Proposal proposal)
{
    if (replica && replica->role() == ReplicaRole::Leader) {
        const auto position = replica->propose(now(), proposal.command);
        if (position) {
            proposals.addAppended(*position, std::move(proposal));
            return;
        }
        if (position.error().code != Failure::NotLeader) {
            proposals.finish(std::move(proposal), tl::make_unexpected(position.error()));
            return;
        }
    }
    if (proposal.isLocalOnly) {
        proposals.finish(std::move(proposal),
                         fail(Failure::NotLeader, Step::Append, options.name,
                              "This replica is not the leader; the command was not appended."));
        return;
    }
    if (!forward(proposal))
        proposals.addWaiting(std::move(proposal));
}

bool ReplicaTask::Private::forward(Proposal &proposal)
{
    const std::string target = forwardTarget();
    if (target.empty() || target == options.name)
        return false;
    ForwardRequest request;
    request.bytes = proposal.command;
    request.id = proposals.addForwarded(std::move(proposal), target);
    if (messenger.send(target, request))
        return true;
    // Nothing was sent, so a retry is safe.
    proposals.takeForwarded(request.id, proposal);
    leaderHint.clear();
    ++nextPeer;
    return false;
}

std::string ReplicaTask::Private::forwardTarget() const
{
    if (replica && !hasPermanentlyFailed)
        return replica->leader();
    if (!leaderHint.empty())
        return leaderHint;
    return options.replicas.empty() ? std::string()
                                    : options.replicas[nextPeer % options.replicas.size()];
}

void ReplicaTask::Private::onForwardRequest(const Sender &from, ForwardRequest &&request)
{
    ForwardReply reply;
    reply.id = request.id;
    reply.leader = replica ? replica->leader() : std::string();
    if (!replica || replica->role() != ReplicaRole::Leader) {
        reply.failure = static_cast<std::uint32_t>(Failure::NotLeader);
        static_cast<void>(messenger.send(from.name, reply, from.incarnation));
        return;
    }
    Proposal proposal;
    proposal.command = std::move(request.bytes);
    proposal.deadline = now() + options.proposeTimeout;
    proposal.callback = [this, reply, from](Result<std::string> outcome) mutable {
        reply.accepted = outcome.has_value();
        if (outcome) {
            reply.bytes = std::move(*outcome);
        } else {
            reply.failure = static_cast<std::uint32_t>(outcome.error().code.value());
            reply.detail = outcome.error().detail;
        }
        static_cast<void>(messenger.send(from.name, reply, from.incarnation));
    };
    const auto position = replica->propose(now(), proposal.command);
    if (position)
        proposals.addAppended(*position, std::move(proposal));
    else
        proposals.finish(std::move(proposal), tl::make_unexpected(position.error()));
    scheduleFlush();
}

void ReplicaTask::Private::onForwardReply(ForwardReply &&reply)
{
    Proposal proposal;
    if (!proposals.takeForwarded(reply.id, proposal))
        return;
    if (reply.accepted) {
        leaderHint = reply.leader;
        proposals.finish(std::move(proposal), std::move(reply.bytes));
    } else if (reply.failure == static_cast<std::uint32_t>(Failure::NotLeader)) {
        // The peer did not append the command, so it can be retried.
        leaderHint = reply.leader;
        ++nextPeer;
        proposals.addWaiting(std::move(proposal));
        return;
    } else {
        proposals.finish(std::move(proposal),
                         fail(static_cast<Failure>(reply.failure), Step::Commit, reply.leader,
                              std::move(reply.detail)));
    }
    scheduleFlush();
}

} // namespace Oleander
