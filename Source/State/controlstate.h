#pragma once

#include "Control/statemachine.h"
#include "Jobs/jobbook.h"
#include "Placement/taskbook.h"
#include "Records/eventhistory.h"
#include "Records/recordbook.h"
#include "Routing/claimtable.h"
#include "State/command.h"
#include "State/configuration.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Oleander::State {

/**
 * \class ControlState
 * \brief The complete replicated state: records, tasks, jobs, claims, configuration and events.
 *
 * Each part applies its own commands. An accepted record is passed to the task book and the
 * configuration in the same step, so no replica shows a record without its effects.
 */
class ControlState final : public StateMachine
{
public:
    std::string apply(std::uint64_t index, std::string_view command) override;
    std::string snapshot() const override;
    Result<void> restore(std::string_view bytes) override;

    const Records::RecordBook &records() const { return records_; }
    const Records::EventHistory &events() const { return events_; }
    const Placement::TaskBook &tasks() const { return tasks_; }
    const Jobs::JobBook &jobs() const { return jobs_; }
    const ClaimTable &claims() const { return claims_; }
    const Configuration &configuration() const { return configuration_; }
    /** Last configuration version that was confirmed as in force everywhere; 0 if there is none. */
    std::uint64_t confirmedConfiguration() const { return confirmedVersion_; }

private:
    using Drafts = std::vector<Records::EventDraft>;

    Outcome execute(std::uint64_t index, const Records::Submit &command, Drafts &drafts);
    Outcome execute(std::uint64_t index, const Records::Withdraw &command, Drafts &drafts);
    Outcome execute(std::uint64_t index, const Placement::TaskCommand &command, Drafts &drafts);
    Outcome execute(std::uint64_t index, const ClaimBatch &command, Drafts &drafts);
    Outcome execute(std::uint64_t index, const ConfirmConfiguration &command, Drafts &drafts);
    Outcome execute(std::uint64_t index, const Jobs::JobCommand &command, Drafts &drafts);
    void applyChanges(const Records::ChangeOutcome &outcome, Drafts &drafts);
    void updateHistoryLimits();

    Records::RecordBook records_;
    Records::EventHistory events_;
    Placement::TaskBook tasks_;
    Jobs::JobBook jobs_;
    ClaimTable claims_;
    Configuration configuration_;
    std::uint64_t confirmedVersion_ = 0;
    /** Latest wall clock time of any command, also used for events of commands without a time. */
    WallTime latestTime_{};
};

} // namespace Oleander::State
