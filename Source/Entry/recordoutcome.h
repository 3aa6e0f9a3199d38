#pragma once

#include "Entry/configurationrollout.h"
#include "State/controlstate.h"

#include <string>
#include <vector>

namespace Oleander {

/** What became of a record so far. */
struct RecordOutcome
{
    /** One word, such as "queued", "running", "done", "drained" or "in-force". */
    std::string state;
    /** Full sentences for the operator. */
    std::string detail;
    std::vector<const Placement::Task *> tasks;
};

/** Sums up what \a state knows of \a record. */
RecordOutcome outcomeOfRecord(const State::ControlState &state, const Records::Record &record,
                              const ConfigurationRollout &rollout);

/** "all processes have it", or on whom version \a version waits. */
std::string rolloutSentence(const ConfigurationRollout &rollout, std::uint64_t version);

} // namespace Oleander
