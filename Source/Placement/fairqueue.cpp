#include "Placement/fairqueue.h"

#include <algorithm>

namespace Oleander::Placement {

void FairQueue::add(const WaitingTask &task)
{
    remove(task.id);
    const auto entry = tasks_.emplace(task.id, task).first;
    lines_[task.queueClass][task.team][task.order] = &entry->second;
}

void FairQueue::remove(const std::string &id)
{
    const auto found = tasks_.find(id);
    if (found == tasks_.end())
        return;
    auto &teams = lines_[found->second.queueClass];
    const auto line = teams.find(found->second.team);
    line->second.erase(found->second.order);
    if (line->second.empty())
        teams.erase(line);
    tasks_.erase(found);
}

double FairQueue::use(const std::string &team) const
{
    const auto found = use_.find(team);
    return found == use_.end() ? 0 : found->second;
}

double FairQueue::shareUsed(const std::string &team, double use) const
{
    constexpr double LeastShare = 1e-6;
    const auto quota = quotas_.find(team);
    return use / std::max(LeastShare, quota == quotas_.end() ? 1.0 : quota->second.share);
}

bool FairQueue::exceeds(const WaitingTask &task, double use) const
{
    const auto quota = quotas_.find(task.team);
    return task.queueClass == QueueClass::Ordinary && quota != quotas_.end()
           && quota->second.maxCores > 0 && use + task.cores > quota->second.maxCores;
}

std::vector<std::string> FairQueue::next(std::size_t most) const
{
    struct Turn
    {
        double share = 0;
        const std::string *team = nullptr;
        const Line *line = nullptr;
        Line::const_iterator at;
        double use = 0;
        bool operator<(const Turn &other) const { return share > other.share; }
    };
    std::vector<std::string> ids;
    for (const auto &[queueClass, teams] : lines_) {
        std::vector<Turn> turns;
        for (const auto &[team, line] : teams) {
            const double used = use(team);
            turns.push_back({shareUsed(team, used), &team, &line, line.begin(), used});
        }
        std::make_heap(turns.begin(), turns.end());
        while (!turns.empty() && ids.size() < most) {
            std::pop_heap(turns.begin(), turns.end());
            Turn &turn = turns.back();
            const WaitingTask &task = *turn.at->second;
            if (!exceeds(task, turn.use)) {
                ids.push_back(task.id);
                turn.use += task.cores;
                turn.share = shareUsed(*turn.team, turn.use);
            }
            if (++turn.at == turn.line->end())
                turns.pop_back();
            else
                std::push_heap(turns.begin(), turns.end());
        }
    }
    return ids;
}

} // namespace Oleander::Placement
