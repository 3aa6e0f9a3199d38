#include "Placement/taskbook.h"

#include "Placement/fitting.h"
#include "Protocol/codec.h"

#include <fmt/format.h>

#include <algorithm>

namespace Oleander::Placement {

namespace {

using Records::Record;
using Records::RecordKind;
using Records::SubjectKind;

Task taskOf(const Record &record, std::string id)
{
    Task task;
    task.id = std::move(id);
    task.record = {record.kind, record.name};
    task.revision = record.revision;
    task.queuedAt = record.changedAt;
    return task;
}

void applySpec(Task &task, const Records::ServiceSpec &spec)
{
    task.team = spec.team;
    task.declared = spec.declared;
    task.payload = spec.payload;
    task.spread = spec.spread;
    task.latencyTarget = spec.latencyTarget;
}

void applySpec(Task &task, const Records::BatchSpec &spec)
{
    task.team = spec.team;
    task.declared = spec.declared;
    task.payload = spec.payload;
    task.urgent = spec.urgency == Records::Urgency::Urgent;
    task.idempotent = spec.idempotent;
    task.maxAttempts = spec.maxAttempts;
    task.expectedDuration = spec.expectedDuration;
}

std::string serviceTaskId(const std::string &service, std::uint32_t replica)
{
    return fmt::format("service.{}.{}", service, replica);
}

std::string batchTaskId(const std::string &job)
{
    return "batch." + job;
}

} // namespace

TaskOutcome TaskBook::apply(const TaskCommand &command, EventDrafts &drafts)
{
    return std::visit([&](const auto &held) { return apply(held, drafts); }, command);
}

void TaskBook::recordChanged(const Record &record, EventDrafts &drafts)
{
    if (const auto *service = std::get_if<Records::ServiceSpec>(&record.spec))
        applyServiceRecord(record, *service, drafts);
    else if (const auto *batch = std::get_if<Records::BatchSpec>(&record.spec))
        applyBatchRecord(record, *batch, drafts);
    else if (const auto *drain = std::get_if<Records::DrainSpec>(&record.spec))
        applyDrainRecord(record, *drain, drafts);
}

void TaskBook::applyServiceRecord(const Record &record, const Records::ServiceSpec &spec,
                                  EventDrafts &drafts)
{
    std::uint32_t &replicas = data_.replicas[{record.kind, record.name}];
    const std::uint32_t wanted = record.withdrawn ? 0 : spec.replicas;
    for (std::uint32_t replica = 0; replica < wanted; ++replica) {
        Task task = taskOf(record, serviceTaskId(record.name, replica));
        applySpec(task, spec);
        submit(std::move(task), record, drafts);
    }
    for (std::uint32_t replica = wanted; replica < replicas; ++replica) {
        const auto surplus = data_.tasks.find(serviceTaskId(record.name, replica));
        if (surplus != data_.tasks.end())
            cancel(surplus->second,
                   record.withdrawn ? "The service was withdrawn."
                                    : "The service was amended to fewer replicas.",
                   drafts);
    }
    replicas = wanted;
    if (wanted == 0)
        data_.replicas.erase({record.kind, record.name});
}

void TaskBook::applyBatchRecord(const Record &record, const Records::BatchSpec &spec,
                                EventDrafts &drafts)
{
    if (record.withdrawn) {
        const auto found = data_.tasks.find(batchTaskId(record.name));
        if (found != data_.tasks.end())
            cancel(found->second, "The job was withdrawn.", drafts);
        return;
    }
    Task task = taskOf(record, batchTaskId(record.name));
    applySpec(task, spec);
    submit(std::move(task), record, drafts);
}

void TaskBook::submit(Task task, const Record &record, EventDrafts &drafts)
{
    const auto [place, isNew] = data_.tasks.try_emplace(task.id, task);
    Task &stored = place->second;
    if (isNew) {
        stored.attempt = data_.attemptFloor;
        stored.order = ++data_.submitted;
    } else {
        // An amendment applies from the next attempt on; the history is kept.
        stored.revision = task.revision;
        std::visit(
            [&](const auto &spec) {
                if constexpr (requires { applySpec(stored, spec); })
                    applySpec(stored, spec);
            },
            record.spec);
        const bool isWithdrawn = stored.state == TaskState::Cancelled
                                 || (stored.live && stored.live->stopCause == StopCause::Cancel);
        if (stored.live) {
            // The record was submitted again while the attempt of the withdrawn one is still
            // stopping: once the stop is confirmed, the task becomes evicted instead of
            // cancelled, and the next attempt can start.
            if (isWithdrawn)
                stored.live->stopCause = StopCause::Replaced;
            noteChange(stored);
            return;
        }
        if (stored.state == TaskState::Done && !isWithdrawn) {
            drafts.push_back({SubjectKind::Task, stored.id, "The record was amended.",
                              "The job is done already.",
                              "Nothing runs again; submit it under another name to run it anew."});
            return;
        }
        stored.checkpoint = isWithdrawn ? 0 : stored.checkpoint;
        stored.failures = 0;
        stored.failedOn.clear();
        stored.state = stored.state == TaskState::Evicted ? TaskState::Evicted : TaskState::Queued;
        stored.reason.clear();
        stored.notBefore = {};
        stored.queuedAt = record.changedAt;
    }
    updateFeasibility(stored, drafts);
    noteChange(stored);
}

void TaskBook::updateFeasibility(Task &task, EventDrafts &drafts)
{
    const auto fit = checkFit(task.declared, data_.workers);
    if (fit.fitsSomewhere) {
        if (task.state == TaskState::Impossible) {
            task.state = TaskState::Queued;
            task.reason.clear();
            drafts.push_back({SubjectKind::Task, task.id, "The task became possible.",
                              "A worker that could hold it has registered.",
                              "It waits for its placement."});
        }
        return;
    }
    if (data_.workers.empty()) {
        task.reason = "No worker has registered yet.";
        return;
    }
    task.reason = fit.explanation;
    if (task.state == TaskState::Impossible)
        return;
    task.state = TaskState::Impossible;
    drafts.push_back(
        {SubjectKind::Task, task.id, "The task can never be placed.", task.reason,
         "Amend its declared size, or add a worker that holds it; it is placed then."});
}

void TaskBook::applyDrainRecord(const Record &record, const Records::DrainSpec &spec,
                                EventDrafts &drafts)
{
    for (auto order = data_.drains.begin(); order != data_.drains.end();) {
        const bool isReplaced = order->second.record == record.name
                                && (record.withdrawn || order->first != spec.worker);
        const auto worker = data_.workers.find(order->first);
        if (isReplaced && worker != data_.workers.end()) {
            worker->second.drain.clear();
            worker->second.drainBlocked.clear();
            worker->second.drained = false;
            noteChange(worker->second);
            drafts.push_back({SubjectKind::Worker, order->first, "The worker gets work again.",
                              "Its drain was withdrawn.", ""});
        }
        order = isReplaced ? data_.drains.erase(order) : std::next(order);
    }
    if (record.withdrawn)
        return;
    data_.drains[spec.worker] = {record.name, spec.reason};
    const auto worker = data_.workers.find(spec.worker);
    if (worker == data_.workers.end()) {
        drafts.push_back({SubjectKind::Drain, record.name,
                          fmt::format("The drain waits for worker {}.", spec.worker),
                          "No worker of that name has registered.",
                          "It is in force as soon as the worker registers."});
        return;
    }
    worker->second.drain = record.name;
    worker->second.drained = false;
    noteChange(worker->second);
    checkDrained(spec.worker, drafts);
}

void TaskBook::checkDrained(const std::string &workerName, EventDrafts &drafts)
{
    const auto found = data_.workers.find(workerName);
    if (found == data_.workers.end())
        return;
    Worker &worker = found->second;
    if (worker.drain.empty() || worker.drained || !ledger_.isEmpty(workerName))
        return;
    worker.drained = true;
    worker.drainBlocked.clear();
    noteChange(worker);
    drafts.push_back({SubjectKind::Drain, worker.drain,
                      fmt::format("Worker {} is drained.", workerName),
                      "No attempt is committed on it any longer.",
                      "It stays empty until the drain is withdrawn."});
}

TaskOutcome TaskBook::apply(const RegisterWorker &command, EventDrafts &drafts)
{
    const auto [place, isNew] = data_.workers.try_emplace(command.worker);
    Worker &worker = place->second;
    const bool hasNewCapacity = isNew || !(worker.capacity == command.capacity);
    if (isNew) {
        drafts.push_back({SubjectKind::Worker, command.worker, "The worker registered.", "",
                          "It gets tasks now."});
    } else if (worker.lost) {
        drafts.push_back({SubjectKind::Worker, command.worker, "The worker is back.",
                          "Its agent answers again.",
                          "Whatever it still ran before is stopped; it gets new tasks."});
    }
    worker.name = command.worker;
    worker.location = command.location;
    worker.capacity = command.capacity;
    worker.lease = std::max(worker.lease, command.lease);
    worker.lost = false;
    ledger_.setCapacity(command.worker, command.capacity);
    if (!fitsInto(ledger_.committed(command.worker), command.capacity)) {
        drafts.push_back(
            {SubjectKind::Worker, command.worker,
             "The worker announces less than it has committed.", "Its capacity shrank.",
             "It gets nothing new, and batch work is moved away until the rest fits."});
    }
    const auto drain = data_.drains.find(command.worker);
    if (drain != data_.drains.end() && worker.drain.empty()) {
        worker.drain = drain->second.record;
        checkDrained(command.worker, drafts);
    }
    noteChange(worker);
    if (hasNewCapacity) {
        for (auto &[id, task] : data_.tasks) {
            if (task.state == TaskState::Impossible) {
                updateFeasibility(task, drafts);
                noteChange(task);
            }
        }
    }
    return {};
}

TaskOutcome TaskBook::apply(const LoseWorker &command, EventDrafts &drafts)
{
    const auto found = data_.workers.find(command.worker);
    if (found == data_.workers.end() || found->second.session != command.session)
        return {{fmt::format("Worker {} is not in session {}.", command.worker, command.session)}};
    if (command.term != data_.term)
        return {{fmt::format("Term {} of the scheduler is over.", command.term)}};
    Worker &worker = found->second;
    worker.lost = true;
    ++worker.session;
    noteChange(worker);
    const auto held = ledger_.commitments(command.worker);
    drafts.push_back(
        {SubjectKind::Worker, command.worker, "The worker is lost.", command.reason,
         fmt::format("Its lease has run out; its {} tasks start elsewhere.", held.size())});
    for (const Commitment &commitment : held) {
        if (Task *task = liveTask(commitment.task, commitment.attempt))
            attemptStopped(*task, fmt::format("Worker {} was lost.", command.worker), {},
                           command.at, drafts);
    }
    return {};
}

TaskOutcome TaskBook::apply(const ExplainWaits &command, EventDrafts &)
{
    for (const WaitReason &wait : command.waits) {
        const auto task = data_.tasks.find(wait.task);
        if (task != data_.tasks.end() && task->second.isWaiting()) {
            task->second.reason = wait.reason;
            noteChange(task->second);
        }
    }
    return {};
}

TaskOutcome TaskBook::apply(const ExplainDrain &command, EventDrafts &drafts)
{
    const auto found = data_.workers.find(command.worker);
    if (found == data_.workers.end() || found->second.drain.empty())
        return {{fmt::format("Worker {} is not being drained.", command.worker)}};
    Worker &worker = found->second;
    if (worker.drainBlocked == command.reason)
        return {};
    worker.drainBlocked = command.reason;
    noteChange(worker);
    if (!command.reason.empty()) {
        drafts.push_back({SubjectKind::Drain, worker.drain,
                          fmt::format("The drain of worker {} cannot finish now.", worker.name),
                          command.reason, "It goes on by itself as soon as that changes."});
    }
    return {};
}

TaskOutcome TaskBook::apply(const StartTerm &command, EventDrafts &drafts)
{
    drafts.push_back({SubjectKind::Replica, command.leader, "The entry schedules the tasks now.",
                      "It was elected.", ""});
    return {{}, ++data_.term};
}

const Task *TaskBook::task(const std::string &id) const
{
    const auto found = data_.tasks.find(id);
    return found == data_.tasks.end() ? nullptr : &found->second;
}

const Worker *TaskBook::worker(const std::string &name) const
{
    const auto found = data_.workers.find(name);
    return found == data_.workers.end() ? nullptr : &found->second;
}

std::vector<std::string> TaskBook::tasksOf(const Records::RecordKey &record) const
{
    if (record.kind == RecordKind::Batch)
        return {batchTaskId(record.name)};
    std::vector<std::string> ids;
    const auto replicas = data_.replicas.find(record);
    if (replicas == data_.replicas.end())
        return ids;
    for (std::uint32_t replica = 0; replica < replicas->second; ++replica)
        ids.push_back(serviceTaskId(record.name, replica));
    return ids;
}

std::string TaskBook::snapshot() const
{
    return encode(data_);
}

Result<void> TaskBook::restore(std::string_view bytes)
{
    auto data = decode<TaskBookData>(bytes);
    if (!data)
        return tl::make_unexpected(data.error());
    data_ = std::move(*data);
    journal_.reset();
    rebuildLedger();
    return {};
}

void TaskBook::rebuildLedger()
{
    ledger_ = {};
    // Restores the commitments with unlimited capacity first, because a worker whose capacity
    // shrank keeps commitments that exceed it.
    constexpr Resources Unlimited = {UINT32_MAX, UINT64_MAX, UINT32_MAX};
    for (const auto &[name, worker] : data_.workers)
        ledger_.setCapacity(name, Unlimited);
    for (const auto &[id, task] : data_.tasks) {
        if (task.live)
            ledger_.commit(task.live->worker, {id, task.attempt, task.live->committed});
    }
    for (const auto &[name, worker] : data_.workers)
        ledger_.setCapacity(name, worker.capacity);
}

Task *TaskBook::liveTask(const std::string &id, std::uint32_t attempt)
{
    const auto found = data_.tasks.find(id);
    if (found == data_.tasks.end() || !found->second.live || found->second.attempt != attempt)
        return nullptr;
    return &found->second;
}

void TaskBook::noteChange(const Task &task)
{
    journal_.note({Change::Kind::Task, task.id});
}

void TaskBook::noteChange(const Worker &worker)
{
    journal_.note({Change::Kind::Worker, worker.name});
}

} // namespace Oleander::Placement
