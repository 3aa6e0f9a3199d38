#include "Placement/fairqueue.h"

#include <algorithm>

namespace Oleander::Placement {

void FairQueue::add(const WaitingTask &task)
{
    remove(task.id);
    const auto entry = tasks_.emplace(task.id, task).first;
    queues_[task.queueClass][task.team][task.order] = &entry->second;
}

void FairQueue::remove(const std::string &id)
{
    const auto found = tasks_.find(id);
    if (found == tasks_.end())
        return;
    auto &teams = queues_[found->second.queueClass];
    const auto queue = teams.find(found->second.team);
    queue->second.erase(found->second.order);
    if (queue->second.empty())
        teams.erase(queue);
    tasks_.erase(found);
}

double FairQueue::usage(const std::string &team) const
{
    const auto found = usage_.find(team);
    return found == usage_.end() ? 0 : found->second;
}

double FairQueue::weightedUsage(const std::string &team, double usage) const
{
    constexpr double MinShare = 1e-6;
    const auto quota = quotas_.find(team);
    return usage / std::max(MinShare, quota == quotas_.end() ? 1.0 : quota->second.share);
}

bool FairQueue::exceedsQuota(const WaitingTask &task, double usage) const
{
    const auto quota = quotas_.find(task.team);
    return task.queueClass == QueueClass::Ordinary && quota != quotas_.end()
           && quota->second.maxCores > 0 && usage + task.cores > quota->second.maxCores;
}

std::vector<std::string> FairQueue::next(std::size_t limit) const
{
    struct Cursor
    {
        double relativeUsage = 0;
        const std::string *team = nullptr;
        const TeamQueue *queue = nullptr;
        TeamQueue::const_iterator position;
        double usage = 0;
        bool operator<(const Cursor &other) const { return relativeUsage > other.relativeUsage; }
    };
    std::vector<std::string> ids;
    for (const auto &[queueClass, teams] : queues_) {
        std::vector<Cursor> cursors;
        for (const auto &[team, queue] : teams) {
            const double used = usage(team);
            cursors.push_back({weightedUsage(team, used), &team, &queue, queue.begin(), used});
        }
        std::make_heap(cursors.begin(), cursors.end());
        while (!cursors.empty() && ids.size() < limit) {
            std::pop_heap(cursors.begin(), cursors.end());
            Cursor &cursor = cursors.back();
            const WaitingTask &task = *cursor.position->second;
            if (!exceedsQuota(task, cursor.usage)) {
                ids.push_back(task.id);
                cursor.usage += task.cores;
                cursor.relativeUsage = weightedUsage(*cursor.team, cursor.usage);
            }
            if (++cursor.position == cursor.queue->end())
                cursors.pop_back();
            else
                std::push_heap(cursors.begin(), cursors.end());
        }
    }
    return ids;
}

} // namespace Oleander::Placement
