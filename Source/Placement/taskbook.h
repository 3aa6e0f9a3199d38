#pragma once

#include "Placement/changejournal.h"
#include "Placement/task.h"
#include "Placement/taskcommand.h"
#include "Placement/workerledger.h"
#include "Records/event.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Oleander::Placement {

using EventDrafts = std::vector<Records::EventDraft>;

/** Drain record that applies to a worker. */
struct DrainOrder
{
    std::string record;
    std::string reason;
};

template<typename F>
void visitFields(F &&f, Fields<DrainOrder> auto &&v)
{
    f(v.record);
    f(v.reason);
}

/** Contents of a snapshot of a TaskBook. */
struct TaskBookData
{
    std::map<std::string, Task> tasks;
    std::map<std::string, Worker> workers;
    /** Drains by worker, also of workers that have not registered yet. */
    std::map<std::string, DrainOrder> drains;
    std::map<Records::RecordKey, std::uint32_t> replicas;
    /** Finished tasks in the order in which they finished. */
    std::map<std::uint64_t, std::string> finished;
    std::uint64_t finishedCount = 0;
    std::uint64_t submitted = 0;
    /** A new task's attempts are numbered above this, so that the numbers of a removed task with
     * the same id are not reused. */
    std::uint32_t attemptFloor = 0;
    /** Incremented by each leader that starts to schedule. */
    std::uint64_t term = 0;
};

template<typename F>
void visitFields(F &&f, Fields<TaskBookData> auto &&v)
{
    f(v.tasks);
    f(v.workers);
    f(v.drains);
    f(v.replicas);
    f(v.finished);
    f(v.finishedCount);
    f(v.submitted);
    f(v.attemptFloor);
    f(v.term);
}

/**
 * \class TaskBook
 * \brief The replicated state of all tasks and workers.
 *
 * A deterministic state machine: the commands carry the time, random delays and decisions. It
 * enforces these rules for any sequence of commands: no worker is committed beyond its capacity,
 * an attempt starts only after the previous one is known to have ended, and a report or order for
 * an older attempt changes nothing.
 */
class TaskBook
{
public:
    /** Number of finished tasks that are kept for queries. */
    static constexpr std::size_t MaxFinished = 10'000;

    /** Applies \a command and appends the resulting events for operators to \a drafts. */
    TaskOutcome apply(const TaskCommand &command, EventDrafts &drafts);
    /** Updates tasks and drains after a record was accepted, amended or withdrawn. */
    void recordChanged(const Records::Record &record, EventDrafts &drafts);

    const std::map<std::string, Task> &tasks() const { return data_.tasks; }
    const std::map<std::string, Worker> &workers() const { return data_.workers; }
    const Task *task(const std::string &id) const;
    const Worker *worker(const std::string &name) const;
    const WorkerLedger &ledger() const { return ledger_; }
    /** Term of the scheduler that started last. */
    std::uint64_t term() const { return data_.term; }
    const ChangeJournal &journal() const { return journal_; }
    /** Returns the ids of a record's tasks, ordered by replica. */
    std::vector<std::string> tasksOf(const Records::RecordKey &record) const;

    std::string snapshot() const;
    /** Replaces the state with that of a snapshot. */
    Result<void> restore(std::string_view bytes);

private:
    TaskOutcome apply(const RegisterWorker &command, EventDrafts &drafts);
    TaskOutcome apply(const PlaceTasks &command, EventDrafts &drafts);
    TaskOutcome apply(const ReportTasks &command, EventDrafts &drafts);
    TaskOutcome apply(const SettleTasks &command, EventDrafts &drafts);
    TaskOutcome apply(const EvictTask &command, EventDrafts &drafts);
    TaskOutcome apply(const AbandonCheckpoint &command, EventDrafts &drafts);
    TaskOutcome apply(const ThrottleTask &command, EventDrafts &drafts);
    TaskOutcome apply(const LoseWorker &command, EventDrafts &drafts);
    TaskOutcome apply(const CancelTasks &command, EventDrafts &drafts);
    TaskOutcome apply(const ExplainWaits &command, EventDrafts &drafts);
    TaskOutcome apply(const ExplainDrain &command, EventDrafts &drafts);
    TaskOutcome apply(const StartTerm &command, EventDrafts &drafts);

    void submit(Task task, const Records::Record &record, EventDrafts &drafts);
    void applyServiceRecord(const Records::Record &record, const Records::ServiceSpec &spec,
                            EventDrafts &drafts);
    void applyBatchRecord(const Records::Record &record, const Records::BatchSpec &spec,
                          EventDrafts &drafts);
    void applyDrainRecord(const Records::Record &record, const Records::DrainSpec &spec,
                          EventDrafts &drafts);
    void updateFeasibility(Task &task, EventDrafts &drafts);
    void checkDrained(const std::string &workerName, EventDrafts &drafts);

    std::string place(const TaskPlacement &placement, WallTime at, EventDrafts &drafts);
    void cancel(Task &task, const std::string &reason, EventDrafts &drafts);
    void report(Worker &worker, const ReportedAttempt &reported, const ReportTasks &command,
                EventDrafts &drafts);
    void acceptLateSuccess(const AttemptReport &attemptReport, EventDrafts &drafts);
    void attemptStopped(Task &task, const std::string &reason, Duration retryAfter, WallTime at,
                        EventDrafts &drafts);
    void attemptFailed(Task &task, Worker &worker, const ReportedAttempt &reported,
                       const ReportTasks &command, EventDrafts &drafts);
    void attemptSucceeded(Task &task, Worker &worker, const ReportedAttempt &reported,
                          const ReportTasks &command, EventDrafts &drafts);
    void attributeFailure(Task &task, Worker &worker, const ReportTasks &command,
                          EventDrafts &drafts);
    void noteHealthyAttempt(const Attempt &attempt, EventDrafts &drafts);
    void endAttempt(Task &task, EventDrafts &drafts);
    void finish(Task &task, TaskState state, std::string reason, EventDrafts &drafts);
    /** Returns the task when \a attempt is its live one, otherwise null. */
    Task *liveTask(const std::string &id, std::uint32_t attempt);
    void noteChange(const Task &task);
    void noteChange(const Worker &worker);
    void rebuildLedger();

    TaskBookData data_;
    /** Derived from the live attempts in data_. */
    WorkerLedger ledger_;
    ChangeJournal journal_;
};

} // namespace Oleander::Placement
