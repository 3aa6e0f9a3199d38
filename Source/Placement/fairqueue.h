#pragma once

#include "Protocol/messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Oleander::Placement {

/** Priority class of a waiting task, highest first. */
enum class QueueClass { Service, Urgent, Ordinary };

/** Share and limit of a team. */
struct TeamQuota
{
    /** Weight of the team relative to the others. */
    double share = 1.0;
    /** Maximum number of cores that ordinary batch work may use at a time; 0 means no limit. */
    double maxCores = 0;
};

/** A task that waits for a worker. */
struct WaitingTask
{
    std::string id;
    std::string team;
    QueueClass queueClass = QueueClass::Ordinary;
    /** Sequence number of the submission. */
    std::uint64_t order = 0;
    double cores = 0;
};

/**
 * \class FairQueue
 * \brief Orders waiting tasks by class: services, then urgent work, then ordinary work.
 *
 * Within a class, the team with the lowest usage relative to its share comes first; within a team,
 * tasks are ordered by submission.
 */
class FairQueue
{
public:
    void setQuota(const std::string &team, const TeamQuota &quota) { quotas_[team] = quota; }
    void add(const WaitingTask &task);
    void remove(const std::string &id);
    /** Adds \a cores, which may be negative, to the usage of \a team's batch work. */
    void addUsage(const std::string &team, double cores) { usage_[team] += cores; }
    double usage(const std::string &team) const;
    std::size_t size() const { return tasks_.size(); }

    /**
     * Returns up to \a limit tasks in the order in which they are to be placed. Each is ordered as
     * if the tasks before it had been placed. Tasks that exceed their team's limit are left out.
     */
    std::vector<std::string> next(std::size_t limit) const;

private:
    using TeamQueue = std::map<std::uint64_t, const WaitingTask *>;

    double weightedUsage(const std::string &team, double usage) const;
    bool exceedsQuota(const WaitingTask &task, double usage) const;

    std::map<std::string, WaitingTask> tasks_;
    std::map<QueueClass, std::map<std::string, TeamQueue>> queues_;
    std::map<std::string, double> usage_;
    std::map<std::string, TeamQuota> quotas_;
};

} // namespace Oleander::Placement
