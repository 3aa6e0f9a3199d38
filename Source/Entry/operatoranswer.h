#pragma once

#include "Entry/configurationrollout.h"
#include "Entry/operatorrequest.h"
#include "Entry/replicatask.h"
#include "Records/eventhistory.h"
#include "Runtime/httpserver.h"
#include "State/controlstate.h"

#include <string>

namespace Oleander {

/** What the answers of the operators' door are made from. */
struct OperatorView
{
    std::string entry;
    const State::ControlState &state;
    ConfigurationRollout rollout;
    ReplicaStatus replica;
};

/** Answer to a committed change of one record. */
HttpResponse answerChange(const OperatorView &view, const Records::ChangeOutcome &outcome);

/** Answer to a committed wave: one line a record. */
HttpResponse answerBulkWithdrawal(const OperatorView &view, const Records::ChangeOutcome &outcome);

HttpResponse answerShow(const OperatorView &view, const ShowRequest &request);
HttpResponse answerList(const OperatorView &view, const ListRequest &request);
HttpResponse answerEvents(const OperatorView &view, const EventsRequest &request);
HttpResponse answerStatus(const OperatorView &view);

/** Whether a refused command may still take effect. */
enum class CommandOutcome { NotRun, Unknown };

/** Answer that says why a request failed, as application/problem+json (RFC 9457). */
HttpResponse answerProblem(const Error &error, CommandOutcome outcome);

} // namespace Oleander
