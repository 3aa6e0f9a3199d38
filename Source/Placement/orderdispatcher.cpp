#include "Placement/orderdispatcher.h"

namespace Oleander::Placement {

namespace {

/** Returns the order that the state of \a task requires. */
TaskOrder orderFor(const Task &task)
{
    TaskOrder order;
    order.task = task.id;
    order.attempt = task.attempt;
    order.declared = task.live->committed;
    order.payload = task.payload;
    order.checkpoint = task.live->resumedFrom;
    order.throttlePercent = task.live->throttlePercent;
    order.session = task.live->session;
    switch (task.state) {
    case TaskState::Placed:
        order.action = TaskAction::Start;
        break;
    case TaskState::Checkpointing:
        order.action = TaskAction::Checkpoint;
        break;
    case TaskState::Running:
        order.action = TaskAction::Throttle;
        break;
    default:
        order.action = TaskAction::Stop;
        break;
    }
    return order;
}

} // namespace

void OrderDispatcher::update(const Task &task)
{
    if (!task.live) {
        forget(task.id);
        return;
    }
    const auto throttled = throttles_.find(task.id);
    const std::uint32_t ordered = throttled == throttles_.end() ? 100 : throttled->second;
    if (task.state != TaskState::Running || task.live->throttlePercent != ordered)
        pending_[task.id] = TimePoint();
    else
        pending_.erase(task.id);
}

void OrderDispatcher::forget(const std::string &task)
{
    pending_.erase(task);
    throttles_.erase(task);
}

void OrderDispatcher::clear()
{
    pending_.clear();
    throttles_.clear();
    dismissed_.clear();
}

void OrderDispatcher::tick(const TaskBook &book, TimePoint now)
{
    for (auto item = pending_.begin(); item != pending_.end();) {
        const Task *task = book.task(item->first);
        if (!task || !task->live) {
            item = pending_.erase(item);
            continue;
        }
        const bool isDue = item->second == TimePoint() || now >= item->second + resendInterval_;
        if (isDue) {
            item->second = now;
            send_(task->live->worker, orderFor(*task));
        }
        if (isDue && task->state == TaskState::Running) {
            throttles_[task->id] = task->live->throttlePercent;
            item = pending_.erase(item);
        } else {
            ++item;
        }
    }
    std::erase_if(dismissed_,
                  [&](const auto &entry) { return now >= entry.second + resendInterval_; });
}

void OrderDispatcher::dismiss(const std::string &worker, const AttemptReport &report, TimePoint now)
{
    if (!dismissed_.try_emplace({worker, report.task}, now).second)
        return;
    TaskOrder order;
    order.task = report.task;
    order.attempt = report.attempt;
    order.action = TaskAction::Stop;
    send_(worker, std::move(order));
}

} // namespace Oleander::Placement
