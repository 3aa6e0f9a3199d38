// Log events and metrics of the leader's decisions.
#include "Fleet/jobservice.h"
#include "Fleet/runlog.h"
#include "Jobs/servicelevel.h"
#include "Runtime/log.h"
#include "Runtime/metrics.h"

namespace Oleander::Fleet {

void JobService::logOrders(const MachineDirective &directive) const
{
    const auto logOrder = [&](const TaskRef &task, std::uint32_t run, const char *order) {
        const Jobs::Job *job = book().find(task.job);
        logRunEvent(LogEvent::RunOrdered, Step::Order, directive.life.name, {task, run},
                    {{"order", order},
                     {"term", directive.term},
                     {"job_ended", job == nullptr || job->hasEnded() ? 1 : 0}});
    };
    for (const StartOrder &start : directive.starts)
        logOrder(start.task, start.run, "start");
    for (const StopOrder &stop : directive.stops)
        logOrder(stop.task, stop.run, "stop");
}

void JobService::logReservations()
{
    for (const Jobs::ReservationDecision &decision : scheduler_.takeReservationDecisions()) {
        std::string evicted;
        for (const auto &[task, run] : decision.evicted) {
            evicted += fmt::format("{}{}/{}/{}/{}", evicted.empty() ? "" : ",", task.job, task.step,
                                   task.index, run);
        }
        logEvent(LogEvent::CapacityReserved, Step::Place, decision.minion.name,
                 {{"job", decision.task.job},
                  {"step", decision.task.step},
                  {"index", decision.task.index},
                  {"evicted", evicted}});
    }
}

void JobService::reportBackfill()
{
    Jobs::BackfillPlanner &backfill = scheduler_.backfill();
    if (!backfill.isEnabled())
        return;
    const TimePoint now = loop_.clock().now();
    for (const Jobs::BackfillDecision &decision : backfill.takeDecisions()) {
        const Duration expectedIn = decision.reservation.promisedAt - now;
        const auto expectedInMs =
            std::chrono::duration_cast<std::chrono::milliseconds>(expectedIn).count();
        const TaskRef &task = decision.task;
        const std::string &minion = decision.reservation.minion.name;
        if (decision.end) {
            logEvent(LogEvent::BackfillEnded, Step::Place, minion,
                     {{"job", task.job},
                      {"step", task.step},
                      {"index", task.index},
                      {"expected_ms", expectedInMs},
                      {"why", Jobs::backfillEndName(*decision.end)}});
        } else {
            logEvent(LogEvent::BackfillReserved, Step::Place, minion,
                     {{"job", task.job},
                      {"step", task.step},
                      {"index", task.index},
                      {"expected_ms", expectedInMs}});
        }
    }
    processMetrics()
        .gauge("oleander_backfill_reservations",
               "Minions that are reserved for a large task that ends by itself.")
        .set(static_cast<double>(backfill.reservations().size()));
    for (const Duration wait : backfill.takeWaits()) {
        processMetrics()
            .histogram("oleander_large_task_wait_seconds",
                       "Time from the first plan that finds a waiting task to fit on no minion "
                       "although enough is free on all together, to its start.")
            .record(wait);
    }
}

void JobService::logMoves()
{
    for (const Jobs::RunMove &move : scheduler_.takeMoves()) {
        logRunEvent(
            LogEvent::RunMoved, Step::Place, move.from.name, move.run,
            {{"percent", move.percent},
             {"standing_ms",
              std::chrono::duration_cast<std::chrono::milliseconds>(move.stalledFor).count()},
             {"room_on", move.to.name}});
    }
}

void JobService::logEvacuationMoves()
{
    for (const Jobs::EvacuationMove &move : scheduler_.takeEvacuationMoves()) {
        logRunEvent(LogEvent::RunEvacuated, Step::Place, move.from.name, move.run,
                    {{"why", "its failure domain is evacuated"},
                     {"failure_domain", move.failureDomain},
                     {"room_on", move.to.name}});
    }
}

void JobService::reportEvacuatedRuns() const
{
    const auto counts = Jobs::countEvacuatedRuns(book(), scheduler_.machines());
    for (const auto &[failureDomain, evacuation] : book().evacuations()) {
        const auto count = counts.find(failureDomain);
        const bool isCounted = isLeading_ && count != counts.end();
        processMetrics()
            .gauge("oleander_evacuated_runs",
                   "Runs that are still active in an evacuated failure domain, on the leader.",
                   {{"failure_domain", failureDomain}})
            .set(isCounted ? count->second : 0);
    }
}

void JobService::logIgnoredEnds()
{
    for (const Jobs::MinionRunEnd &runEnd : scheduler_.takeIgnoredEnds()) {
        logRunEvent(LogEvent::RunEndIgnored, Step::Report, runEnd.minion.name,
                    {runEnd.end.task, runEnd.end.run});
    }
}

void JobService::reportServiceLevels() const
{
    if (!isLeading_)
        return;
    Jobs::ServiceLevel sum;
    for (const Jobs::ServiceLevel &level :
         Jobs::serviceLevels(book(), scheduler_.machines(), loop_.clock().now())) {
        sum.atWork += level.atWork;
        sum.starting += level.starting;
        sum.waiting += level.waiting;
        sum.overTarget += level.overTarget;
        if (level.isMet())
            continue;
        logEvent(LogEvent::JobServiceLevel, Step::Place, {},
                 {{"job", level.job},
                  {"tasks", level.tasks},
                  {"at_work", level.atWork},
                  {"starting", level.starting},
                  {"waiting", level.waiting},
                  {"over_bound", level.overTarget},
                  {"beside_filling", level.overTargetWithFilling},
                  {"waiting_millicores", level.waitingMilliCores},
                  {"free_millicores", level.capacity.freeMilliCores},
                  {"largest_free_millicores", level.capacity.largestFreeMilliCores},
                  {"minions_out", level.capacity.minionsUnavailable},
                  {"minions_suspended", level.capacity.minionsSuspended},
                  {"minions_disturbed", level.capacity.minionsDisturbed}});
    }
    const auto setGauge = [](const char *state, std::uint32_t tasks) {
        processMetrics()
            .gauge("oleander_lasting_tasks",
                   "Tasks of lasting jobs by state; those over their bound are at work too.",
                   {{"state", state}})
            .set(tasks);
    };
    setGauge("at-work", sum.atWork);
    setGauge("starting", sum.starting);
    setGauge("waiting", sum.waiting);
    setGauge("over-bound", sum.overTarget);
}

} // namespace Oleander::Fleet
