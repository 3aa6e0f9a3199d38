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
 * \brief The whole replicated state: records, tasks, claims, configuration and events.
 *
 * Each part follows its own commands; an accepted record is handed on to the task book and the
 * configuration in the same step, so no replica ever shows the one without the other.
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
    /** Version of the configuration that was last confirmed in force everywhere; 0 for none. */
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
    /** Latest calendar time that any command brought; events of commands without one get it. */
    WallTime latestTime_{};
};

} // namespace Oleander::State
