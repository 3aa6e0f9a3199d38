#pragma once

#include "Protocol/messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Oleander::Placement {

/** Order in which waiting tasks are served. */
enum class QueueClass { Service, Urgent, Ordinary };

/** What a team may use. */
struct TeamQuota
{
    /** Weight of the team against the others. */
    double share = 1.0;
    /** Most processors of ordinary batch work at a time; 0 sets no bound. */
    double maxCores = 0;
};

/** A task that waits for a worker. */
struct WaitingTask
{
    std::string id;
    std::string team;
    QueueClass queueClass = QueueClass::Ordinary;
    /** Position by submission. */
    std::uint64_t order = 0;
    double cores = 0;
};

/**
 * \class FairQueue
 * \brief Orders waiting tasks: services, then urgent work, then ordinary work by teams' shares.
 *
 * Within a class the team that uses the least of its share comes first, and within a team the
 * order of submission decides.
 */
class FairQueue
{
public:
    void setQuota(const std::string &team, const TeamQuota &quota) { quotas_[team] = quota; }
    void add(const WaitingTask &task);
    void remove(const std::string &id);
    /** Notes that batch work of \a team uses \a cores more, or less when negative. */
    void addUsage(const std::string &team, double cores) { usage_[team] += cores; }
    double usage(const std::string &team) const;
    std::size_t size() const { return tasks_.size(); }

    /**
     * Returns up to \a most tasks in the order in which they are served, each counted as if the
     * ones before it had been placed. Tasks over their team's bound are left out.
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
