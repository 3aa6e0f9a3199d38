#pragma once

#include "Entry/configurationrollout.h"
#include "State/controlstate.h"

#include <string>
#include <vector>

namespace Oleander {

/** Current state of the work that a record describes. */
struct RecordOutcome
{
    /** One word, such as "queued", "running", "done", "drained" or "in-force". */
    std::string state;
    /** Full sentences for the operator. */
    std::string detail;
    std::vector<const Placement::Task *> tasks;
};

/** Summarizes the state of \a record for operators. */
RecordOutcome outcomeOfRecord(const State::ControlState &state, const Records::Record &record,
                              const ConfigurationRollout &rollout);

/** Describes whether version \a version is in force everywhere, and otherwise which processes are
 * missing. */
std::string rolloutSentence(const ConfigurationRollout &rollout, std::uint64_t version);

} // namespace Oleander
