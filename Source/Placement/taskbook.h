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

using Drafts = std::vector<Records::EventDraft>;

/** A drain record in force. */
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

/** What a snapshot of a TaskBook holds. */
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
    /** No task that is made anew gets an attempt number up to this one. */
    std::uint32_t attemptFloor = 0;
    /** Goes up with each leader that starts to schedule. */
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
 * A deterministic state machine: time, random delays and decisions come in with the commands. It
 * holds whatever a proposer sends to these rules: no worker is committed beyond its capacity, an
 * attempt starts only when the one before it has surely ended, and a report or order for an older
 * attempt changes nothing.
 */
class TaskBook
{
public:
    /** Finished tasks that are kept for reading. */
    static constexpr std::size_t MaxFinished = 10'000;

    /** Carries out \a command and appends what the next shift should read to \a drafts. */
    TaskOutcome apply(const TaskCommand &command, Drafts &drafts);
    /** Follows an accepted, amended or withdrawn record. */
    void recordChanged(const Records::Record &record, Drafts &drafts);

    const std::map<std::string, Task> &tasks() const { return data_.tasks; }
    const std::map<std::string, Worker> &workers() const { return data_.workers; }
    const Task *task(const std::string &id) const;
    const Worker *worker(const std::string &name) const;
    const WorkerLedger &ledger() const { return ledger_; }
    /** Term of the scheduler that started last. */
    std::uint64_t term() const { return data_.term; }
    const ChangeJournal &journal() const { return journal_; }
    /** Ids of the tasks of a record in order. */
    std::vector<std::string> tasksOf(const Records::RecordKey &record) const;

    std::string snapshot() const;
    /** Replaces the state by that of a snapshot. */
    Result<void> restore(std::string_view bytes);

private:
    TaskOutcome apply(const RegisterWorker &command, Drafts &drafts);
    TaskOutcome apply(const PlaceTasks &command, Drafts &drafts);
    TaskOutcome apply(const ReportTasks &command, Drafts &drafts);
    TaskOutcome apply(const SettleTasks &command, Drafts &drafts);
    TaskOutcome apply(const EvictTask &command, Drafts &drafts);
    TaskOutcome apply(const AbandonCheckpoint &command, Drafts &drafts);
    TaskOutcome apply(const ThrottleTask &command, Drafts &drafts);
    TaskOutcome apply(const LoseWorker &command, Drafts &drafts);
    TaskOutcome apply(const CancelTasks &command, Drafts &drafts);
    TaskOutcome apply(const ExplainWaits &command, Drafts &drafts);
    TaskOutcome apply(const ExplainDrain &command, Drafts &drafts);
    TaskOutcome apply(const StartTerm &command, Drafts &drafts);

    void submit(Task task, const Records::Record &record, Drafts &drafts);
    void followService(const Records::Record &record, const Records::ServiceSpec &spec,
                       Drafts &drafts);
    void followBatch(const Records::Record &record, const Records::BatchSpec &spec, Drafts &drafts);
    void followDrain(const Records::Record &record, const Records::DrainSpec &spec, Drafts &drafts);
    void judgePossible(Task &task, Drafts &drafts);
    void checkDrained(const std::string &workerName, Drafts &drafts);

    std::string place(const TaskPlacement &placement, WallTime at, Drafts &drafts);
    void cancel(Task &task, const std::string &reason, Drafts &drafts);
    void report(Worker &worker, const ReportedAttempt &reported, const ReportTasks &command,
                Drafts &drafts);
    void finishLate(const AttemptReport &news, Drafts &drafts);
    void attemptStopped(Task &task, const std::string &reason, Duration retryAfter, WallTime at,
                        Drafts &drafts);
    void attemptFailed(Task &task, Worker &worker, const ReportedAttempt &reported,
                       const ReportTasks &command, Drafts &drafts);
    void attemptSucceeded(Task &task, Worker &worker, const ReportedAttempt &reported,
                          const ReportTasks &command, Drafts &drafts);
    void blame(Task &task, Worker &worker, const ReportTasks &command, Drafts &drafts);
    void ranWell(const Attempt &attempt, Drafts &drafts);
    void endAttempt(Task &task, Drafts &drafts);
    void finish(Task &task, TaskState state, std::string reason, Drafts &drafts);
    /** Returns the task when \a attempt is its live one, otherwise null. */
    Task *liveTask(const std::string &id, std::uint32_t attempt);
    void touch(const Task &task);
    void touch(const Worker &worker);
    void rebuildLedger();

    TaskBookData data_;
    /** Follows from the live attempts of data_. */
    WorkerLedger ledger_;
    ChangeJournal journal_;
};

} // namespace Oleander::Placement
