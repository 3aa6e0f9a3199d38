#include "Fleet/evacuationhandler.h"
#include "Fleet/jobanswer.h"
#include "Fleet/jobservice.h"
#include "Runtime/log.h"
#include "Runtime/metrics.h"

#include <algorithm>
#include <utility>

namespace Oleander::Fleet {

void JobService::answer(const EvacuationCall &call, const Callback &callback)
{
    // A leader that regains its lease within a term keeps the counts of that term.
    const std::uint64_t term = replica_.status().term;
    if (std::exchange(evacuationTerm_, term) != term)
        evacuationCalls_.clear();
    const EvacuationVersion current = evacuationVersion(call.failureDomain);
    if (call.expected != current) {
        JobAnswer answer = answerOf(JobAnswerKind::OutdatedEvacuation);
        answer.evacuation = current;
        return callback(std::move(answer));
    }
    // Counted before the commit: an earlier call that arrives meanwhile must not be committed after
    // this one.
    ++evacuationCalls_[call.failureDomain];
    ++pendingCommits_;
    commit(Jobs::ChangeEvacuation{call.failureDomain, call.requested, current.revision, nowMs()},
           [this, failureDomain = call.failureDomain, requested = call.requested,
            callback](const Result<Jobs::JobOutcome> &outcome) {
               --pendingCommits_;
               answerEvacuation(failureDomain, requested, outcome, callback);
           });
}

void JobService::answerEvacuation(const std::string &failureDomain, bool requested,
                                  const Result<Jobs::JobOutcome> &outcome, const Callback &callback)
{
    const char *result = "failed";
    JobAnswer answer = answerOf(JobAnswerKind::NotLeader);
    if (!outcome) {
        if (outcome.error().code == Failure::Unknown) {
            result = "unknown";
            answer.kind = JobAnswerKind::Unknown;
        }
    } else {
        const bool isOutdated = outcome->evacuation == Jobs::EvacuationResult::Outdated;
        const bool isChanged = outcome->evacuation == Jobs::EvacuationResult::Changed;
        result = isOutdated ? "outdated" : isChanged ? "changed" : "unchanged";
        answer.kind = isOutdated ? JobAnswerKind::OutdatedEvacuation : JobAnswerKind::Accepted;
        answer.evacuation = evacuationVersion(failureDomain);
    }
    processMetrics()
        .counter(EvacuationChangesMetric, EvacuationChangesHelp, {{"result", result}})
        .add();
    logEvent(LogEvent::EvacuationChanged, Step::Apply, {},
             {{"failure_domain", failureDomain},
              {"requested", requested ? 1 : 0},
              {"result", result},
              {"revision", answer.evacuation.revision}});
    reportEvacuations();
    callback(std::move(answer));
    processSoon();
}

void JobService::answer(const ReadEvacuationsCall &, const Callback &callback)
{
    JobAnswer answer = answerOf(JobAnswerKind::Evacuations);
    for (const auto &[failureDomain, evacuation] : book().evacuations()) {
        answer.evacuations.push_back(
            {failureDomain, evacuation.requested, evacuation.revision, evacuation.changedAtMs});
    }
    callback(std::move(answer));
}

EvacuationVersion JobService::evacuationVersion(const std::string &failureDomain) const
{
    EvacuationVersion version;
    const auto found = book().evacuations().find(failureDomain);
    if (found != book().evacuations().end())
        version.revision = found->second.revision;
    version.term = evacuationTerm_;
    const auto calls = evacuationCalls_.find(failureDomain);
    if (calls != evacuationCalls_.end())
        version.calls = calls->second;
    return version;
}

void JobService::reportEvacuations() const
{
    const auto evacuated = std::ranges::count_if(
        book().evacuations(), [](const auto &entry) { return entry.second.requested; });
    processMetrics()
        .gauge("oleander_evacuated_failure_domains",
               "Failure domains whose evacuation is requested, as this replica knows.")
        .set(static_cast<double>(evacuated));
}

std::vector<DumpRow> JobService::evacuationRows() const
{
    std::vector<DumpRow> rows;
    for (const auto &[failureDomain, evacuation] : book().evacuations()) {
        rows.push_back({failureDomain,
                        {{"requested", evacuation.requested},
                         {"revision", evacuation.revision},
                         {"changed_at_ms", evacuation.changedAtMs}}});
    }
    return rows;
}

} // namespace Oleander::Fleet
