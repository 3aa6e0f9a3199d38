#pragma once

#include "Entry/configurationrollout.h"
#include "Entry/operatorrequest.h"
#include "Entry/replicatask.h"
#include "Records/eventhistory.h"
#include "Runtime/httpserver.h"
#include "State/controlstate.h"

#include <string>

namespace Oleander {

/** State from which the answers to operators are built. */
struct OperatorView
{
    std::string entry;
    const State::ControlState &state;
    ConfigurationRollout rollout;
    ReplicaStatus replica;
};

/** Builds the answer to a committed change of one record. */
HttpResponse answerChange(const OperatorView &view, const Records::ChangeOutcome &outcome);

/** Builds the answer to a committed bulk withdrawal, with one result per record. */
HttpResponse answerBulkWithdrawal(const OperatorView &view, const Records::ChangeOutcome &outcome);

HttpResponse answerShow(const OperatorView &view, const ShowRequest &request);
HttpResponse answerList(const OperatorView &view, const ListRequest &request);
HttpResponse answerEvents(const OperatorView &view, const EventsRequest &request);
HttpResponse answerStatus(const OperatorView &view);

/** Whether a failed command may still take effect. */
enum class CommandOutcome { NotRun, Unknown };

/** Builds the answer to a failed request as application/problem+json (RFC 9457). */
HttpResponse answerProblem(const Error &error, CommandOutcome commandOutcome);

} // namespace Oleander
